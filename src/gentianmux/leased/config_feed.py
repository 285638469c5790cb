"""The newest configuration and evacuations, read from the store or received from peers."""

from collections.abc import Callable
from math import inf

import gevent
from gevent.event import Event
from loguru import logger

from ..clock import Clock, run_periodically
from ..errors import GentianmuxError, LogError
from ..metrics import Metrics
from ..platform_log import KeyedLog
from .evacuations import EvacuationFeed
from .model import JobConfig

LONG_POLL_S = 1.5
"""Time that a read waits for a change. Together with the margin of a read it bounds how long a
stalled connection to the store goes unnoticed, and must stay below the 3 s within which a new
configuration has to be in force."""

READING_S = 2.5
"""Time since its last read after which a process counts as cut off from the store: a long poll, and
a second for a slow store. Agents then read it themselves, well within the 5 s after which an
evacuation has to be in force."""

RETRY_DELAY_S = 0.25
"""Time between attempts while the store does not answer: several within its shortest outage."""

Decode = Callable[[bytes], JobConfig]


class ConfigSource:
    """Location and format of the configuration and evacuations in the store.

    Parameters
    ----------
    topic : str
        Topic that operators write to.
    key : str
        Key of the configuration.
    decode : callable
        Decodes a configuration; raises ``GentianmuxError`` when it is invalid.
    evacuation_prefix : str
        Prefix of the keys of evacuations; the rest is the name of a failure domain.
    """

    def __init__(self, topic: str, key: str, decode: Decode, evacuation_prefix: str) -> None:
        self.topic = topic
        self.key = key
        self.decode = decode
        self.evacuation_prefix = evacuation_prefix

    def evacuated_domain(self, key: str) -> str:
        """Failure domain that the record of a key evacuates; empty for any other record."""
        prefix = self.evacuation_prefix
        return key.removeprefix(prefix) if key.startswith(prefix) else ""


class ConfigFeed:
    """Holds the newest configuration seen by this process, and the evacuations.

    Versions only rise: an older configuration, from whatever source, is ignored.

    Parameters
    ----------
    source : ConfigSource
        Topic, keys and decoder.
    store : KeyedLog
        The platform's store.
    metrics : Metrics
        Counters.
    clock : Clock
        Source of monotonic time.

    Attributes
    ----------
    current : JobConfig or None
        The configuration in force.
    on_change : callable
        Called with each configuration that comes into force.
    evacuations : EvacuationFeed
        Failure domains that are evacuated.

    Examples
    --------
    ``feed.apply_if_newer(raw, "entry e1")`` puts a newer configuration in force;
    ``feed.wait_for_config(0.5)`` returns the current one.
    """

    def __init__(
        self, source: ConfigSource, store: KeyedLog, metrics: Metrics, clock: Clock
    ) -> None:
        self.current: JobConfig | None = None
        self.on_change: Callable[[JobConfig], None] = lambda config: None
        self.evacuations = EvacuationFeed(metrics)
        self._config_ready = Event()
        self._source = source
        self._store = store
        self._metrics = metrics
        self._clock = clock
        self._offset: int | None = None
        self._read_at = -inf

    @property
    def is_reading(self) -> bool:
        """Whether the store was read so lately that no change of it is unknown for long."""
        return self._clock.now() - self._read_at < READING_S

    @property
    def version(self) -> int:
        """Version of the configuration in force; -1 for none."""
        return -1 if self.current is None else self.current.version

    def wait_for_config(self, timeout_s: float) -> JobConfig | None:
        """The configuration in force; waits up to ``timeout_s`` seconds for the first one."""
        if self.current is None:
            self._config_ready.wait(timeout_s)
        return self.current

    def apply_if_newer(self, raw: bytes, origin: str) -> None:
        """Put a configuration in force if it is valid and newer than the current one."""
        try:
            config = self._source.decode(raw)
        except GentianmuxError as exc:
            self._metrics.count("configs_unreadable")
            logger.bind(origin=origin, code=int(exc.code)).error(
                "configuration unreadable: {}", exc
            )
            return
        if config.version <= self.version:
            return
        logger.bind(version=config.version, before=self.version, origin=origin).info(
            "configuration in force"
        )
        self.current = config
        self._config_ready.set()
        self._metrics.gauge("config_version", config.version)
        self.on_change(config)

    def run(self) -> None:
        """Follow the store until the process ends."""
        run_periodically(0.0, self.follow_once)

    def follow_once(self) -> None:
        """Apply the changes since the last call, waiting up to ``LONG_POLL_S`` for one."""
        if not self.read_once():
            gevent.sleep(RETRY_DELAY_S)

    def read_once(self) -> bool:
        """Apply the changes since the last call; false if the store did not answer."""
        offset, self._offset = self._offset, None
        try:
            self._offset = self._read_newest() if offset is None else self._follow(offset)
        except LogError as exc:
            self._metrics.count("store_errors", label=exc.code.label)
            return False
        self._read_at = self._clock.now()
        return True

    def _read_newest(self) -> int:
        newest = self._store.newest(self._source.topic)
        # Evacuations first: a process that has a configuration may start to place runs.
        evacuated = filter(None, map(self._source.evacuated_domain, newest.values))
        self.evacuations.apply_snapshot(evacuated, newest.end)
        if self._source.key in newest.values:
            self.apply_if_newer(newest.values[self._source.key], "store")
        return newest.end

    def _follow(self, offset: int) -> int:
        changes = self._store.changes(self._source.topic, offset, LONG_POLL_S)
        evacuations = [
            (domain, bool(value))
            for key, value in changes.values
            if (domain := self._source.evacuated_domain(key))
        ]
        self.evacuations.apply_changes(evacuations, changes.end)
        for key, value in changes.values:
            if key == self._source.key and value:
                self.apply_if_newer(value, "store")
        return changes.end
