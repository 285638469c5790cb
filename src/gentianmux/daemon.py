"""Command line of the daemon ``gentianmuxd``."""

import os
import signal
import sys
from collections.abc import Callable
from dataclasses import field, make_dataclass
from typing import Annotated, Any

import cappa
import gevent
from gevent.event import Event
from loguru import logger
from returns.result import Success

from . import __version__
from .codes import ResultCode
from .events import set_up_logging
from .node import Node
from .settings import OPTIONS, Settings, env_name, read_settings
from .standalone import Standalone

EXIT_BAD_SETTING = 2
EXIT_CANNOT_START = 3
EXIT_DRAIN_INCOMPLETE = 4


def _flag_field(name: str) -> tuple[str, Any, Any]:
    option = OPTIONS[name]
    default = Settings._field_defaults[name]
    shown = ",".join(default) if isinstance(default, tuple) else default
    unit = f" [{option.unit}]" if option.unit else ""
    choices = f" One of {', '.join(option.choices)}." if option.choices else ""
    text = f"{option.help}{choices}{unit} Default: {shown}. Also {env_name(name)}."
    arg: cappa.Arg[Any] = cappa.Arg(
        long=f"--{name.replace('_', '-')}", help=text, show_default=False
    )
    return name, Annotated[str | None, arg], field(default=None)


_check_flag: tuple[str, Any, Any] = (
    "check",
    Annotated[bool, cappa.Arg(long="--check", help="Check the settings and exit.")],
    field(default=False),
)
Arguments = make_dataclass("Arguments", [*(_flag_field(name) for name in OPTIONS), _check_flag])
Arguments.__doc__ = "Run one gentianmux process: an entry, an agent, or both for trying it out."


def main() -> None:
    """Parse the command line and run the daemon until it receives SIGTERM or SIGINT."""
    args: Any = cappa.parse(
        cappa.command(name="gentianmuxd")(Arguments),
        version=cappa.Arg(__version__, long="--version"),
    )
    flags = {name: value for name in OPTIONS if (value := getattr(args, name)) is not None}
    result = read_settings(flags, os.environ)
    if not isinstance(result, Success):
        for fault in result.failure():
            code = int(ResultCode.BAD_SETTING)
            print(f"{code} bad_setting: {fault.setting} {fault.problem}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTING)
    if args.check:
        print("settings are fine")
        return
    sys.exit(run(result.unwrap()))


def run(cfg: Settings) -> int:
    """Run a process until it is signalled to stop.

    Parameters
    ----------
    cfg : Settings
        Settings of the process.

    Returns
    -------
    int
        Exit status: 0, ``EXIT_CANNOT_START``, or ``EXIT_DRAIN_INCOMPLETE`` if work was
        still in flight after draining.
    """
    node: Node | Standalone = Standalone(cfg) if cfg.role == "standalone" else Node(cfg)
    set_up_logging(cfg, cfg.name)
    stopping = Event()
    _install_signal_handlers(stopping.set, _node_of(node).http.reload_certificate)
    try:
        node.start()
    except OSError as exc:
        logger.bind(code=int(ResultCode.BAD_SETTING)).error("cannot start: {}", exc)
        return EXIT_CANNOT_START
    stopping.wait()
    clean = node.drain()
    node.stop()
    logger.info("stopped")
    return 0 if clean else EXIT_DRAIN_INCOMPLETE


def _node_of(node: Node | Standalone) -> Node:
    return node.node if isinstance(node, Standalone) else node


def _install_signal_handlers(stop: Callable[[], Any], reload: Callable[[], Any]) -> None:
    gevent.signal_handler(signal.SIGTERM, stop)
    gevent.signal_handler(signal.SIGINT, stop)
    gevent.signal_handler(signal.SIGHUP, reload)


if __name__ == "__main__":
    main()
