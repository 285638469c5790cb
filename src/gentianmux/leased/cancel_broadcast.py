"""Propagates cancelled jobs to all entries and agents, so that none of them starts one again."""

from collections import defaultdict
from collections.abc import Callable

from loguru import logger

from ..clock import Clock
from ..metrics import Metrics
from .cancellations import Cancellations
from .links import Links
from .messages import Cancelled, CancelledSeen

RELAY_DELAY_S = 0.01
"""Delay before cancelled jobs are passed on, which combines many into one message."""

UNCONFIRMED_NUMBER = 0
"""Number of a message that needs no ``CancelledSeen``."""

MAX_JOBS_PER_MESSAGE = 1000
"""Cancelled jobs in one message, 16 KB."""


class CancelBroadcast:
    """Sends cancelled jobs to every peer, at once and when a connection opens.

    Every process passes on what it learns, so that a cancel also reaches peers without a direct
    connection. An agent checks each start against the cancelled jobs, so an entry need not ask
    other processes before it starts a job.

    Parameters
    ----------
    links : Links
        Connections to peers.
    metrics : Metrics
        Counters.
    clock : Clock
        Monotonic time and deferred calls.
    on_cancelled : callable
        Called with the ids of jobs that peers report as cancelled and that were not known here.

    Attributes
    ----------
    cancellations : Cancellations
        The cancelled jobs that are known here.
    on_seen : callable
        Called with the number of a message of ``publish`` and the peer that has received it.

    Examples
    --------
    ``broadcast.publish("5c0e7a21d94b36f8")`` when a caller cancels a job,
    ``broadcast.take(msg, "w1.7")`` for a message of a peer.
    """

    def __init__(
        self,
        links: Links,
        metrics: Metrics,
        clock: Clock,
        on_cancelled: Callable[[list[str]], None],
    ) -> None:
        self.cancellations = Cancellations()
        self.on_seen: Callable[[int, str], None] = lambda number, process: None
        self._links = links
        self._metrics = metrics
        self._clock = clock
        self._on_cancelled = on_cancelled
        self._number = 0
        self._to_relay: dict[str, str] = {}

    def publish(self, job_id: str) -> int:
        """Remember a cancelled job, send it to all peers and return the number of the message."""
        self.cancellations.add(job_id, self._clock.now())
        self._metrics.gauge("cancelled_jobs", len(self.cancellations))
        self._number += 1
        for process in self._links.processes():
            self._links.send(process, Cancelled(self._number, [job_id]))
        return self._number

    def take(self, msg: Cancelled, process: str) -> None:
        """Remember jobs that a peer reports as cancelled, and pass the new ones on."""
        now = self._clock.now()
        new = [job_id for job_id in msg.job_ids if self.cancellations.add(job_id, now)]
        if msg.number != UNCONFIRMED_NUMBER:
            self._links.send(process, CancelledSeen(msg.number))
        if not new:
            return
        logger.bind(jobs=len(new), first=new[0], peer=process).info("cancelled jobs learned")
        self._metrics.gauge("cancelled_jobs", len(self.cancellations))
        if not self._to_relay:
            self._clock.call_later(RELAY_DELAY_S, self._relay)
        self._to_relay.update(dict.fromkeys(new, process))
        self._on_cancelled(new)

    def take_seen(self, msg: CancelledSeen, process: str) -> None:
        """Note that a peer has received a message of ``publish``."""
        self.on_seen(msg.number, process)

    def send_all(self, process: str) -> None:
        """Send all cancelled jobs to a peer whose connection has opened."""
        self._send(process, self.cancellations.job_ids(self._clock.now()))

    def send_one(self, process: str, job_id: str) -> None:
        """Send a cancelled job to a peer that tries to start it.

        One that only may have been cancelled is not sent: peers would take it for cancelled.
        """
        if job_id in self.cancellations:
            self._send(process, [job_id])

    def _relay(self) -> None:
        by_origin: dict[str, list[str]] = defaultdict(list)
        for job_id, origin in self._to_relay.items():
            by_origin[origin].append(job_id)
        self._to_relay = {}
        for process in self._links.processes():
            for origin, job_ids in by_origin.items():
                if origin != process:
                    self._send(process, job_ids)

    def _send(self, process: str, job_ids: list[str]) -> None:
        for first in range(0, len(job_ids), MAX_JOBS_PER_MESSAGE):
            batch = job_ids[first : first + MAX_JOBS_PER_MESSAGE]
            self._links.send(process, Cancelled(UNCONFIRMED_NUMBER, batch))
