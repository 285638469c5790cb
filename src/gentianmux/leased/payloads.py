"""Encoding of job payloads between processes, compressed where that makes them smaller."""

import zlib

PACK_FROM_BYTES = 400
"""Payloads below this size are not compressed: header and tables outweigh the gain."""

LEVEL = 1
"""The fastest level; higher ones hardly compress such payloads better."""

LONGEST_BYTES = 1024 * 1024
"""Bound on a decoded payload; callers may send far less."""

PLAIN, PACKED = b"\0", b"\1"


def pack(payload: str) -> bytes:
    """Encode a payload.

    Examples
    --------
    >>> unpack(pack("weigh")), len(pack("weigh" * 200)) < 100
    ('weigh', True)
    """
    raw = payload.encode()
    if len(raw) < PACK_FROM_BYTES:
        return PLAIN + raw
    packed = zlib.compress(raw, LEVEL)
    return PACKED + packed if len(packed) < len(raw) else PLAIN + raw


def unpack(data: bytes) -> str:
    """Decode a payload.

    Raises
    ------
    ValueError
        When the bytes are malformed or the payload is too long; the connection to the sender is
        then closed.
    """
    kind, body = data[:1], data[1:]
    if kind == PLAIN:
        return body.decode("utf-8", "replace")
    if kind != PACKED:
        raise ValueError(f"payload has unknown encoding {kind!r}")
    unpacking = zlib.decompressobj()
    try:
        raw = unpacking.decompress(body, LONGEST_BYTES)
    except zlib.error as exc:
        raise ValueError(f"payload cannot be decompressed: {exc}") from exc
    if not unpacking.eof:
        raise ValueError("payload is truncated or too long")
    return raw.decode("utf-8", "replace")
