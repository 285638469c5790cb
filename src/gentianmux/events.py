"""Log events: one JSON object a line, or text for a terminal."""

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

MAX_WAITING_LINES = 2000
"""Lines kept while nobody takes them: some 5 s of a busy entry, 0.6 MB."""

MAX_LINES_PER_S = 400
"""Lines a second beyond which only warnings and errors pass: four times a busy entry's rate."""


def set_up_logging(cfg: Settings, process: str) -> None:
    """Send log events to standard error in the form that the settings ask for.

    Parameters
    ----------
    cfg : Settings
        Level and form.
    process : str
        Stands on every event.
    """
    logger.remove()
    level = cfg.log_level.upper()
    if cfg.log_format == "text":
        logger.add(sys.stderr, level=level, format="{time:HH:mm:ss.SSS} {level} {message} {extra}")
    else:
        logger.add(_JsonSink(process), level=level, format="{message}")


def set_up_decision_log(process: str, on_dropped: Callable[[int], None]) -> "BoundedLines":
    """Send log events to standard output, bounded and without ever waiting for a reader.

    Parameters
    ----------
    process : str
        Stands on every event.
    on_dropped : callable
        Called with the number of lines that were dropped.
    """
    lines = BoundedLines(sys.stdout.fileno(), on_dropped)
    logger.remove()
    logger.add(_JsonSink(process, lines.put), level="INFO", format="{message}")
    gevent.spawn(lines.run)
    return lines


class BoundedLines:
    """Writes lines to a descriptor as it takes them; what waits is bounded, the rest dropped.

    Parameters
    ----------
    descriptor : int
        Where to write; it is set not to block.
    on_dropped : callable
        Called with the number of lines that were dropped.
    """

    def __init__(self, descriptor: int, on_dropped: Callable[[int], None]) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._on_dropped = on_dropped
        self._waiting: deque[bytes] = deque()
        self._wake = Event()
        self._second = 0
        self._in_second = 0

    def put(self, line: str, urgent: bool, second: int) -> None:
        """Queue a line; ``urgent`` ones pass the bound on lines a second."""
        if second != self._second:
            self._second, self._in_second = second, 0
        self._in_second += 1
        over_rate = self._in_second > MAX_LINES_PER_S and not urgent
        if over_rate or len(self._waiting) >= MAX_WAITING_LINES:
            self._on_dropped(1)
            return
        self._waiting.append(line.encode())
        self._wake.set()

    def run(self) -> None:
        """Write for as long as the process lives."""
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._waiting:
                if not self.write_some():
                    gevent.sleep(0.05)
            gevent.sleep(0)

    def write_some(self) -> bool:
        """Write what is taken at once; false when nothing is."""
        data = b"".join(self._waiting)
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody will ever read this descriptor again.
            self._on_dropped(len(self._waiting))
            self._waiting.clear()
            return True
        self._waiting.clear()
        if written < len(data):
            self._waiting.append(data[written:])
        return written > 0


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
