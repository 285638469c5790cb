"""Daemon settings, read from flags and environment variables."""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from returns.result import Result

ENV_PREFIX = "GENTIANMUX_"
_ADDRESS = re.compile(r"(\d{1,3}\.){3}\d{1,3}:\d{1,5}\Z")
_PEER_KEY = re.compile(r"[\x21-\x7e]{16,64}\Z")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,63}\Z")


class Settings(NamedTuple):
    """Settings of one daemon process, with their defaults.

    A suffix gives the unit: ``_ms``, ``_s``, ``_kb`` (KiB) or ``_percent``.

    Examples
    --------
    >>> read_settings({"role": "agent", "services": "intake", "slots": "16"}).unwrap().slots
    16
    """

    role: str = "standalone"
    name: str = "local"
    failure_domain: str = "fd1"
    peer_address: str = "127.0.0.1:7400"
    http_address: str = "127.0.0.1:7480"
    log_url: str = "http://127.0.0.1:7300"
    peer_key: str = ""
    seeds: tuple[str, ...] = ()
    endpoint: str = "127.0.0.1:7500"
    services: tuple[str, ...] = ()
    slots: int = 8
    shards: int = 64
    lease_ms: int = 3000
    renew_ms: int = 1000
    skew_ms: int = 5000
    keep_s: int = 600
    ledger_kb: int = 4096
    max_body_kb: int = 1024
    body_timeout_ms: int = 10000
    max_connections: int = 1000
    max_inflight: int = 2000
    queue_limit: int = 2000
    tail_ms: int = 500
    read_from: str = "log"
    snapshot_every: int = 5000
    probe_ms: int = 500
    suspect_ms: int = 1500
    drain_s: int = 30
    task_lease_ms: int = 5000
    task_timeout_ms: int = 60000
    hedge_percent: int = 5
    statsd: str = ""
    log_level: str = "info"
    log_format: str = "json"
    tls_cert: str = ""
    tls_key: str = ""


class Option(NamedTuple):
    """Help text and validation of one setting; ``low`` and ``high`` are inclusive bounds."""

    unit: str
    help: str
    low: int = 0
    high: int = 0
    choices: tuple[str, ...] = ()
    pattern: re.Pattern[str] | None = None


OPTIONS: dict[str, Option] = {
    "role": Option(
        "", "What the daemon is.", choices=("entry", "agent", "standalone"), low=0, high=0
    ),
    "name": Option("", "Name of this worker or entry, unique in the fleet.", pattern=_NAME),
    "failure_domain": Option("", "Failure domain that this process is in.", pattern=_NAME),
    "peer_address": Option("ip:port", "Where peers connect (TCP and UDP).", pattern=_ADDRESS),
    "http_address": Option("ip:port", "Where callers or operators connect.", pattern=_ADDRESS),
    "log_url": Option("url", "The platform's log."),
    "peer_key": Option("", "Secret of the fleet, 16 to 64 characters.", pattern=_PEER_KEY),
    "seeds": Option("ip:port,...", "Peers to contact first.", pattern=_ADDRESS),
    "endpoint": Option("ip:port", "The endpoint beside this agent.", pattern=_ADDRESS),
    "services": Option("name,...", "Services that the endpoint runs.", pattern=_NAME),
    "slots": Option("tasks", "Tasks that the endpoint runs at once.", 1, 4096),
    "shards": Option("shards", "Shards of ids, the same in the whole fleet.", 1, 65536),
    "lease_ms": Option("ms", "How long an heir's grant lets an owner admit.", 100, 60_000),
    "renew_ms": Option("ms", "How often an owner renews.", 20, 20_000),
    "skew_ms": Option("ms", "How far clocks may differ.", 0, 600_000),
    "keep_s": Option("s", "How long ids and answers are kept.", 10, 86_400),
    "ledger_kb": Option("KiB", "Bound on one shard's ledger.", 64, 1_048_576),
    "max_body_kb": Option("KiB", "Longest request body.", 1, 3072),
    "body_timeout_ms": Option("ms", "Time for a request to arrive whole.", 100, 600_000),
    "max_connections": Option("connections", "Callers' connections at once.", 1, 100_000),
    "max_inflight": Option("requests", "Requests in work at once at an entry.", 1, 100_000),
    "queue_limit": Option("tasks", "Tasks a member may have waiting at one agent.", 1, 1_000_000),
    "tail_ms": Option("ms", "How often the platform's log is read.", 10, 60_000),
    "read_from": Option(
        "", "Where streams are read: the log, or peers that read it.", choices=("log", "peers")
    ),
    "snapshot_every": Option("records", "A snapshot after so many records.", 10, 1_000_000),
    "probe_ms": Option("ms", "How often a peer is probed.", 20, 60_000),
    "suspect_ms": Option("ms", "How long a silent peer stays suspect.", 50, 60_000),
    "drain_s": Option("s", "Longest wait for work in flight when stopping.", 1, 3600),
    "task_lease_ms": Option("ms", "Lease of a task at its endpoint.", 100, 600_000),
    "task_timeout_ms": Option("ms", "Longest run of a task.", 100, 3_600_000),
    "hedge_percent": Option(
        "percent", "Repeats allowed for idempotent requests, of all jobs.", 0, 100
    ),
    "statsd": Option("ip:port", "Where metrics go; empty for nowhere.", pattern=_ADDRESS),
    "log_level": Option("", "Least level logged.", choices=("debug", "info", "warning", "error")),
    "log_format": Option("", "One JSON object a line, or text.", choices=("json", "text")),
    "tls_cert": Option("path", "Certificate for callers' connections; empty for none."),
    "tls_key": Option("path", "Its key."),
}


