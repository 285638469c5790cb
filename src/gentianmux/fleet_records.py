"""The records of the fleet stream: processes joining and leaving, and shard ownership."""

import json
from typing import Any, NamedTuple, get_type_hints


class Join(NamedTuple):
    """A process joins the fleet; ``incarnation`` is its start time in Unix ms."""

    process: str
    name: str
    incarnation: int
    role: str
    address: str
    http: str
    failure_domain: str
    services: list[str]
    slots: int


class Leave(NamedTuple):
    """A process has stopped for good, after its last admission and grant.

    ``records_to`` names the process that holds its start records from now on, or is empty.
    """

    process: str
    at_ms: int
    records_to: str


class Evict(NamedTuple):
    """A witness confirmed that a process has ended, such as by a refused connection."""

    process: str
    witness: str
    proof: str
    at_ms: int


class ShardChange(NamedTuple):
    """A change of one shard: the offset of its newest record, and its heir from now on."""

    shard: int
    base: int
    heir: str


class Claim(NamedTuple):
    """A process claims shards without an owner, or whose owner is confirmed to have ended."""

    by: str
    at_ms: int
    shards: list[ShardChange]


class TakeOver(NamedTuple):
    """The heir takes shards over after the lease it granted has expired."""

    by: str
    at_ms: int
    shards: list[ShardChange]


class HeirChange(NamedTuple):
    """The owner names other heirs, after it stopped using the grants of the old ones."""

    by: str
    shards: list[ShardChange]


class Handover(NamedTuple):
    """The owner moves a shard to a process that already holds its ledger."""

    by: str
    to: str
    at_ms: int
    shards: list[ShardChange]


class Release(NamedTuple):
    """An operator declares that a shard's owner and heir are gone for good."""

    operator: str
    shards: list[ShardChange]


FleetRecord = Join | Leave | Evict | Claim | TakeOver | HeirChange | Handover | Release

_TYPES: dict[str, type] = {
    "join": Join,
    "leave": Leave,
    "evict": Evict,
    "claim": Claim,
    "take_over": TakeOver,
    "heir_change": HeirChange,
    "handover": Handover,
    "release": Release,
}
_NAMES = {cls: name for name, cls in _TYPES.items()}


def to_json(record: FleetRecord) -> str:
    """Encode a record as JSON for the log."""
    return json.dumps({"type": _NAMES[type(record)], **_plain(record)}, sort_keys=True)


def _plain(record: Any) -> dict[str, Any]:
    content = record._asdict()
    if "shards" in content:
        content["shards"] = [list(each) for each in content["shards"]]
    return dict(content)


def from_json(content: dict[str, Any]) -> FleetRecord | None:
    """Decode a record; return None when it is of another type or malformed."""
    cls = _TYPES.get(str(content.get("type")))
    if cls is None:
        return None
    try:
        values = {name: content[name] for name in get_type_hints(cls)}
        if "shards" in values:
            values["shards"] = [ShardChange(*each) for each in values["shards"]]
        record: FleetRecord = cls(**values)
    except (KeyError, TypeError):
        return None
    return record
