"""Cap'n Proto encoding and decoding of messages."""

from collections.abc import Callable
from functools import cache
from pathlib import Path
from typing import Any, NamedTuple, get_args, get_origin, get_type_hints

import capnp

from .codes import ResultCode
from .errors import FrameError
from .messages import Message

MAX_FRAME_BYTES = 4 * 1024 * 1024
_WORD_BYTES = 8
_TRAVERSAL_WORDS = 4 * MAX_FRAME_BYTES // _WORD_BYTES
_NESTING_LIMIT = 8

_schema = capnp.load(str(Path(__file__).with_name("schema.capnp")))
_envelope = _schema.Envelope


class _Field(NamedTuple):
    name: str
    wire_name: str
    handle: Any
    item: type | None
    is_list: bool
    copy: Callable[[Any], Any] | None


def _camel(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def _union_name(cls: type) -> str:
    return cls.__name__[0].lower() + cls.__name__[1:]


@cache
def _fields_of(cls: type) -> list[_Field]:
    fields = []
    handles = getattr(_schema, cls.__name__).schema.fields
    for name, hint in get_type_hints(cls).items():
        is_list = get_origin(hint) is list
        inner = get_args(hint)[0] if is_list else hint
        item = inner if hasattr(inner, "_fields") else None
        wire_name = _camel(name)
        handle = handles[wire_name]
        fields.append(
            _Field(name, wire_name, handle, item, is_list, bytes if hint is bytes else None)
        )
    return fields


_TYPES: dict[str, type] = {_union_name(cls): cls for cls in get_args(Message)}


def encode(msg: Message) -> bytes:
    """Encode one message as the body of a frame.

    Parameters
    ----------
    msg : Message
        Message to encode.

    Returns
    -------
    bytes
        Encoded message, without the length prefix of the frame.

    Raises
    ------
    FrameError
        ``FRAME_TOO_LONG`` if the encoded message exceeds ``MAX_FRAME_BYTES``.
    """
    cls = type(msg)
    envelope = _envelope.new_message()
    _fill(envelope.init(_union_name(cls)), cls, msg)
    data: bytes = envelope.to_bytes()
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError(ResultCode.FRAME_TOO_LONG, f"{cls.__name__} takes {len(data)} bytes")
    return data


# Fields are set one by one, since building a message from a dict is slow and crashes the process
# when greenlets switch (pycapnp 2.2.4).
def _fill(builder: Any, cls: type, msg: Any) -> None:
    for field, value in zip(_fields_of(cls), msg, strict=True):
        if field.is_list and field.item is not None:
            items = builder.init(field.wire_name, len(value))
            for number, item in enumerate(value):
                _fill(items[number], field.item, item)
        elif field.is_list:
            items = builder.init(field.wire_name, len(value))
            for number, item in enumerate(value):
                items[number] = item
        else:
            builder._set_by_field(field.handle, value)


def decode(data: bytes) -> Message:
    """Decode the body of a frame.

    Raises
    ------
    FrameError
        ``BAD_FRAME`` if the bytes are not a valid message.
    """
    if not data or len(data) % _WORD_BYTES:
        raise FrameError(ResultCode.BAD_FRAME, f"{len(data)} bytes are no message")
    try:
        with _envelope.from_bytes(
            data, traversal_limit_in_words=_TRAVERSAL_WORDS, nesting_limit=_NESTING_LIMIT
        ) as envelope:
            which = str(envelope.which())
            return _from_reader(_TYPES[which], getattr(envelope, which))
    except (capnp.KjException, KeyError, UnicodeDecodeError, ValueError, AttributeError) as exc:
        raise FrameError(ResultCode.BAD_FRAME, type(exc).__name__) from exc


def _from_reader(cls: type, reader: Any) -> Any:
    values = []
    for field in _fields_of(cls):
        value = reader._get_by_field(field.handle)
        if field.is_list:
            item = field.item
            value = [_from_reader(item, each) for each in value] if item else list(value)
        elif field.copy:
            value = field.copy(value)
        values.append(value)
    return cls(*values)
