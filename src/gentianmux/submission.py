"""Parsing and validation of callers' submissions."""

import hashlib
import json
from collections.abc import Iterator
from typing import Any, NamedTuple

from .codes import ResultCode
from .errors import GentianmuxError
from .ids import NO_TIME, id_time_ms, validate_id
from .rules import WorkerItem

MAX_TASKS = 150
MAX_SIZE_MS = 3_600_000
MAX_DEADLINE_MS = 86_400_000
_JOB_FIELDS = {"id", "service", "submitted_at", "deadline_ms", "tasks"}
_REQUEST_FIELDS = {"service", "payload", "size", "idempotent", "deadline_ms", "submitted_at"}
_TASK_FIELDS = {"payload", "size"}
_SIZE_FIELDS = {"run_ms", "cores", "memory_mb", "accelerators"}


class Size(NamedTuple):
    """Declared size of a task: run time in ms and required resources of the worker.

    ``memory_mb`` is in MB, ``cores`` and ``accelerators`` are counts; 0 for not declared.
    """

    run_ms: int = 0
    cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


def fits(needs: Size, worker: WorkerItem | None) -> bool:
    """Whether a worker has the resources a task needs; an unlisted worker (None) always does."""
    if worker is None:
        return True
    return (
        needs.cores <= worker.get("cores", needs.cores)
        and needs.memory_mb <= worker.get("memory_mb", needs.memory_mb)
        and needs.accelerators <= worker.get("accelerators", 0)
    )


class TaskSpec(NamedTuple):
    """Submitted task."""

    payload: str
    size: Size


def combined_needs(specs: list[TaskSpec]) -> Size:
    """Resources that a worker needs for any task of a job, as the maximum of each."""
    sizes = [spec.size for spec in specs]
    return Size(
        0,
        max(size.cores for size in sizes),
        max(size.memory_mb for size in sizes),
        max(size.accelerators for size in sizes),
    )


class Submission(NamedTuple):
    """Validated submission; times are in Unix ms, ``NO_TIME`` if not given."""

    job_id: str
    service: str
    submitted_ms: int
    deadline_ms: int
    idempotent: bool
    tasks: list[TaskSpec]


def read_json(body: bytes) -> dict[str, Any]:
    """Parse a body that must be one JSON object without duplicate fields.

    Raises
    ------
    GentianmuxError
        ``BAD_JSON`` or ``DUPLICATE_FIELD``.
    """
    try:
        content = json.loads(body.decode("utf-8"), object_pairs_hook=_reject_duplicate_fields)
    except (ValueError, RecursionError) as exc:
        raise GentianmuxError(ResultCode.BAD_JSON, f"not JSON: {exc}"[:200]) from exc
    if not isinstance(content, dict):
        raise GentianmuxError(ResultCode.BAD_JSON, "the body must be a JSON object")
    return content


def _reject_duplicate_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    content = dict(pairs)
    if len(content) != len(pairs):
        names = [name for name, _ in pairs]
        repeated = next(name for name in names if names.count(name) > 1)
        raise GentianmuxError(ResultCode.DUPLICATE_FIELD, f"{repeated[:64]!r} stands twice")
    return content


def read_job(body: bytes, now_ms: int) -> Submission:
    """Parse and validate a job's body.

    Parameters
    ----------
    body : bytes
        Request body.
    now_ms : int
        Current Unix time in ms, to which ``deadline_ms`` is relative.

    Raises
    ------
    GentianmuxError
        With the code of the first error found.
    """
    content = read_json(body)
    _reject_unknown_fields(content, _JOB_FIELDS, "the job")
    job_id = validate_id(content.get("id"))
    tasks = content.get("tasks")
    if not isinstance(tasks, list) or not tasks:
        raise _bad_field("tasks", "must be a list of 1 to 150 tasks")
    if len(tasks) > MAX_TASKS:
        raise GentianmuxError(ResultCode.TOO_MANY_TASKS, f"{len(tasks)} tasks")
    specs = list(_read_tasks(tasks))
    return Submission(
        job_id,
        _service(content),
        _submitted_ms(content, job_id),
        _deadline_ms(content, now_ms),
        False,
        specs,
    )


