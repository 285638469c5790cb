"""The configuration, derived from its stream in the same way by every process."""

import json
from typing import Any, NamedTuple, cast

from .codes import ResultCode
from .platform_log import Record, parse_object
from .rules import Fault, MemberItem, ServiceItem, WorkerItem, find_faults

STREAM = "config"
MAX_RECENT_OUTCOMES = 1000


class Change(NamedTuple):
    """A change of configuration: items to set and remove, and the version it is based on."""

    change_id: str
    based_on: int
    set: dict[str, Any]
    remove: list[str]

    def to_json(self) -> str:
        """Return the change as the data of a record."""
        return json.dumps({"type": "change", **self._asdict()}, sort_keys=True)


class Outcome(NamedTuple):
    """The outcome of a change, the same for every reader."""

    offset: int
    code: ResultCode
    faults: list[Fault]


class ConfigState:
    """The configuration in force, and the outcomes of recent changes.

    The version is the offset of the newest accepted change and never decreases.

    Examples
    --------
    >>> state = ConfigState()
    >>> change = Change("c1", -1, {"member/steppe": {"weight": 1}}, [])
    >>> state.apply(Record(0, change.to_json()))
    >>> state.version, state.outcomes["c1"].code.label
    (0, 'ok')
    """

    def __init__(self) -> None:
        self.version = -1
        self.applied_offset = -1
        self.items: dict[str, Any] = {}
        self.changed_at: dict[str, int] = {}
        self.outcomes: dict[str, Outcome] = {}
        self.member_by_hash: dict[str, str] = {}

    def apply(self, record: Record) -> None:
        """Apply a change, or reject all of it."""
        self.applied_offset = record.offset
        change = _parse(record)
        if change is None or change.change_id in self.outcomes:
            return
        outcome = self._evaluate(change, record.offset)
        self.outcomes[change.change_id] = outcome
        if len(self.outcomes) > MAX_RECENT_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]
        if outcome.code is ResultCode.OK:
            self._apply_change(change, record.offset)

    def _evaluate(self, change: Change, offset: int) -> Outcome:
        touched = [*change.set, *change.remove]
        conflicts = [
            Fault(key, f"was changed at {self.changed_at[key]}, after {change.based_on}")
            for key in touched
            if self.changed_at.get(key, -1) > change.based_on
        ]
        if conflicts:
            return Outcome(offset, ResultCode.CHANGE_CONFLICT, conflicts)
        after = {**self.items, **change.set}
        for key in change.remove:
            after.pop(key, None)
        faults = list(find_faults(after, change.set, change.remove))
        return Outcome(offset, ResultCode.CHANGE_INVALID if faults else ResultCode.OK, faults)

    def _apply_change(self, change: Change, offset: int) -> None:
        self.items.update(change.set)
        for key in change.remove:
            self.items.pop(key, None)
        for key in (*change.set, *change.remove):
            self.changed_at[key] = offset
        self.version = offset
        if any(key.startswith("member/") for key in (*change.set, *change.remove)):
            self._index_keys()

    def _index_keys(self) -> None:
        self.member_by_hash = {
            each: key.partition("/")[2]
            for key, value in self.items.items()
            if key.startswith("member/")
            for each in value.get("key_hashes", ())
        }

    def member(self, name: str) -> MemberItem | None:
        """Return the item of a member, or None."""
        return cast(MemberItem | None, self.items.get(f"member/{name}"))

    def service(self, name: str) -> ServiceItem | None:
        """Return the item of a service, or None."""
        return cast(ServiceItem | None, self.items.get(f"service/{name}"))

    def worker(self, name: str) -> WorkerItem | None:
        """Return the item of a worker, or None."""
        return cast(WorkerItem | None, self.items.get(f"worker/{name}"))

    def names(self, kind: str) -> list[str]:
        """Return the names of all items of a kind, such as ``worker``."""
        prefix = f"{kind}/"
        return [key[len(prefix) :] for key in self.items if key.startswith(prefix)]

    def snapshot(self) -> str:
        """Return the state as the data of a snapshot record."""
        content = {
            "type": "snapshot",
            "version": self.applied_offset,
            "in_force": self.version,
            "items": self.items,
            "changed_at": self.changed_at,
        }
        return json.dumps(content, sort_keys=True)

    def snapshot_version(self, record: Record) -> int | None:
        """Return the version of a snapshot record, or None for any other record."""
        content = parse_object(record)
        return int(content["version"]) if content.get("type") == "snapshot" else None

    def restore(self, record: Record) -> None:
        """Replace this state by that of a snapshot record."""
        content = parse_object(record)
        self.version = content["in_force"]
        self.applied_offset = content["version"]
        self.items = content["items"]
        self.changed_at = content["changed_at"]
        self._index_keys()


def _parse(record: Record) -> Change | None:
    content = parse_object(record)
    if content.get("type") != "change":
        return None
    try:
        change = Change(
            str(content["change_id"]),
            int(content["based_on"]),
            dict(content["set"]),
            [str(key) for key in content["remove"]],
        )
    except (KeyError, TypeError, ValueError):
        return None
    return change
