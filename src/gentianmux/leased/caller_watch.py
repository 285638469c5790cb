"""Waits for a job's verdict while watching whether its caller is still there."""

import socket
from typing import Any

import gevent
from loguru import logger

from .entry import Entry
from .job_handle import JobHandle, JobResult
from .job_state import JobOutcome

LAST_WORD_S = 0.5
"""Seconds beyond its deadline in which a job's verdict must have come; the entry checks deadlines
every 20 ms, so this only guards against a fault of ours."""

READABLE = 1
"""What the event loop is asked to watch for: bytes, or the end of the connection."""


def wait_for_result(entry: Entry, handle: JobHandle, sock: Any) -> JobResult:
    """Wait for a job's verdict; the job is stopped when its last caller leaves.

    Parameters
    ----------
    entry : Entry
        Coordinates the job.
    handle : JobHandle
        The job.
    sock : socket or None
        The caller's connection.
    """
    handle.waiters += 1
    watch = None if sock is None else CallerWatch(entry, handle, sock)
    left_s = handle.job.deadline - entry.now() + LAST_WORD_S
    try:
        handle.done.wait(max(LAST_WORD_S, left_s))
    finally:
        handle.waiters -= 1
        if watch is not None:
            watch.stop()
    if handle.result is None:
        logger.bind(job=handle.job.spec.job_id).error("no verdict in time")
        entry.abandon(handle, "no verdict in time")
    return handle.result or JobResult(JobOutcome.UNKNOWN, "no verdict in time")


class CallerWatch:
    """Stops a job when its caller closes the connection.

    The event loop itself watches, so that ``stop`` has taken effect when it returns. Ended a turn
    later, the loop was still to watch connections that had been closed with their answers, and
    ended the process: at once with 100 callers whose jobs were refused.

    Parameters
    ----------
    entry : Entry
        Coordinates the job.
    handle : JobHandle
        The job.
    sock : socket
        The caller's connection.

    Examples
    --------
    ``watch = CallerWatch(entry, handle, sock)``, and ``watch.stop()`` before the answer is sent.
    """

    def __init__(self, entry: Entry, handle: JobHandle, sock: Any) -> None:
        self._entry = entry
        self._ticket = handle
        self._sock = sock
        self._watcher = gevent.get_hub().loop.io(sock.fileno(), READABLE)
        self._watcher.start(self._on_readable)

    def stop(self) -> None:
        """Watch no longer, from this moment on."""
        self._watcher.stop()
        self._watcher.close()

    def _on_readable(self) -> None:
        """Stop the job when the caller has closed; bytes that wait are its next request."""
        self._watcher.stop()
        if self._is_gone() and self._ticket.waiters <= 1:
            self._entry.abandon(self._ticket, "the caller left")

    def _is_gone(self) -> bool:
        try:
            return not self._sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
