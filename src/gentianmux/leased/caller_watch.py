"""Waits for a job's result, and stops the job when its caller disconnects."""

import socket
from typing import Any

import gevent
from loguru import logger

from .entry import Entry
from .job_handle import JobHandle, JobResult
from .job_state import JobOutcome

RESULT_GRACE_S = 0.5
"""Seconds after its deadline within which a job must have its result. The entry checks deadlines
more often, so only a fault of the entry exceeds them."""

READABLE = 1
"""Event mask of the event loop: data to read, or the end of the connection."""


def wait_for_result(entry: Entry, handle: JobHandle, sock: Any) -> JobResult:
    """Wait for a job's result; the job is stopped when its last caller disconnects.

    Parameters
    ----------
    entry : Entry
        Coordinates the job.
    handle : JobHandle
        The job.
    sock : socket or None
        The caller's connection; None to wait without watching it.

    Returns
    -------
    JobResult
        The result; an unknown outcome when there is none in time.
    """
    handle.waiters += 1
    watch = None if sock is None else CallerWatch(entry, handle, sock)
    remaining_s = handle.job.deadline - entry.now() + RESULT_GRACE_S
    try:
        handle.done.wait(max(RESULT_GRACE_S, remaining_s))
    finally:
        if watch is None or not watch.has_left:
            handle.waiters -= 1
        if watch is not None:
            watch.stop()
    if handle.result is None:
        logger.bind(job=handle.job.spec.job_id).error("job has no result after its deadline")
        entry.abandon(handle, "no verdict in time")
    return handle.result or JobResult(JobOutcome.UNKNOWN, "no verdict in time")


class CallerWatch:
    """Stops a job when its caller closes the connection.

    The event loop watches the connection itself, so that ``stop`` has taken effect when it returns.
    A greenlet would end later: the loop would still poll a descriptor that was closed after the
    answer, which ends the process.

    Parameters
    ----------
    entry : Entry
        Coordinates the job.
    handle : JobHandle
        The job.
    sock : socket
        The caller's connection.

    Attributes
    ----------
    has_left : bool
        Whether the caller has left; it then counts no longer among those that wait for the job.

    Examples
    --------
    ``watch = CallerWatch(entry, handle, sock)``, and ``watch.stop()`` before the answer is sent.
    """

    def __init__(self, entry: Entry, handle: JobHandle, sock: Any) -> None:
        self.has_left = False
        self._entry = entry
        self._handle = handle
        self._sock = sock
        self._watcher = gevent.get_hub().loop.io(sock.fileno(), READABLE)
        self._watcher.start(self._on_readable)

    def stop(self) -> None:
        """Stop watching, with immediate effect."""
        self._watcher.stop()
        self._watcher.close()

    def _on_readable(self) -> None:
        """Stop the job if its last caller has disconnected; other data is the next request."""
        self._watcher.stop()
        if not self._is_disconnected():
            return
        self.has_left = True
        self._handle.waiters -= 1
        if self._handle.waiters <= 0:
            self._entry.abandon(self._handle, "the caller left")

    def _is_disconnected(self) -> bool:
        try:
            return not self._sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