class SettingFault(NamedTuple):
    """A setting that failed validation, and why."""

    setting: str
    problem: str


def env_name(setting: str) -> str:
    """Return the environment variable of a setting."""
    return ENV_PREFIX + setting.upper()


def read_settings(
    flags: Mapping[str, str], env: Mapping[str, str] | None = None
) -> Result[Settings, list[SettingFault]]:
    """Parse and validate settings; a flag takes precedence over its environment variable.

    Parameters
    ----------
    flags : mapping of str to str
        Unparsed values by setting name, for the flags that were given.
    env : mapping of str to str, optional
        Environment variables.

    Returns
    -------
    Result
        The settings, or all faults found.
    """
    # Imported here to save memory in processes that read no flags.
    from returns.result import Failure, Success

    texts = {
        name: flags.get(name, (env or {}).get(env_name(name)))
        for name in Settings._fields
        if name in flags or env_name(name) in (env or {})
    }
    known = {env_name(name) for name in Settings._fields}
    faults = [
        SettingFault(variable, "is no setting")
        for variable in (env or {})
        if variable.startswith(ENV_PREFIX) and variable not in known
    ]
    values: dict[str, Any] = {}
    for name, text in texts.items():
        parsed = _parse(name, str(text))
        if isinstance(parsed, Success):
            values[name] = parsed.unwrap()
        else:
            faults.append(parsed.failure())
    cfg = Settings(**values)
    faults.extend(_cross_setting_faults(cfg))
    return Failure(faults) if faults else Success(cfg)


def _parse(name: str, text: str) -> Result[Any, SettingFault]:
    from returns.result import Failure, Success

    default = Settings._field_defaults[name]
    option = OPTIONS[name]
    if isinstance(default, int):
        return _parse_number(name, text, option)
    if isinstance(default, tuple):
        parts = tuple(part.strip() for part in text.split(",") if part.strip())
        bad = [part for part in parts if not _matches(part, option)]
        return Failure(SettingFault(name, f"cannot hold {bad[0]!r}")) if bad else Success(parts)
    if option.choices and text not in option.choices:
        return Failure(SettingFault(name, f"must be one of {', '.join(option.choices)}"))
    if text and not _matches(text, option):
        shown = "what was given" if option.pattern is _PEER_KEY else repr(text)
        return Failure(SettingFault(name, f"cannot be {shown}: {option.help}"))
    return Success(text)


def _parse_number(name: str, text: str, option: Option) -> Result[Any, SettingFault]:
    from returns.result import Failure, Success

    if not re.fullmatch(r"\d{1,12}", text):
        return Failure(SettingFault(name, f"must be a whole number of {option.unit}"))
    if not option.low <= int(text) <= option.high:
        bounds = f"from {option.low} to {option.high} {option.unit}"
        return Failure(SettingFault(name, f"must be {bounds}, not {text}"))
    return Success(int(text))


def _matches(text: str, option: Option) -> bool:
    if option.pattern is None:
        return True
    if option.pattern is _ADDRESS and _ADDRESS.match(text):
        ip, _, port = text.partition(":")
        return int(port) <= 65535 and all(int(part) <= 255 for part in ip.split("."))
    return bool(option.pattern.match(text))


def _cross_setting_faults(cfg: Settings) -> Iterator[SettingFault]:
    if cfg.renew_ms * 2 > cfg.lease_ms:
        yield SettingFault("renew_ms", "must be at most half of lease_ms")
    if bool(cfg.tls_cert) != bool(cfg.tls_key):
        yield SettingFault("tls_cert", "goes with tls_key")
    if cfg.role == "agent" and not cfg.services:
        yield SettingFault("services", "must name what the agent's endpoint runs")
    if cfg.skew_ms * 4 > cfg.keep_s * 1000:
        yield SettingFault("keep_s", "must be at least four times skew_ms")
