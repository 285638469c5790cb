"""The configuration as every process folds it from the log."""

import json
from typing import Any, NamedTuple, cast

from .codes import ResultCode
from .platform_log import Record, load_object
from .rules import Fault, MemberItem, ServiceItem, WorkerItem, find_faults

STREAM = "config"
REMEMBERED_CHANGES = 1000


class Change(NamedTuple):
    """A change of configuration: what it sets and removes, and the version it was made on."""

    change_id: str
    based_on: int
    set: dict[str, Any]
    remove: list[str]

    def to_json(self) -> str:
        """The record's data."""
        return json.dumps({"type": "change", **self._asdict()}, sort_keys=True)


class Outcome(NamedTuple):
    """What became of a change, the same for every reader."""

    offset: int
    code: ResultCode
    faults: list[Fault]


class ConfigState:
    """Items by name, the version in force, and the outcomes of recent changes.

    The version is the offset of the newest accepted change and never falls.

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
        self.folded = -1
        self.items: dict[str, Any] = {}
        self.changed_at: dict[str, int] = {}
        self.outcomes: dict[str, Outcome] = {}
        self.member_by_hash: dict[str, str] = {}

    def apply(self, record: Record) -> None:
        """Fold a change in, or reject it whole."""
        self.folded = record.offset
        change = _parse(record)
        if change is None or change.change_id in self.outcomes:
            return
        outcome = self._judge(change, record.offset)
        self.outcomes[change.change_id] = outcome
        if len(self.outcomes) > REMEMBERED_CHANGES:
            del self.outcomes[next(iter(self.outcomes))]
        if outcome.code is ResultCode.OK:
            self._put_in_force(change, record.offset)

    def _judge(self, change: Change, offset: int) -> Outcome:
        touched = [*change.set, *change.remove]
        overtaken = [
            Fault(key, f"was changed at {self.changed_at[key]}, after {change.based_on}")
            for key in touched
            if self.changed_at.get(key, -1) > change.based_on
        ]
        if overtaken:
            return Outcome(offset, ResultCode.CHANGE_CONFLICT, overtaken)
        after = {**self.items, **change.set}
        for key in change.remove:
            after.pop(key, None)
        faults = list(find_faults(after, change.set, change.remove))
        return Outcome(offset, ResultCode.CHANGE_INVALID if faults else ResultCode.OK, faults)

    def _put_in_force(self, change: Change, offset: int) -> None:
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
        """The rules of a member."""
        return cast(MemberItem | None, self.items.get(f"member/{name}"))

    def service(self, name: str) -> ServiceItem | None:
        """The rules of a service."""
        return cast(ServiceItem | None, self.items.get(f"service/{name}"))

    def worker(self, name: str) -> WorkerItem | None:
        """A worker of the inventory."""
        return cast(WorkerItem | None, self.items.get(f"worker/{name}"))

    def names(self, kind: str) -> list[str]:
        """Names of all items of a kind, such as ``worker``."""
        prefix = f"{kind}/"
        return [key[len(prefix) :] for key in self.items if key.startswith(prefix)]

    def snapshot(self) -> str:
        """The state as a snapshot record."""
        content = {
            "type": "snapshot",
            "version": self.folded,
            "in_force": self.version,
            "items": self.items,
            "changed_at": self.changed_at,
        }
        return json.dumps(content, sort_keys=True)

    def snapshot_version(self, record: Record) -> int | None:
        """Version of a snapshot record; None for a change."""
        content = load_object(record)
        return int(content["version"]) if content.get("type") == "snapshot" else None

    def restore(self, record: Record) -> None:
        """Take a snapshot's state in place of this one."""
        content = load_object(record)
        self.version = content["in_force"]
        self.folded = content["version"]
        self.items = content["items"]
        self.changed_at = content["changed_at"]
        self._index_keys()


def _parse(record: Record) -> Change | None:
    content = load_object(record)
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
