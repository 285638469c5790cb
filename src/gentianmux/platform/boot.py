"""Starts a process of a role: settings and addresses first, the rest of the program after."""

import signal
import sys

from ..codes import ResultCode
from ..errors import GentianmuxError
from ..leased.settings import LeasedSettings
from ..listeners import Listeners
from .settings import read_settings_file

EXIT_BAD_SETTING = 2


def boot(role: str) -> int:
    """Run a process of a role; return its exit status."""
    # Until there is a handler the signal would end the process; settings are read just below.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        cfg = read_settings_file(role)
        listeners = Listeners(_addresses_of(cfg))
    except GentianmuxError as exc:
        return _refuse(f"{int(exc.code)} {exc.code.label}: {exc.detail}")
    except (OSError, OverflowError, ValueError) as exc:
        code = ResultCode.BAD_SETTING
        return _refuse(f"{int(code)} {code.label}: cannot listen: {exc}")
    # Loading the rest takes 0.3 s of processor; connections wait meanwhile.
    from .main import run_role

    return run_role(cfg, listeners)


def _refuse(reason: str) -> int:
    print(reason, file=sys.stderr)
    return EXIT_BAD_SETTING


def _addresses_of(cfg: LeasedSettings) -> list[str]:
    readiness = [cfg.readiness_address] if cfg.role == "entry" else []
    return [cfg.peer_address, cfg.http_address, *readiness]
