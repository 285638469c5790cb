"""What operators say: read from the store, handed on by peers, never going back."""

from collections.abc import Callable

import gevent
from gevent.event import Event
from loguru import logger

from ..clock import Clock, run_periodically
from ..errors import GentianmuxError, LogError
from ..metrics import Metrics
from ..platform_log import KeyedLog
from .evacuations import EvacuationFeed
from .model import JobConfig

WATCH_S = 1.5
"""Seconds that a read waits for a change, which is answered at once. With the spare time of a read
it bounds how long a connection to the store that went silent goes unnoticed, and stays below the
3 s after which a configuration has to be in force again."""

AGAIN_S = 0.25
"""Seconds between tries while the store does not answer: several within its shortest outage."""

Decode = Callable[[bytes], JobConfig]


class ConfigSource:
    """Where operators' words lie in the store, and how they are read.

    Parameters
    ----------
    topic : str
        The operators' topic.
    key : str
        Key of the configuration.
    decode : callable
        Decodes it.
    evacuation_prefix : str
        How the keys of evacuations begin; the rest names a failure domain.
    """

    def __init__(self, topic: str, key: str, decode: Decode, evacuation_prefix: str) -> None:
        self.topic = topic
        self.key = key
        self.decode = decode
        self.evacuation_prefix = evacuation_prefix

    def evacuated_domain(self, key: str) -> str:
        """The failure domain that a record evacuates; empty for any other record."""
        prefix = self.evacuation_prefix
        return key.removeprefix(prefix) if key.startswith(prefix) else ""


class ConfigFeed:
    """Keeps the newest configuration that this process has seen, and the evacuations beside it.

    Parameters
    ----------
    source : ConfigSource
        Topic, key and decoder.
    store : KeyedLog
        The platform's store.
    metrics : Metrics
        Counters.
    clock : Clock
        Time.

    Attributes
    ----------
    evacuations : EvacuationFeed
        Which failure domains are evacuated.

    Examples
    --------
    ``feed.apply_if_newer(raw, "entry e1")`` takes a version in when it is newer than the present one.
    """

    def __init__(
        self, source: ConfigSource, store: KeyedLog, metrics: Metrics, clock: Clock
    ) -> None:
        self.current: JobConfig | None = None
        self.on_change: Callable[[JobConfig], None] = lambda config: None
        self.evacuations = EvacuationFeed(metrics)
        self._has_one = Event()
        self._source = source
        self._store = store
        self._metrics = metrics
        self._clock = clock
        self._offset: int | None = None

    @property
    def version(self) -> int:
        """Version of the present configuration, -1 for none."""
        return -1 if self.current is None else self.current.version

    def first(self, patience_s: float) -> JobConfig | None:
        """The present configuration; waits for one while there is none yet."""
        if self.current is None:
            self._has_one.wait(patience_s)
        return self.current

    def apply_if_newer(self, raw: bytes, origin: str) -> None:
        """Take in a configuration from a peer or the store, if it is newer and can be read."""
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
        self._has_one.set()
        self._metrics.gauge("config_version", config.version)
        self.on_change(config)

    def run(self) -> None:
        """Follow the store for as long as the process lives."""
        run_periodically(0.0, self.follow_once)

    def follow_once(self) -> None:
        """Take in what has come since the last call, waiting for it."""
        offset, self._offset = self._offset, None
        try:
            self._offset = self._read_newest() if offset is None else self._follow(offset)
        except LogError as exc:
            self._metrics.count("store_errors", label=exc.code.label)
            gevent.sleep(AGAIN_S)

    def _read_newest(self) -> int:
        newest = self._store.newest(self._source.topic)
        # Before the configuration: a process that has one may begin to place runs.
        listed = filter(None, map(self._source.evacuated_domain, newest.values))
        self.evacuations.apply_snapshot(listed, newest.end)
        if self._source.key in newest.values:
            self.apply_if_newer(newest.values[self._source.key], "store")
        return newest.end

    def _follow(self, offset: int) -> int:
        changes = self._store.changes(self._source.topic, offset, WATCH_S)
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
