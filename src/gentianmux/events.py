"""Log output as JSON lines, or as text for a terminal."""

import json
import os
import sys
from collections import deque
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event
from loguru import logger

from .settings import Settings

MAX_PENDING_LINES = 2000
"""Lines buffered while the reader is not reading: some 5 s of a busy entry, 0.6 MB."""

MAX_LINES_PER_S = 400
"""Rate above which only warnings and errors are written: four times that of a busy entry."""


def set_up_logging(cfg: Settings, process: str) -> None:
    """Configure logging to standard error.

    Parameters
    ----------
    cfg : Settings
        Supplies ``log_level`` and ``log_format``.
    process : str
        Process name, added to every event in JSON form.
    """
    logger.remove()
    level = cfg.log_level.upper()
    if cfg.log_format == "text":
        logger.add(sys.stderr, level=level, format="{time:HH:mm:ss.SSS} {level} {message} {extra}")
    else:
        logger.add(_JsonSink(process), level=level, format="{message}")


def set_up_decision_log(process: str, on_dropped: Callable[[int], None]) -> "BoundedLineWriter":
    """Configure JSON logging to standard output that never blocks on its reader.

    Parameters
    ----------
    process : str
        Process name, added to every event in JSON form.
    on_dropped : callable
        Called with the number of lines dropped.

    Returns
    -------
    BoundedLineWriter
        The writer, already running in a greenlet of its own.
    """
    lines = BoundedLineWriter(sys.stdout.fileno(), on_dropped)
    logger.remove()
    logger.add(_JsonSink(process, lines.put), level="INFO", format="{message}")
    gevent.spawn(lines.run)
    return lines


class BoundedLineWriter:
    """Non-blocking line writer with a bounded buffer; lines beyond the bound are dropped.

    Parameters
    ----------
    fd : int
        File descriptor to write to; it is switched to non-blocking mode.
    on_dropped : callable
        Called with the number of lines dropped.
    """

    def __init__(self, fd: int, on_dropped: Callable[[int], None]) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._on_dropped = on_dropped
        self._pending: deque[bytes] = deque()
        self._unwritten = b""
        self._wake = Event()
        self._current_second = 0
        self._lines_this_second = 0

    def put(self, line: str, urgent: bool, second: int) -> None:
        """Buffer a line, or drop it when the buffer is full or the rate limit is exceeded.

        Parameters
        ----------
        line : str
            Text to write, with its newline.
        urgent : bool
            Whether the line is exempt from the rate limit.
        second : int
            Unix time of the line in whole seconds.
        """
        if second != self._current_second:
            self._current_second, self._lines_this_second = second, 0
        self._lines_this_second += 1
        over_rate = self._lines_this_second > MAX_LINES_PER_S and not urgent
        if over_rate or len(self._pending) >= MAX_PENDING_LINES:
            self._on_dropped(1)
            return
        self._pending.append(line.encode())
        self._wake.set()

    def run(self) -> None:
        """Write buffered lines until the process exits."""
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._pending or self._unwritten:
                if not self.write_some():
                    gevent.sleep(0.05)
            gevent.sleep(0)

    def write_some(self) -> bool:
        """Write as much as the descriptor accepts; return False if it accepts nothing."""
        data = b"".join((self._unwritten, *self._pending))
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            return False
        except OSError:
            # The reading end is closed for good, so retrying cannot succeed.
            self._on_dropped(len(self._pending) + bool(self._unwritten))
            self._pending.clear()
            self._unwritten = b""
            return True
        self._remove_written(written)
        return written > 0

    def _remove_written(self, count: int) -> None:
        """Remove bytes that were written; the rest of a line that they end in stays apart.

        Lines keep being counted one by one, however few of them a slow reader takes at a time.
        """
        while count > len(self._unwritten):
            count -= len(self._unwritten)
            self._unwritten = self._pending.popleft()
        self._unwritten = self._unwritten[count:]


class _JsonSink:
    def __init__(self, process: str, put: Callable[[str, bool, int], None] | None = None) -> None:
        self._process = process
        self._put = put

    def __call__(self, message: Any) -> None:
        record = message.record
        event = {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name.lower(),
            "process": self._process,
            "event": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            event["exception"] = repr(record["exception"].value)
        line = json.dumps(event, default=str) + "\n"
        if self._put is None:
            sys.stderr.write(line)
        else:
            self._put(line, record["level"].no >= 30, int(record["time"].timestamp()))
