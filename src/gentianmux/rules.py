"""Types of the configuration items and the checks on them."""

import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple, TypedDict

MAX_NAME_LENGTH = 64
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}\Z")
_HASH = re.compile(r"[0-9a-f]{64}\Z")
KINDS = ("member", "team", "service", "worker")


class MemberItem(TypedDict, total=False):
    """A member: its credentials, its share of the pool and its limits."""

    key_hashes: list[str]
    weight: int
    claim: float
    queue_limit: int
    rate_per_s: int


class TeamItem(TypedDict, total=False):
    """A team of a member, with its share of the member's claim."""

    claim: float


class ServiceItem(TypedDict, total=False):
    """A service: its member, the workers it may run on, its priority and its objective."""

    member: str
    workers: list[str]
    priority: int
    objective_ms: int
    objective_ratio: float


class WorkerItem(TypedDict, total=False):
    """A worker as the asset register describes it."""

    rack: str
    failure_domain: str
    region: str
    cores: int
    memory_mb: int
    accelerators: int
    owner: str
    slots: int


class Fault(NamedTuple):
    """One fault in a change: the item and the problem."""

    item: str
    problem: str


Items = Mapping[str, Any]
_Check = Callable[[Any], str | None]


def _number(low: float, high: float, *kinds: type) -> _Check:
    def check(value: Any) -> str | None:
        if type(value) not in kinds:
            return "must be a number"
        return None if low <= value <= high else f"must be from {low} to {high}"

    return check


def _text(value: Any) -> str | None:
    valid = isinstance(value, str) and len(value) <= MAX_NAME_LENGTH
    return None if valid else f"must be a text of at most {MAX_NAME_LENGTH} characters"


def _hashes(value: Any) -> str | None:
    valid = isinstance(value, list) and all(
        isinstance(key_hash, str) and _HASH.match(key_hash) for key_hash in value
    )
    return None if valid else "must be a list of SHA-256 sums in hex"


def _text_list(value: Any) -> str | None:
    valid = isinstance(value, list) and all(_text(text) is None for text in value)
    return None if valid else "must be a list of texts"


_count = _number(0, 10_000_000, int)
_ratio = _number(0.0, 1.0, int, float)

_CHECKS: dict[str, dict[str, _Check]] = {
    "member": {
        "key_hashes": _hashes,
        "weight": _number(1, 1000, int),
        "claim": _ratio,
        "queue_limit": _count,
        "rate_per_s": _count,
    },
    "team": {"claim": _ratio},
    "service": {
        "member": _text,
        "workers": _text_list,
        "priority": _number(0, 9, int),
        "objective_ms": _count,
        "objective_ratio": _ratio,
    },
    "worker": {
        "rack": _text,
        "failure_domain": _text,
        "region": _text,
        "cores": _count,
        "memory_mb": _count,
        "accelerators": _count,
        "slots": _count,
        "owner": _text,
    },
}
_REQUIRED = {"service": ("member",), "worker": ("failure_domain",)}


def find_faults(items: Items, changed: Mapping[str, Any], removed: list[str]) -> Iterator[Fault]:
    """Yield every fault of a change, item by item.

    Parameters
    ----------
    items : mapping
        All items as they would be after the change.
    changed : mapping
        The items that the change sets.
    removed : list of str
        The items that the change removes.

    Yields
    ------
    Fault
        One for each problem; none if the change is valid.
    """
    for key, value in changed.items():
        yield from _item_faults(key, value)
        yield from _reference_faults(items, key, value)
    removed_members = {key.partition("/")[2] for key in removed if key.startswith("member/")}
    for key, value in items.items():
        if removed_members and _member_of(key, value) in removed_members:
            yield Fault(key, f"belongs to the removed member {_member_of(key, value)}")


def _item_faults(key: str, value: Any) -> Iterator[Fault]:
    kind, _, name = key.partition("/")
    if kind not in KINDS or not all(_NAME.match(part) for part in name.split("/")):
        yield Fault(key, "is no item's name")
        return
    if not isinstance(value, dict):
        yield Fault(key, "must be an object")
        return
    checks = _CHECKS[kind]
    for field, content in value.items():
        problem = checks[field](content) if field in checks else "is not a field of this item"
        if problem:
            yield Fault(key, f"{field} {problem}")
    for field in _REQUIRED.get(kind, ()):
        if field not in value:
            yield Fault(key, f"{field} is missing")


def _reference_faults(items: Items, key: str, value: Any) -> Iterator[Fault]:
    member = _member_of(key, value)
    if isinstance(member, str) and f"member/{member}" not in items:
        yield Fault(key, f"names the unknown member {member}")


def _member_of(key: str, value: Any) -> str | None:
    if key.startswith("service/") and isinstance(value, dict):
        member = value.get("member")
        return member if isinstance(member, str) else None
    return key.split("/")[1] if key.startswith("team/") else None
