"""Job ids: validation, embedded time and shard."""

import re
import uuid

import xxhash

from .codes import ResultCode
from .errors import GentianmuxError

NO_TIME = -1
MAX_ID_CHARS = 128
_ID = re.compile(r"[\x21-\x7e]{1,128}\Z")
_UUID7 = re.compile(r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}\Z")


def validate_id(value: object) -> str:
    """Return a valid job id.

    Raises
    ------
    GentianmuxError
        ``BAD_ID`` for any other value.
    """
    if not isinstance(value, str) or not _ID.match(value):
        problem = f"an id is 1 to {MAX_ID_CHARS} printable ASCII characters without spaces"
        raise GentianmuxError(ResultCode.BAD_ID, problem)
    return value


def new_id(now_ms: int, random_bits: int) -> str:
    """Create a UUID of version 7 (RFC 9562), whose first 48 bits are a Unix time in ms.

    Parameters
    ----------
    now_ms : int
        Unix time in ms.
    random_bits : int
        74 random bits.
    """
    rand_a = (random_bits >> 62) & 0xFFF
    rand_b = random_bits & ((1 << 62) - 1)
    value = (now_ms & ((1 << 48) - 1)) << 80 | 7 << 76 | rand_a << 64 | 0b10 << 62 | rand_b
    return str(uuid.UUID(int=value))


def id_time_ms(job_id: str) -> int:
    """Unix time in ms embedded in a UUID of version 7; ``NO_TIME`` for other ids."""
    if not _UUID7.match(job_id.lower()):
        return NO_TIME
    return uuid.UUID(job_id).int >> 80


def job_key(member: str, job_id: str) -> str:
    """Key of a job, unique across members."""
    return f"{member}/{job_id}"


def shard_of(key: str, shard_count: int) -> int:
    """Shard number of a key."""
    return int(xxhash.xxh3_64_intdigest(key.encode())) % shard_count


def fingerprint(key: str) -> int:
    """64-bit hash of a key, for ids that are only recorded as seen."""
    return int(xxhash.xxh3_64_intdigest(key.encode(), seed=1))
