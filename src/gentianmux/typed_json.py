"""Reads JSON that anybody may have written, field by field, with the type that each must have."""

import json
from collections.abc import Mapping, Sequence
from typing import Any, Never

MAX_TEXT = 4096
"""Characters of one text field; the longest that is used, a label or an address, has some 60."""

LARGEST = 2**62
"""Bound on numbers, so that sums of them stay what the frames between processes can carry."""

_MISSING = object()


def read_object(raw: bytes | str) -> dict[str, Any]:
    """Read a JSON object.

    Raises
    ------
    ValueError
        When it is anything else, holds NaN or an infinite number, or is nested too deeply to be
        read: one such record must not end the loop that reads them.
    """
    try:
        content = json.loads(raw, parse_constant=_no_constant)
    except RecursionError as exc:
        raise ValueError("nested too deeply") from exc
    if not isinstance(content, dict):
        raise ValueError(f"{type(content).__name__} in place of an object")
    return content


def _no_constant(name: str) -> Never:
    raise ValueError(f"{name} is no number")


def get_str(content: Mapping[str, Any], name: str, default: Any = _MISSING) -> str:
    """A text field that is not empty; raises ``ValueError`` for anything else."""
    value = content.get(name, default)
    if value is default and default is not _MISSING:
        return str(default)
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT:
        raise ValueError(f"{name} is no text")
    return value


def get_str_list(content: Mapping[str, Any], name: str) -> tuple[str, ...]:
    """A list of texts, empty when the field is missing; raises ``ValueError`` for anything else."""
    value = content.get(name, ())
    if isinstance(value, str) or not isinstance(value, Sequence):
        raise ValueError(f"{name} is no list")
    if not all(isinstance(each, str) and len(each) <= MAX_TEXT for each in value):
        raise ValueError(f"{name} holds something other than text")
    return tuple(value)


def get_int(content: Mapping[str, Any], name: str, default: Any = _MISSING) -> int:
    """A whole number of zero or more; raises ``ValueError`` for anything else."""
    value = content.get(name, default)
    if type(value) is not int or not 0 <= value <= LARGEST:
        raise ValueError(f"{name} is no whole number of zero or more")
    return value


def get_number(content: Mapping[str, Any], name: str, default: Any = _MISSING) -> float:
    """A finite number of zero or more; raises ``ValueError`` for anything else."""
    value = content.get(name, default)
    if type(value) not in (int, float) or not 0 <= value <= LARGEST:
        raise ValueError(f"{name} is no number of zero or more")
    return float(value)


def get_bool(content: Mapping[str, Any], name: str) -> bool:
    """True or false; raises ``ValueError`` for anything else."""
    value = content.get(name)
    if not isinstance(value, bool):
        raise ValueError(f"{name} is neither true nor false")
    return value


def get_object(content: Mapping[str, Any], name: str) -> dict[str, Any]:
    """A nested object; raises ``ValueError`` for anything else."""
    value = content.get(name)
    if not isinstance(value, dict):
        raise ValueError(f"{name} is no object")
    return value
