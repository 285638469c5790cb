"""Decodes the operators' configuration from the platform's store."""

from typing import Any

from ..codes import ResultCode
from ..errors import GentianmuxError
from ..leased.config_feed import ConfigSource
from ..leased.model import JobConfig, QueueConfig, RequestLimits
from ..typed_json import read_object


def decode_config(raw: bytes) -> JobConfig:
    """Decode a configuration.

    Raises
    ------
    GentianmuxError
        ``CHANGE_INVALID`` when it is malformed; the current one then stays in force.
    """
    try:
        content = read_object(raw)
        return JobConfig(
            version=int(content["version"]),
            # The platform's term for a queue of jobs is route.
            queues=tuple(_queue(route) for route in content["routes"]),
            limits=_limits(content.get("limits", {})),
            raw=raw,
        )
    except (ValueError, TypeError, KeyError, AttributeError, OverflowError) as exc:
        raise GentianmuxError(ResultCode.CHANGE_INVALID, repr(exc)) from exc


def _queue(route: dict[str, Any]) -> QueueConfig:
    return QueueConfig(
        name=str(route["name"]),
        host=str(route["host"]).lower(),
        prefix=str(route["path_prefix"]),
        service=str(route["service"]),
        timeout_ms=int(route.get("timeout_ms", 0)),
        # Despite its name only the fixed part of the objective, added to the stretched work.
        target_ms=int(route.get("target_latency_ms", 0)),
        priority=int(route.get("priority", 0)),
        max_attempts=int(route.get("max_attempts", 1)),
        stretch=float(route.get("stretch", 1.0)),
    )


def _limits(limits: dict[str, Any]) -> RequestLimits:
    defaults = RequestLimits()
    return RequestLimits(
        max_header_bytes=int(limits.get("max_header_bytes", defaults.max_header_bytes)),
        max_body_bytes=int(limits.get("max_body_bytes", defaults.max_body_bytes)),
        header_timeout_s=float(limits.get("header_timeout_ms", 3000)) / 1000,
        idle_timeout_s=float(limits.get("idle_timeout_ms", 15000)) / 1000,
    )


EVACUATION_PREFIX = "evacuate/"
"""Prefix of the keys of evacuations; the platform's term for a failure domain is zone."""

CONFIG_SOURCE = ConfigSource("op", "config", decode_config, EVACUATION_PREFIX)
"""Location of the configuration and evacuations in the platform's store."""
