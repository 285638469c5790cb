"""Typed field access for untrusted JSON."""

import json
from collections.abc import Mapping, Sequence
from typing import Any, Never

MAX_STR_CHARS = 4096
"""Bound on the characters of a text field; the longest that is used, a label or an address, has
some 60."""
# Sums of numbers must still fit the 64-bit fields of frames.
MAX_NUMBER = 2**62

_MISSING = object()


def read_object(raw: bytes | str) -> dict[str, Any]:
    """Parse a JSON object.

    Raises
    ------
    ValueError
        If it is anything else, contains NaN or an infinite number, or is nested too deeply. Callers
        catch only this, so that a malformed record does not end their read loop.
    """
    try:
        content = json.loads(raw, parse_constant=_reject_constant)
    except RecursionError as exc:
        raise ValueError("JSON nested too deeply") from exc
    if not isinstance(content, dict):
        raise ValueError(f"{type(content).__name__} instead of a JSON object")
    return content


def _reject_constant(name: str) -> Never:
    raise ValueError(f"{name} is not a valid JSON number")


def get_str(content: Mapping[str, Any], name: str, default: Any = _MISSING) -> str:
    """Return a non-empty string field; raises ``ValueError`` for anything else."""
    value = content.get(name, default)
    if value is default and default is not _MISSING:
        return str(default)
    if not isinstance(value, str) or not 0 < len(value) <= MAX_STR_CHARS:
        raise ValueError(f"{name} is not a string of 1 to 4096 characters")
    return value


def get_str_list(content: Mapping[str, Any], name: str) -> tuple[str, ...]:
    """Return a list of strings, empty if missing; raises ``ValueError`` for anything else."""
    value = content.get(name, ())
    if isinstance(value, str) or not isinstance(value, Sequence):
        raise ValueError(f"{name} is not a list")
    if not all(isinstance(each, str) and len(each) <= MAX_STR_CHARS for each in value):
        raise ValueError(f"{name} contains an item that is not a string of up to 4096 characters")
    return tuple(value)


def get_int(content: Mapping[str, Any], name: str, default: Any = _MISSING) -> int:
    """Return a non-negative integer; raises ``ValueError`` for anything else."""
    value = content.get(name, default)
    if type(value) is not int or not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"{name} is not a non-negative integer up to 2**62")
    return value


def get_number(content: Mapping[str, Any], name: str, default: Any = _MISSING) -> float:
    """Return a finite non-negative number; raises ``ValueError`` for anything else."""
    value = content.get(name, default)
    if type(value) not in (int, float) or not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"{name} is not a non-negative number up to 2**62")
    return float(value)


def get_bool(content: Mapping[str, Any], name: str, default: Any = _MISSING) -> bool:
    """Return a boolean field; raises ``ValueError`` for anything else."""
    value = content.get(name, default)
    if not isinstance(value, bool):
        raise ValueError(f"{name} is not a boolean")
    return value


def get_object(content: Mapping[str, Any], name: str) -> dict[str, Any]:
    """Return a nested object; raises ``ValueError`` for anything else."""
    value = content.get(name)
    if not isinstance(value, dict):
        raise ValueError(f"{name} is not an object")
    return value
