"""Decodes the platform's settings file."""

import os
import tomllib
from pathlib import Path
from typing import Any

from ..codes import ResultCode
from ..errors import GentianmuxError
from ..leased.settings import LeasedSettings

PATH_VARIABLE = "GENTIANMUX_CONFIG"
"""Environment variable with the path of the settings file."""

METRICS_PORT = 9464
"""Port where metrics are exposed; it must match ``deploy/system.toml``."""

BYTES_S_PER_MBPS = 1e6 / 8
"""Bytes per second in one Mbit/s."""


def read_settings_file(role: str) -> LeasedSettings:
    """Read the settings file that the environment variable ``GENTIANMUX_CONFIG`` names.

    Raises
    ------
    GentianmuxError
        ``BAD_SETTING`` when the file is missing or invalid.
    """
    path = os.environ.get(PATH_VARIABLE, "")
    try:
        return decode_settings(role, tomllib.loads(Path(path).read_text()))
    except (OSError, ValueError) as exc:
        raise GentianmuxError(ResultCode.BAD_SETTING, f"{path or PATH_VARIABLE}: {exc}") from exc
    except (KeyError, TypeError, IndexError, AttributeError, OverflowError) as exc:
        raise GentianmuxError(ResultCode.BAD_SETTING, f"{path}: {exc!r}") from exc


def decode_settings(role: str, file: dict[str, Any]) -> LeasedSettings:
    """Decode a parsed settings file.

    Raises
    ------
    ValueError, KeyError, TypeError, IndexError, AttributeError, OverflowError
        When a value is missing or invalid.
    """
    ip = str(file["ip"])
    listen = file["listen"]
    bounds = file.get("bounds", {})
    limits = file.get("limits", {})
    store = file["platform"]
    peer_port = file["port_range"][0]
    # Seeds of the platform are heartbeat addresses; peers listen at the same IP addresses.
    seeds = tuple(f"{seed.partition(':')[0]}:{peer_port}" for seed in file.get("seeds", []))
    defaults = LeasedSettings._field_defaults
    return LeasedSettings(
        role=role,
        name=str(file["node"]),
        # The platform's term for a failure domain is zone.
        failure_domain=str(file["zone"]),
        peer_address=f"{ip}:{peer_port}",
        http_address=str(listen["front"] if role == "entry" else listen["control"]),
        readiness_address=str(listen.get("readiness", "")),
        metrics_address=f"{ip}:{METRICS_PORT}",
        seeds=tuple(seed for seed in seeds if seed != f"{ip}:{peer_port}"),
        endpoint_address=str(file.get("app", "")),
        service=str(file.get("service", "")),
        store_address=str(store["address"]),
        store_retention_s=float(store.get("keep_s", defaults["store_retention_s"])),
        longest_lease_s=float(bounds.get("hold_max_ms", 1000)) / 1000,
        stop_s=float(bounds.get("stop_ms", 50)) / 1000,
        grace_s=float(bounds.get("grace_s", defaults["grace_s"])),
        resend_s=float(bounds.get("resend_ms", 1300)) / 1000,
        link_bytes_s=float(limits.get("link_mbps", 0)) * BYTES_S_PER_MBPS,
    )
