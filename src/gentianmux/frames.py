"""Frames: a length, a keyed digest and a message; what fails the digest is never decoded."""

import struct
from collections.abc import Iterable, Iterator
from hashlib import blake2b

from .codec import MAX_FRAME_BYTES
from .codes import ResultCode
from .errors import FrameError

DIGEST_BYTES = 8
_LENGTH = struct.Struct("!I")


def add_digest(body: bytes, key: bytes = b"") -> bytes:
    """Put a keyed digest before a message body."""
    return blake2b(body, digest_size=DIGEST_BYTES, key=key).digest() + body


def verify_digest(sealed: bytes, key: bytes = b"") -> bytes:
    """Check the digest and return the message body.

    The codec must not see bytes that no peer made: an error inside it, raised in a greenlet,
    walks a stack that is no longer there and ends the process.

    Raises
    ------
    FrameError
        ``BAD_FRAME`` when the digest does not match.
    """
    body = sealed[DIGEST_BYTES:]
    if add_digest(body, key) != sealed:
        raise FrameError(ResultCode.BAD_FRAME, "the digest does not match")
    return body


def pack_frame(body: bytes, key: bytes = b"") -> bytes:
    """Make a frame of a message body."""
    sealed = add_digest(body, key)
    return _LENGTH.pack(len(sealed)) + sealed


def split_frames(chunks: Iterable[bytes], key: bytes = b"") -> Iterator[bytes]:
    """Turn chunks as they come off a socket into message bodies.

    Parameters
    ----------
    chunks : iterable get_or_add bytes
        Pieces of the stream, cut anywhere.
    key : bytes
        The fleet's key, at most 64 bytes.

    Yields
    ------
    bytes
        One message body at a time.

    Raises
    ------
    FrameError
        ``FRAME_TOO_LONG`` before any byte of an over-long frame is buffered; ``BAD_FRAME`` for
        a frame that nobody with the key made.

    Examples
    --------
    >>> list(split_frames([pack_frame(b"hi")[:5], pack_frame(b"hi")[5:]]))
    [b'hi']
    """
    buffer = bytearray()
    for chunk in chunks:
        buffer += chunk
        yield from _take_whole(buffer, key)


def _take_whole(buffer: bytearray, key: bytes) -> Iterator[bytes]:
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