def read_request(body: bytes, job_id: str, now_ms: int) -> Submission:
    """Parse and validate a single request's body; its id is given by a header or the entry.

    Raises
    ------
    GentianmuxError
        With the code of the first error found.
    """
    content = read_json(body)
    _reject_unknown_fields(content, _REQUEST_FIELDS, "the request")
    idempotent = content.get("idempotent", False)
    if not isinstance(idempotent, bool):
        raise _bad_field("idempotent", "must be true or false")
    task = {name: content[name] for name in _TASK_FIELDS if name in content}
    specs = list(_read_tasks([task]))
    return Submission(
        job_id,
        _service(content),
        _submitted_ms(content, job_id),
        _deadline_ms(content, now_ms),
        idempotent,
        specs,
    )


def submission_digest(submission: Submission) -> bytes:
    """Digest of a submission's content, to detect reuse of its id for something else."""
    asked = (submission.service, submission.idempotent, submission.tasks)
    return hashlib.blake2b(json.dumps(asked).encode(), digest_size=16).digest()


def _read_tasks(tasks: list[Any]) -> Iterator[TaskSpec]:
    for number, task in enumerate(tasks):
        if not isinstance(task, dict):
            raise _bad_field(f"tasks[{number}]", "must be an object")
        if not task.keys() <= _TASK_FIELDS:
            _reject_unknown_fields(task, _TASK_FIELDS, f"tasks[{number}]")
        payload = task.get("payload", "")
        if not isinstance(payload, str):
            raise _bad_field(f"tasks[{number}].payload", "must be a text")
        if not payload.isascii():
            _check_text(payload, number)
        size = task.get("size")
        yield TaskSpec(payload, Size() if size is None else _read_size(size, number))


def _check_text(payload: str, number: int) -> None:
    try:
        payload.encode()
    except UnicodeEncodeError as exc:
        raise _bad_field(f"tasks[{number}].payload", "holds half of a surrogate pair") from exc


def _read_size(size: Any, number: int) -> Size:
    where = f"tasks[{number}].size"
    if not isinstance(size, dict):
        raise _bad_field(where, "must be an object")
    _reject_unknown_fields(size, _SIZE_FIELDS, where)
    return Size(**{name: _read_int(size, name, 0, MAX_SIZE_MS, where) for name in size})


def _service(content: dict[str, Any]) -> str:
    service = content.get("service")
    if not isinstance(service, str) or not service:
        raise _bad_field("service", "must be the name of a service")
    return service


def _submitted_ms(content: dict[str, Any], job_id: str) -> int:
    if "submitted_at" not in content:
        return id_time_ms(job_id)
    return _read_int(content, "submitted_at", 0, 1 << 48, "the body")


def _deadline_ms(content: dict[str, Any], now_ms: int) -> int:
    if "deadline_ms" not in content:
        return NO_TIME
    return now_ms + _read_int(content, "deadline_ms", 1, MAX_DEADLINE_MS, "the body")


def _read_int(content: dict[str, Any], name: str, low: int, high: int, where: str) -> int:
    value = content[name]
    if not isinstance(value, int) or isinstance(value, bool) or not low <= value <= high:
        raise _bad_field(name, f"in {where} must be a whole number from {low} to {high}")
    return value


def _reject_unknown_fields(content: dict[str, Any], allowed: set[str], where: str) -> None:
    unknown = sorted(content.keys() - allowed)
    if unknown:
        raise _bad_field(unknown[0][:64], f"is not a field of {where}")


def _bad_field(field: str, problem: str) -> GentianmuxError:
    return GentianmuxError(ResultCode.BAD_FIELD, f"{field} {problem}")
