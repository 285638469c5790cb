"""Framing of messages: length prefix, keyed digest and message body."""

import struct
from collections.abc import Iterable, Iterator
from hashlib import blake2b

from .codec import MAX_FRAME_BYTES
from .codes import ResultCode
from .errors import FrameError

DIGEST_BYTES = 8
_LENGTH = struct.Struct("!I")


def add_digest(body: bytes, key: bytes = b"") -> bytes:
    """Prepend a keyed digest to a message body."""
    return blake2b(body, digest_size=DIGEST_BYTES, key=key).digest() + body


def verify_digest(data: bytes, key: bytes = b"") -> bytes:
    """Verify the digest and return the message body.

    Unverified bytes must not reach the codec: an exception raised inside it in a greenlet unwinds
    an invalid stack and crashes the process.

    Raises
    ------
    FrameError
        ``BAD_FRAME`` if the digest does not match.
    """
    body = data[DIGEST_BYTES:]
    if add_digest(body, key) != data:
        raise FrameError(ResultCode.BAD_FRAME, "the digest does not match")
    return body


def pack_frame(body: bytes, key: bytes = b"") -> bytes:
    """Build a frame from a message body."""
    data = add_digest(body, key)
    return _LENGTH.pack(len(data)) + data


def split_frames(chunks: Iterable[bytes], key: bytes = b"") -> Iterator[bytes]:
    """Split a byte stream into message bodies.

    Parameters
    ----------
    chunks : iterable of bytes
        Chunks of the stream, split at any position.
    key : bytes
        Shared secret of the fleet, at most 64 bytes.

    Yields
    ------
    bytes
        Message bodies with a valid digest.

    Raises
    ------
    FrameError
        ``FRAME_TOO_LONG`` as soon as the length prefix exceeds the limit; ``BAD_FRAME`` for a
        frame whose digest does not match.

    Examples
    --------
    >>> list(split_frames([pack_frame(b"hi")[:5], pack_frame(b"hi")[5:]]))
    [b'hi']
    """
    buffer = bytearray()
    for chunk in chunks:
        buffer += chunk
        yield from _pop_frames(buffer, key)


def _pop_frames(buffer: bytearray, key: bytes) -> Iterator[bytes]:
    start = 0
    while len(buffer) - start >= _LENGTH.size:
        (length,) = _LENGTH.unpack_from(buffer, start)
        if length > MAX_FRAME_BYTES + DIGEST_BYTES:
            raise FrameError(ResultCode.FRAME_TOO_LONG, f"a frame of {length} bytes")
        end = start + _LENGTH.size + length
        if len(buffer) < end:
            break
        yield verify_digest(bytes(buffer[start + _LENGTH.size : end]), key)
        start = end
    del buffer[:start]
