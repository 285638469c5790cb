"""WSGI application for callers, who submit jobs over the platform's HTTP interface."""

import json
import re
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, NamedTuple

from loguru import logger

from ..codes import ResultCode
from ..errors import GentianmuxError
from ..http_server import read_body
from ..leased.caller_watch import wait_for_result
from ..leased.config_feed import ConfigFeed
from ..leased.entry import Entry
from ..leased.job_state import JobOutcome
from ..leased.model import JobSpec, QueueConfig, RequestLimits, StepSpec
from ..leased.resources import Resources
from ..metrics import Metrics
from ..settings import Settings

MAX_PAYLOAD_BYTES = 4000
"""Maximum size of a job's payload in the platform's interface."""

MAX_TASKS = 1000
"""Maximum number of tasks of a job; callers send 150 at most."""

RETRY_AFTER_S = 1
"""Retry delay sent to callers by a process that cannot accept jobs yet or any more."""

CANCEL_TIMEOUT_S = 1.0
"""Time for which a cancel waits for its confirmation by agents, before it has to be repeated."""

FIRST_CONFIG_TIMEOUT_S = 0.5
"""Time that a request waits for the first configuration of a process that has just started, instead
of being refused."""

_JOB_ID = re.compile(r"[0-9a-f]{16}\Z")
_UNSUPPORTED_JOB_FIELDS = ("run_count",)
_UNSUPPORTED_STEP_FIELDS = (
    "gang",
    "same_rack",
    "speculative",
    "long_running",
    "fills",
    "target_ms",
    "max_unavailable",
)
_STATES = {JobOutcome.COMPLETED: "completed", JobOutcome.FAILED: "failed"}
_REASONS = {status.value: status.phrase for status in HTTPStatus}

StartResponse = Callable[..., Any]


class Response(NamedTuple):
    """A response to a caller; ``content`` is its JSON body."""

    status: int
    content: dict[str, Any]
    retry_after_s: int = 0


