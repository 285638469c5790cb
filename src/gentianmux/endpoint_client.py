"""Starts tasks at the endpoint beside an agent, over HTTP by IP number."""

import json
from typing import Any, NamedTuple

import gevent
from geventhttpclient import HTTPClient

from .codes import ResultCode
from .http_errors import HTTP_CALL_ERRORS
from .messages import Task
from .settings import Settings
from .start_records import JobRecord

CONNECT_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 2.0


class TaskOutcome(NamedTuple):
    """How a task ended at the endpoint."""

    code: ResultCode
    output: str


class EndpointClient:
    """Talks to one endpoint.

    Parameters
    ----------
    cfg : Settings
        Its address, its slots and the lease of a task.
    """

    def __init__(self, cfg: Settings) -> None:
        ip, _, port = cfg.endpoint.partition(":")
        self._cfg = cfg
        self._tasks = HTTPClient(
            ip,
            int(port),
            concurrency=cfg.slots,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=cfg.task_timeout_ms / 1000,
        )
        self._control = HTTPClient(
            ip,
            int(port),
            concurrency=2,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=CONTROL_TIMEOUT_S,
        )

    def run(self, job: JobRecord, task: Task, timeout_s: float) -> TaskOutcome:
        """Run a task and wait for its result.

        Parameters
        ----------
        job : JobRecord
            The job it belongs to.
        task : Task
            The task.
        timeout_s : float
            Seconds until its outcome is given up as unknown.

        Returns
        -------
        TaskOutcome
            ``OK`` with the output, ``TASK_FAILED``, ``ENDPOINT_REFUSED`` (did not start),
            ``STOPPED``, or ``TASK_UNKNOWN`` when no answer came.
        """
        body = json.dumps(
            {
                "task": task_name(job.key, task),
                "service": job.service,
                "member": job.member,
                "payload": task.payload,
                "size_ms": task.size_ms,
                "lease_ms": self._cfg.task_lease_ms,
            }
        ).encode()
        timeout = gevent.Timeout(timeout_s)
        try:
            with timeout:
                response = self._tasks.post("/v1/tasks", body=body)
                return _read_run(response.status_code, bytes(response.read()))
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            return TaskOutcome(ResultCode.TASK_UNKNOWN, "no answer in time")
        except ConnectionRefusedError:
            return TaskOutcome(ResultCode.ENDPOINT_REFUSED, "nothing listens at the endpoint")
        except HTTP_CALL_ERRORS as exc:
            return TaskOutcome(ResultCode.TASK_UNKNOWN, type(exc).__name__)

    def renew(self, names: list[str]) -> None:
        """Renew the leases of running tasks, all in one call."""
        self._call("/v1/lease", {"tasks": names, "lease_ms": self._cfg.task_lease_ms})

    def stop(self, names: list[str]) -> None:
        """Ask the endpoint to stop tasks; each still ends by the answer to its own call."""
        self._call("/v1/stop", {"tasks": names})

    def throttle(self, names: list[str], share: float) -> None:
        """Ask the endpoint to give tasks only a share of their processor time."""
        self._call("/v1/throttle", {"tasks": names, "share": share})

    def checkpoint(self, names: list[str]) -> None:
        """Ask the endpoint to save the state of tasks."""
        self._call("/v1/checkpoint", {"tasks": names})

    def usage(self) -> dict[str, Any]:
        """What the endpoint reports of its usage, which lags; empty when it does not answer."""
        try:
            with gevent.Timeout(CONTROL_TIMEOUT_S):
                return dict(json.loads(self._control.get("/v1/usage").read()))
        except HTTP_CALL_ERRORS:
            return {}

    def _call(self, path: str, content: dict[str, Any]) -> bool:
        try:
            with gevent.Timeout(CONTROL_TIMEOUT_S):
                response = self._control.post(path, body=json.dumps(content).encode())
                response.read()
                return int(response.status_code) == 200
        except HTTP_CALL_ERRORS:
            return False


def task_name(key: str, task: Task) -> str:
    """Name of a task at its endpoint: job, index and attempt."""
    return f"{key}/{task.number}/{task.attempt}"


def _read_run(status: int, data: bytes) -> TaskOutcome:
    content = json.loads(data)
    output = str(content.get("output", content.get("error", "")))
    if not output.isascii():
        output = output.encode("utf-8", "replace").decode()
    if status == 200:
        return TaskOutcome(ResultCode.OK, output)
    if status == 409:
        return TaskOutcome(ResultCode.STOPPED, output)
    if status == 410:
        return TaskOutcome(ResultCode.TASK_UNKNOWN, "the task's lease lapsed")
    if status == 429:
        return TaskOutcome(ResultCode.ENDPOINT_REFUSED, output)
    return TaskOutcome(ResultCode.TASK_FAILED, output)
