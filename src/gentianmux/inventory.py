"""Parses worker inventories and rule files into configuration items."""

import csv
import io
import json
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from .config_state import Change, ConfigState

NUMBER_FIELDS = ("cores", "memory_mb", "accelerators", "slots")
TEXT_FIELDS = ("rack", "failure_domain", "region", "owner")
KIND_BY_SECTION = {"members": "member", "teams": "team", "services": "service"}


class LineFault(NamedTuple):
    """A fault in an imported file; ``line`` is 0 if it belongs to no line."""

    line: int
    problem: str


class Imported(NamedTuple):
    """The content of a file: items by name, and every fault found."""

    items: dict[str, Any]
    faults: list[LineFault]


class _Row(NamedTuple):
    line: int
    fields: dict[str, Any]


def read_inventory(text: str, is_json: bool) -> Imported:
    """Parse workers from CSV with a header line, or from a JSON list of objects.

    Parameters
    ----------
    text : str
        Content of the file.
    is_json : bool
        Whether ``text`` is JSON rather than CSV.

    Returns
    -------
    Imported
        Items named ``worker/NAME``; they must not be used if there are faults.
    """
    try:
        rows = list(_json_rows(text) if is_json else _csv_rows(text))
    except ValueError as exc:
        return Imported({}, [LineFault(getattr(exc, "lineno", 0), str(exc))])
    items: dict[str, Any] = {}
    faults: list[LineFault] = []
    for row in rows:
        problems = list(_row_faults(row, items))
        faults.extend(LineFault(row.line, problem) for problem in problems)
        if not problems:
            items[f"worker/{row.fields['name']}"] = _worker(row.fields)
    return Imported(items, faults)


def _csv_rows(text: str) -> Iterator[_Row]:
    reader = csv.DictReader(io.StringIO(text), strict=True)
    try:
        for fields in reader:
            yield _Row(reader.line_num, {key or "": value for key, value in fields.items()})
    except csv.Error as exc:
        raise ValueError(f"line {reader.line_num}: {exc}") from exc


def _json_rows(text: str) -> Iterator[_Row]:
    content = json.loads(text)
    if not isinstance(content, list):
        raise ValueError("must be a JSON list of workers")
    for number, fields in enumerate(content, start=1):
        yield _Row(number, fields if isinstance(fields, dict) else {"": fields})


def _row_faults(row: _Row, items: dict[str, Any]) -> Iterator[str]:
    name = row.fields.get("name")
    if not isinstance(name, str) or not name:
        yield "name is missing"
    elif f"worker/{name}" in items:
        yield f"{name} stands twice"
    if not row.fields.get("failure_domain"):
        yield "failure_domain is missing"
    for field, value in row.fields.items():
        if field not in (*NUMBER_FIELDS, *TEXT_FIELDS, "name"):
            yield f"{field or 'a value without a column'} is not a field of a worker"
        elif field in NUMBER_FIELDS and not _is_count(value):
            yield f"{field} must be a whole number, not {value!r}"


def _is_count(value: Any) -> bool:
    if isinstance(value, int):
        return not isinstance(value, bool) and value >= 0
    return value in (None, "") or (isinstance(value, str) and value.strip().isdecimal())


def _worker(fields: dict[str, Any]) -> dict[str, Any]:
    numbers = {
        name: int(fields[name]) for name in NUMBER_FIELDS if fields.get(name) not in (None, "")
    }
    texts = {name: str(fields[name]) for name in TEXT_FIELDS if fields.get(name)}
    return {**texts, **numbers}


def read_rules(text: str) -> Imported:
    """Parse rules: a JSON object with ``members``, ``teams`` and ``services``."""
    try:
        content = json.loads(text)
    except ValueError as exc:
        return Imported({}, [LineFault(getattr(exc, "lineno", 0), str(exc))])
    if not isinstance(content, dict):
        return Imported({}, [LineFault(0, "must be a JSON object")])
    unknown = sorted(content.keys() - KIND_BY_SECTION.keys())
    faults = [
        LineFault(0, f"{name} is not one of {', '.join(KIND_BY_SECTION)}") for name in unknown
    ]
    # Taken for an empty section, it would remove every item of its kind.
    faults += [
        LineFault(0, f"{section} must be an object of named items")
        for section in KIND_BY_SECTION
        if not isinstance(content.get(section, {}), dict)
    ]
    items = {
        f"{KIND_BY_SECTION[section]}/{name}": value
        for section, entries in content.items()
        if section in KIND_BY_SECTION and isinstance(entries, dict)
        for name, value in entries.items()
    }
    return Imported(items, faults)


def diff(state: ConfigState, wanted: dict[str, Any], kinds: Iterable[str]) -> Change:
    """Compute the change that brings the items of ``kinds`` to ``wanted``, and leaves the rest.

    Parameters
    ----------
    state : ConfigState
        Current configuration.
    wanted : dict
        Desired items by name.
    kinds : iterable of str
        Kinds that the import covers; their items that are not in ``wanted`` are removed.

    Returns
    -------
    Change
        Has no change id; empty if nothing differs.
    """
    prefixes = tuple(f"{kind}/" for kind in kinds)
    changed = {key: value for key, value in wanted.items() if state.items.get(key) != value}
    removed = [key for key in state.items if key.startswith(prefixes) and key not in wanted]
    return Change("", state.version, changed, sorted(removed))
