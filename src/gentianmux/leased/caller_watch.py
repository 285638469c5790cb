"""Waits for a job's verdict while watching whether its caller is still there."""

import socket
from typing import Any

import gevent
from loguru import logger

from .entry import Entry
from .job_state import Outcome
from .ticket import Ticket, Verdict

LAST_WORD_S = 0.5
"""Seconds beyond its deadline in which a job's verdict must have come; the entry checks deadlines
every 20 ms, so this only guards against a fault of ours."""


def wait_for_verdict(entry: Entry, ticket: Ticket, sock: Any) -> Verdict:
    """Wait for a job's verdict; the job is stopped when its last caller leaves.

    Parameters
    ----------
    entry : Entry
        Coordinates the job.
    ticket : Ticket
        The job.
    sock : socket or None
        The caller's connection.
    """
    ticket.waiters += 1
    watcher = gevent.spawn(_watch, entry, ticket, sock) if sock is not None else None
    left_s = ticket.job.deadline - entry.now() + LAST_WORD_S
    try:
        ticket.done.wait(max(LAST_WORD_S, left_s))
    finally:
        ticket.waiters -= 1
        if watcher is not None:
            watcher.kill(block=False)
    if ticket.verdict is None:
        logger.bind(job=ticket.job.spec.job_id).error("no verdict in time")
        entry.abandon(ticket, "no verdict in time")
    return ticket.verdict or Verdict(Outcome.UNKNOWN, "no verdict in time")


def _watch(entry: Entry, ticket: Ticket, sock: Any) -> None:
    """Stop the job when the caller closes; bytes that wait are its next request."""
    try:
        gevent.socket.wait_read(sock.fileno())
        gone = not sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return
    except OSError:
        gone = True
    if gone and ticket.waiters <= 1:
        entry.abandon(ticket, "the caller left")
