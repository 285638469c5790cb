"""Numbered result codes of answers, frames and log events."""

from enum import Enum, IntEnum
from typing import NamedTuple


class Ran(Enum):
    """Whether the refused or failed work ran."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class CodeInfo(NamedTuple):
    """HTTP status, whether the work ran, and meaning of a code."""

    http_status: int
    ran: Ran
    meaning: str


class ResultCode(IntEnum):
    """Numbered outcomes; the table in ``docs/result-codes.md`` is generated from this module.

    Examples
    --------
    >>> ResultCode.QUEUE_FULL.info.ran
    <Ran.NO: 'no'>
    """

    OK = 0
    ACCEPTED = 1

    BAD_JSON = 100
    BAD_FIELD = 101
    DUPLICATE_FIELD = 102
    TOO_MANY_TASKS = 103
    BODY_TOO_LARGE = 104
    BAD_ID = 105
    NOT_FOUND = 106
    METHOD_NOT_ALLOWED = 107
    BODY_TIMEOUT = 108
    ID_IN_FUTURE = 109
    BAD_HEADER = 110
    NOT_SERVED = 111

    UNAUTHENTICATED = 200
    UNKNOWN_SERVICE = 201
    NOT_YOUR_SERVICE = 202
    ID_REUSED = 203

    NO_ENDPOINT = 300
    QUEUE_FULL = 301
    RATE_LIMITED = 302
    OVERLOADED = 303
    DRAINING = 304
    NEVER_FITS = 305
    CONFIG_MISSING = 306
    CLAIM_EXCEEDED = 307
    NO_SLOT = 308

    SHARD_UNAVAILABLE = 400
    NOT_OWNER = 401
    LEASE_LAPSED = 402
    STALE_EPOCH = 403
    OUTCOME_UNKNOWN = 404
    ID_EXPIRED = 405
    ID_WITHOUT_TIME = 406
    ANSWER_FORGOTTEN = 407
    JOB_UNKNOWN = 408
    LEDGER_FULL = 409
    TRACES_PENDING = 410

    CANCELLED = 500
    DEADLINE_PASSED = 501
    TASK_FAILED = 502
    TASK_UNKNOWN = 503
    TASK_NOT_RUN = 504
    JOB_FAILED = 505
    ENDPOINT_REFUSED = 506
    STOPPED = 507

    BAD_FRAME = 600
    FRAME_TOO_LONG = 601
    BAD_VERSION = 602
    PEER_LOST = 603
    INTERNAL = 604

    CHANGE_CONFLICT = 700
    CHANGE_INVALID = 701
    CHANGE_UNKNOWN = 702
    LOG_UNAVAILABLE = 703
    LOG_TRIMMED = 704
    BAD_SETTING = 705

    @property
    def info(self) -> CodeInfo:
        """HTTP status, whether the work ran, and meaning."""
        return _INFO[self]

    @property
    def label(self) -> str:
        """Lower-case name used in answers, such as ``queue_full``."""
        return self.name.lower()


_NO = Ran.NO
_YES = Ran.YES
_UNKNOWN = Ran.UNKNOWN
_C = ResultCode

_INFO: dict[ResultCode, CodeInfo] = {
    _C.OK: CodeInfo(200, _YES, "Complete: every task ran and its result is in the answer."),
    _C.ACCEPTED: CodeInfo(202, _UNKNOWN, "Admitted; ask for the answer with GET."),
    _C.BAD_JSON: CodeInfo(400, _NO, "The body is not one UTF-8 JSON object."),
    _C.BAD_FIELD: CodeInfo(400, _NO, "A field is missing, unknown, of a wrong type or range."),
    _C.DUPLICATE_FIELD: CodeInfo(400, _NO, "An object in the body names a field twice."),
    _C.TOO_MANY_TASKS: CodeInfo(400, _NO, "A job holds more than 150 tasks."),
    _C.BODY_TOO_LARGE: CodeInfo(413, _NO, "The body is longer than the limit."),
    _C.BAD_ID: CodeInfo(400, _NO, "An id is empty, too long or holds other than printable ASCII."),
    _C.NOT_FOUND: CodeInfo(404, _NO, "No such path."),
    _C.METHOD_NOT_ALLOWED: CodeInfo(405, _NO, "The path does not take this method."),
    _C.BODY_TIMEOUT: CodeInfo(408, _NO, "The body did not arrive in time or was cut off."),
    _C.ID_IN_FUTURE: CodeInfo(
        400, _NO, "The id's time lies further ahead than the allowed clock skew."
    ),
    _C.BAD_HEADER: CodeInfo(400, _NO, "A header has a value that is not understood."),
    _C.NOT_SERVED: CodeInfo(422, _NO, "The request asks for something that is not served here."),
    _C.UNAUTHENTICATED: CodeInfo(401, _NO, "The key is missing or belongs to no member."),
    _C.UNKNOWN_SERVICE: CodeInfo(404, _NO, "The configuration has no such service."),
    _C.NOT_YOUR_SERVICE: CodeInfo(403, _NO, "The service belongs to another member."),
    _C.ID_REUSED: CodeInfo(409, _NO, "The id was used before with another body."),
    _C.NO_ENDPOINT: CodeInfo(503, _NO, "No live endpoint serves this service."),
    _C.QUEUE_FULL: CodeInfo(429, _NO, "The member's queue is at its bound."),
    _C.RATE_LIMITED: CodeInfo(429, _NO, "The member sends faster than its rate allows."),
    _C.OVERLOADED: CodeInfo(503, _NO, "The process works at its limit; the request was not begun."),
    _C.DRAINING: CodeInfo(503, _NO, "The process is leaving and takes nothing new."),
    _C.NEVER_FITS: CodeInfo(422, _NO, "No worker in the inventory can hold a task of this size."),
    _C.CONFIG_MISSING: CodeInfo(503, _NO, "No configuration has reached this process yet."),
    _C.CLAIM_EXCEEDED: CodeInfo(429, _NO, "The member already holds all that its claim allows."),
    _C.NO_SLOT: CodeInfo(503, _NO, "The agent had no free slot; it will offer one when it has."),
    _C.SHARD_UNAVAILABLE: CodeInfo(503, _NO, "The id's shard has no reachable owner for now."),
    _C.NOT_OWNER: CodeInfo(503, _NO, "The process asked does not own the id's shard."),
    _C.LEASE_LAPSED: CodeInfo(
        503, _NO, "The shard's owner cannot renew its lease and admits none."
    ),
    _C.STALE_EPOCH: CodeInfo(503, _NO, "The frame comes from an owner that has been replaced."),
    _C.OUTCOME_UNKNOWN: CodeInfo(
        504, _UNKNOWN, "An earlier submission of this id may have run; this one started nothing."
    ),
    _C.ID_EXPIRED: CodeInfo(
        410, _UNKNOWN, "The id is older than the ledger's window; this submission started nothing."
    ),
    _C.ID_WITHOUT_TIME: CodeInfo(
        409, _UNKNOWN, "An id without a time can no longer be told from a repeat; send one."
    ),
    _C.ANSWER_FORGOTTEN: CodeInfo(410, _YES, "The job ended, but its answer is no longer kept."),
    _C.JOB_UNKNOWN: CodeInfo(404, _UNKNOWN, "The shard's owner has no record of this job."),
    _C.LEDGER_FULL: CodeInfo(503, _NO, "The shard's ledger holds all the ids that it can."),
    _C.TRACES_PENDING: CodeInfo(
        503, _UNKNOWN, "The owner is still asking for traces of this id; try again."
    ),
    _C.CANCELLED: CodeInfo(409, _UNKNOWN, "The job was cancelled; see the status of each task."),
    _C.DEADLINE_PASSED: CodeInfo(504, _UNKNOWN, "The deadline passed; see each task's status."),
    _C.TASK_FAILED: CodeInfo(502, _YES, "The task ran at its endpoint and failed."),
    _C.TASK_UNKNOWN: CodeInfo(504, _UNKNOWN, "The task may have started; its outcome is lost."),
    _C.TASK_NOT_RUN: CodeInfo(503, _NO, "The task did not start."),
    _C.JOB_FAILED: CodeInfo(502, _UNKNOWN, "Not all tasks succeeded; see the status of each."),
    _C.ENDPOINT_REFUSED: CodeInfo(503, _NO, "The endpoint refused the task before starting it."),
    _C.STOPPED: CodeInfo(409, _YES, "The task was stopped at its endpoint after it had started."),
    _C.BAD_FRAME: CodeInfo(400, _NO, "A frame between processes could not be decoded."),
    _C.FRAME_TOO_LONG: CodeInfo(400, _NO, "A frame between processes is over the limit."),
    _C.BAD_VERSION: CodeInfo(400, _NO, "A peer speaks another version of the protocol."),
    _C.PEER_LOST: CodeInfo(504, _UNKNOWN, "A peer was lost while it held the request."),
    _C.INTERNAL: CodeInfo(500, _UNKNOWN, "A fault of ours; the log event holds the details."),
    _C.CHANGE_CONFLICT: CodeInfo(409, _NO, "The change builds on an overtaken version."),
    _C.CHANGE_INVALID: CodeInfo(400, _NO, "The change has faults and was rejected whole."),
    _C.CHANGE_UNKNOWN: CodeInfo(504, _UNKNOWN, "Whether the log took the change is not known."),
    _C.LOG_UNAVAILABLE: CodeInfo(503, _UNKNOWN, "The platform's log did not answer."),
    _C.LOG_TRIMMED: CodeInfo(410, _NO, "The log no longer keeps records this old."),
    _C.BAD_SETTING: CodeInfo(400, _NO, "A setting has a value that is not allowed."),
}