class CallerApp:
    """WSGI application that accepts jobs from callers.

    Parameters
    ----------
    entry : Entry
        Runs the jobs.
    feed : ConfigFeed
        Holds the configuration, with the queues.
    cfg : Settings
        Bounds on request bodies.
    metrics : Metrics
        Counters.
    """

    def __init__(self, entry: Entry, feed: ConfigFeed, cfg: Settings, metrics: Metrics) -> None:
        self._entry = entry
        self._feed = feed
        self._cfg = cfg
        self._metrics = metrics

    def apply_limits(self, limits: RequestLimits) -> None:
        """Apply the configuration's bounds on request bodies."""
        self._cfg = self._cfg._replace(
            max_body_kb=max(1, limits.max_body_bytes // 1024),
            body_timeout_ms=int(limits.idle_timeout_s * 1000),
        )

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Handle one request."""
        try:
            response = self._answer(environ)
        except GentianmuxError as exc:
            response = _refusal(exc)
        except Exception as exc:
            logger.bind(code=int(ResultCode.INTERNAL)).exception("request failed")
            response = _refusal(GentianmuxError(ResultCode.INTERNAL, type(exc).__name__))
        self._metrics.count("answers", label=str(response.status))
        if response.status not in (200, 410):
            logger.bind(
                method=environ["REQUEST_METHOD"],
                path=environ.get("PATH_INFO", "")[:100],
                status=response.status,
                config_version=self._feed.version,
                **response.content,
            ).info("refused")
        return self._write(response, start_response)

    def _write(self, response: Response, start_response: StartResponse) -> Iterable[bytes]:
        body = json.dumps(response.content).encode()
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        if response.retry_after_s:
            headers.append(("Retry-After", str(response.retry_after_s)))
        if self._entry.shutdown.has_begun:
            headers.append(("Connection", "close"))
        start_response(f"{response.status} {_REASONS[response.status]}", headers)
        return [body]

    def _answer(self, environ: dict[str, Any]) -> Response:
        queue, rest = self._find_queue(environ)
        method = environ["REQUEST_METHOD"]
        if method == "GET" and not rest:
            return Response(200, {"pending": self._entry.unstarted_jobs(queue.name)})
        if not _JOB_ID.match(rest):
            raise GentianmuxError(ResultCode.BAD_ID, "a job id has 16 hexadecimal digits")
        if method == "POST":
            return self._submit(environ, queue, rest)
        if method == "DELETE":
            return self._cancel(rest)
        if method == "GET":
            # The result of a job is sent in the response to its POST and not kept.
            return Response(410, {"error": "no such job is kept"})
        raise GentianmuxError(ResultCode.METHOD_NOT_ALLOWED, method)

    def _cancel(self, job_id: str) -> Response:
        """Cancel a job, also one that another entry runs or that arrives later."""
        pending = self._entry.canceller.cancel(job_id)
        try:
            if pending.confirmed.wait(CANCEL_TIMEOUT_S):
                return Response(200, {"state": "cancelled"})
        finally:
            self._entry.canceller.forget(pending)
        content = {"error": "too few agents have confirmed the cancel", "job": job_id}
        return Response(503, content, RETRY_AFTER_S)

    def _find_queue(self, environ: dict[str, Any]) -> tuple[QueueConfig, str]:
        config = self._feed.wait_for_config(FIRST_CONFIG_TIMEOUT_S)
        if config is None:
            raise GentianmuxError(ResultCode.CONFIG_MISSING, retry_after_ms=RETRY_AFTER_S * 1000)
        host = environ.get("HTTP_HOST", "").partition(":")[0].lower()
        path = environ.get("PATH_INFO", "")
        found = [q for q in config.queues if q.host == host and path.startswith(q.prefix)]
        if not found:
            raise GentianmuxError(ResultCode.NOT_FOUND, "no queue has this host and path")
        queue = max(found, key=lambda each: len(each.prefix))
        return queue, path[len(queue.prefix) :]

    def _submit(self, environ: dict[str, Any], queue: QueueConfig, job_id: str) -> Response:
        time_limit_s = _time_limit_s(environ, queue)
        spec = decode_job(job_id, read_body(environ, self._cfg))
        if not self._entry.shutdown.accepts(spec):
            raise GentianmuxError(ResultCode.DRAINING, retry_after_ms=RETRY_AFTER_S * 1000)
        handle = self._entry.submit(spec, queue, time_limit_s)
        result = wait_for_result(self._entry, handle, environ.get("gentianmux.socket"))
        if result.outcome in _STATES:
            return Response(200, {"state": _STATES[result.outcome]})
        if result.outcome is JobOutcome.CANCELLED:
            return Response(200, {"state": "cancelled"})
        status = 503 if result.outcome is JobOutcome.NOT_RUN else 504
        content = {"error": result.reason, "job": job_id, "outcome": result.outcome.value}
        return Response(status, content, result.retry_after_s)


def _time_limit_s(environ: dict[str, Any], queue: QueueConfig) -> float:
    header = environ.get("HTTP_GENTIANMUX_DEADLINE_MS", "")
    if not header:
        return max(1, queue.timeout_ms) / 1000
    try:
        limit_ms = float(header)
    except ValueError as exc:
        raise GentianmuxError(ResultCode.BAD_HEADER, "the deadline is no number") from exc
    if not 0 < limit_ms < 1e9:
        raise GentianmuxError(ResultCode.BAD_HEADER, "the deadline is out of range")
    return limit_ms / 1000


def decode_job(job_id: str, body: bytes) -> JobSpec:
    """Decode a job.

    Raises
    ------
    GentianmuxError
        ``BAD_JSON`` or ``BAD_FIELD`` for a malformed job, ``NOT_SERVED`` for unsupported features.
    """
    try:
        content = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise GentianmuxError(ResultCode.BAD_JSON) from exc
    if not isinstance(content, dict):
        raise GentianmuxError(ResultCode.BAD_JSON)
    payload = content.get("spec", "")
    if not isinstance(payload, str) or not _is_payload(payload):
        raise GentianmuxError(ResultCode.BAD_FIELD, "spec is no text of up to 4,000 bytes")
    _check_supported(content)
    rows = content.get("steps")
    if not isinstance(rows, list) or not rows or not all(isinstance(row, dict) for row in rows):
        raise GentianmuxError(ResultCode.BAD_FIELD, "steps is no list of steps")
    steps = tuple(_step(number, row) for number, row in enumerate(rows))
    if sum(step.tasks for step in steps) > MAX_TASKS:
        raise GentianmuxError(ResultCode.TOO_MANY_TASKS, f"more than {MAX_TASKS} tasks")
    return JobSpec(job_id, payload, steps)


def _is_payload(text: str) -> bool:
    try:
        return len(text.encode()) <= MAX_PAYLOAD_BYTES
    except UnicodeEncodeError:
        return False


def _check_supported(content: dict[str, Any]) -> None:
    if not content.get("best_effort"):
        raise GentianmuxError(ResultCode.NOT_SERVED, "jobs that have to be kept")
    for name in _UNSUPPORTED_JOB_FIELDS:
        if content.get(name):
            raise GentianmuxError(ResultCode.NOT_SERVED, f"jobs with {name}")


def _step(number: int, row: dict[str, Any]) -> StepSpec:
    for name in _UNSUPPORTED_STEP_FIELDS:
        if row.get(name):
            raise GentianmuxError(ResultCode.NOT_SERVED, f"steps with {name}")
    after = row.get("after", [])
    if not isinstance(after, list) or not all(type(n) is int and 0 <= n < number for n in after):
        raise GentianmuxError(ResultCode.BAD_FIELD, "after names a step that does not come before")
    # ``anti_affinity`` is the maximum number of the step's tasks on one endpoint.
    return StepSpec(
        tasks=_get_int(row, "count", 1),
        need=Resources(_get_int(row, "cpu"), _get_int(row, "mem_mb"), _get_int(row, "gpu")),
        estimate_ms=_get_int(row, "estimate_ms"),
        after=tuple(after),
        requires=_get_str(row, "requires"),
        prefers=_get_str(row, "affinity"),
        max_per_endpoint=_get_int(row, "anti_affinity"),
    )


def _get_int(row: dict[str, Any], name: str, least: int = 0) -> int:
    value = row.get(name, least)
    if type(value) not in (int, float) or not least <= value < 1e12 or value != int(value):
        raise GentianmuxError(ResultCode.BAD_FIELD, f"{name} is no whole number from {least} on")
    return int(value)


def _get_str(row: dict[str, Any], name: str) -> str:
    value = row.get(name, "")
    if not isinstance(value, str):
        raise GentianmuxError(ResultCode.BAD_FIELD, f"{name} is no text")
    return value


def _refusal(exc: GentianmuxError) -> Response:
    content = {"error": exc.detail, "code": int(exc.code), "name": exc.code.label}
    retry_after_s = -(-exc.retry_after_ms // 1000)
    return Response(exc.code.info.http_status, content, retry_after_s)
