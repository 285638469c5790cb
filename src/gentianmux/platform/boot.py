"""Starts an entry or agent: reads its settings and listens before importing the rest."""

import signal
import sys

from ..process_start import STARTED_AT  # noqa: F401  isort: skip
from ..codes import ResultCode
from ..errors import GentianmuxError
from ..leased.settings import LeasedSettings
from ..listeners import Listeners
from .settings import read_settings_file

EXIT_BAD_SETTING = 2


def boot(role: str) -> int:
    """Run an entry or agent until it is stopped.

    Parameters
    ----------
    role : str
        ``entry`` or ``agent``.

    Returns
    -------
    int
        Exit status of the process.
    """
    # SIGHUP would end the process until its handler is installed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        cfg = read_settings_file(role)
        listeners = Listeners(_addresses_of(cfg))
    except GentianmuxError as exc:
        return _refuse(f"{int(exc.code)} {exc.code.label}: {exc.detail}")
    except (OSError, OverflowError, ValueError) as exc:
        code = ResultCode.BAD_SETTING
        return _refuse(f"{int(code)} {code.label}: cannot listen: {exc}")
    # Imported late: connections already wait in the listen queues during the slow imports.
    from .main import run_role

    return run_role(cfg, listeners)


def _refuse(reason: str) -> int:
    print(reason, file=sys.stderr)
    return EXIT_BAD_SETTING


def _addresses_of(cfg: LeasedSettings) -> list[str]:
    readiness = [cfg.readiness_address] if cfg.role == "entry" else []
    return [cfg.peer_address, cfg.http_address, *readiness]
