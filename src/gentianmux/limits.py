"""Bounds on what one member may have in work at an entry, and how fast it may send."""

from collections import Counter
from random import Random

from .codes import ResultCode
from .config_state import ConfigState
from .errors import GentianmuxError
from .settings import Settings

MEMBER_PART = 2
RETRY_AFTER_MS = 1000


class MemberLimits:
    """Refuses early, before anything is asked, so that a refusal is surely not run.

    Parameters
    ----------
    cfg : Settings
        ``max_inflight`` bounds the entry; one member may take half of it.
    config : ConfigState
        Members' rates.
    rng : Random
        Spreads the advice on when to come back.

    Examples
    --------
    >>> limits = MemberLimits(Settings(max_inflight=2), ConfigState(), Random(1))
    >>> limits.acquire("steppe", 0.0, entries=1)
    >>> limits.release("steppe")
    """

    def __init__(self, cfg: Settings, config: ConfigState, rng: Random) -> None:
        self._cfg = cfg
        self._config = config
        self._rng = rng
        self._inflight: Counter[str] = Counter()
        self._total = 0
        self._tokens: dict[str, tuple[float, float]] = {}

    def acquire(self, member: str, now: float, entries: int) -> None:
        """Count a request in, or refuse it.

        Parameters
        ----------
        member : str
            Whose request it is.
        now : float
            Monotonic time in seconds.
        entries : int
            Live entries, among which a member's rate is split.

        Raises
        ------
        GentianmuxError
            ``OVERLOADED``, ``QUEUE_FULL`` or ``RATE_LIMITED``, with advice on when to come back.
        """
        if self._total >= self._cfg.max_inflight:
            raise self._refusal(ResultCode.OVERLOADED)
        if self._inflight[member] >= max(1, self._cfg.max_inflight // MEMBER_PART):
            raise self._refusal(ResultCode.QUEUE_FULL)
        if not self._take_token(member, now, entries):
            raise self._refusal(ResultCode.RATE_LIMITED)
        self._inflight[member] += 1
        self._total += 1

    def release(self, member: str) -> None:
        """Count a request out."""
        self._inflight[member] -= 1
        self._total -= 1

    def _take_token(self, member: str, now: float, entries: int) -> bool:
        rules = self._config.member(member) or {}
        if "rate_per_s" not in rules:
            return True
        rate = rules["rate_per_s"] / max(1, entries)
        held, since = self._tokens.get(member, (max(1.0, rate), now))
        held = min(max(1.0, rate), held + (now - since) * rate)
        self._tokens[member] = (held - 1 if held >= 1 else held, now)
        return held >= 1

    def _refusal(self, code: ResultCode) -> GentianmuxError:
        spread = self._rng.uniform(0.5, 1.5)
        return GentianmuxError(code, retry_after_ms=int(RETRY_AFTER_MS * spread))
