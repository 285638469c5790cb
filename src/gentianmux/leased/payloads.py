"""Encoding of job payloads between processes, compressed where that makes them smaller."""

import zlib

MIN_COMPRESSED_BYTES = 400
"""Payloads below this size are not compressed: header and tables outweigh the gain."""

COMPRESSION_LEVEL = 1
"""The fastest level; higher ones hardly compress such payloads better."""

MAX_PAYLOAD_BYTES = 1024 * 1024
"""Bound on a decoded payload; callers may send far less."""

RAW, COMPRESSED = b"\0", b"\1"


def encode_payload(payload: str) -> bytes:
    """Encode a payload.

    Examples
    --------
    >>> decode_payload(encode_payload("weigh")), len(encode_payload("weigh" * 200)) < 100
    ('weigh', True)
    """
    raw = payload.encode()
    if len(raw) < MIN_COMPRESSED_BYTES:
        return RAW + raw
    compressed = zlib.compress(raw, COMPRESSION_LEVEL)
    return COMPRESSED + compressed if len(compressed) < len(raw) else RAW + raw


def decode_payload(data: bytes) -> str:
    """Decode a payload.

    Raises
    ------
    ValueError
        When the bytes are malformed or the payload is too long; the connection to the sender is
        then closed.
    """
    encoding, body = data[:1], data[1:]
    if encoding == RAW:
        return body.decode("utf-8", "replace")
    if encoding != COMPRESSED:
        raise ValueError(f"payload has unknown encoding {encoding!r}")
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(body, MAX_PAYLOAD_BYTES)
    except zlib.error as exc:
        raise ValueError(f"payload cannot be decompressed: {exc}") from exc
    if not decompressor.eof:
        raise ValueError("payload is truncated or too long")
    return raw.decode("utf-8", "replace")
