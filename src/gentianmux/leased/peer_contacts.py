"""How lately other entries have answered this one."""

from collections.abc import Iterator

CONTACT_S = 0.7
"""Time for which an answer proves contact, from when its request was sent: a lost beat, and the
turns of a busy event loop."""

MAX_SENT = 200
"""Unanswered requests of which the time is kept, for each process."""


class PeerContacts:
    """Tracks the contact of this entry with the processes of other entries; pure.

    A request that is answered proves that the other process was running after the request had been
    sent. The proof is dated by that time, on the clock of this process, so that neither a pause of
    one of the two nor a slow answer makes it look newer than it is.

    Examples
    --------
    >>> contacts = PeerContacts()
    >>> number = contacts.record_sent("e2.5", now=10.0)
    >>> contacts.record_answer("e2.5", number, now=10.3)
    10.0
    >>> contacts.is_current("e2.5", now=10.6), contacts.is_current("e2.5", now=10.8)
    (True, False)
    """

    def __init__(self) -> None:
        self._number = 0
        self._sent: dict[str, dict[int, float]] = {}
        self._proved_at: dict[str, float] = {}
        self._since: dict[str, float] = {}

    def record_sent(self, process: str, now: float) -> int:
        """Record a request, and return its number."""
        self._number += 1
        sent = self._sent.setdefault(process, {})
        sent[self._number] = now
        if len(sent) > MAX_SENT:
            del sent[next(iter(sent))]
        return self._number

    def record_answer(self, process: str, number: int, now: float) -> float | None:
        """Record an answer; returns when its request was sent, None if that is not known."""
        sent = self._sent.get(process, {})
        sent_at = sent.pop(number, None)
        if sent_at is None:
            return None
        # Answers come in order, unless the connection has been replaced.
        for earlier in [each for each in sent if each < number]:
            del sent[earlier]
        if not self.is_current(process, now):
            self._since[process] = now
        self._proved_at[process] = max(sent_at, self._proved_at.get(process, 0.0))
        return sent_at

    def proved_until(self, process: str) -> float:
        """Monotonic time up to which contact with a process is proved; 0.0 if it never was."""
        proved_at = self._proved_at.get(process)
        return 0.0 if proved_at is None else proved_at + CONTACT_S

    def is_current(self, process: str, now: float) -> bool:
        """Whether there is contact with a process."""
        return now < self.proved_until(process)

    def lasting_s(self, process: str, now: float) -> float:
        """Seconds for which the contact with a process has lasted; 0.0 if there is none."""
        return now - self._since[process] if self.is_current(process, now) else 0.0

    def awaited_since(self, process: str) -> float | None:
        """When the earliest request without an answer was sent; None if there is none."""
        return next(self._sent_times(process), None)

    def _sent_times(self, process: str) -> Iterator[float]:
        return iter(self._sent.get(process, {}).values())

    def forget_requests(self, process: str) -> None:
        """Forget unanswered requests, which were lost with their connection."""
        self._sent.pop(process, None)

    def remove(self, process: str) -> None:
        """Forget a process that has ended."""
        self._sent.pop(process, None)
        self._proved_at.pop(process, None)
        self._since.pop(process, None)
