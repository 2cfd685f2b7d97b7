"""Creation and validation of idempotency keys.

Keys are UUIDs of version 7. They carry their creation time, so that a key older than
the retention of outcomes can be refused.
"""

from __future__ import annotations

import secrets
import time
import uuid

from gentianhoist.exceptions import ErrorKind, HoistError

_HEADER = "Idempotency-Key"
_UUID_VERSION = 7
_MAX_CLOCK_AHEAD_S = 300.0
_MILLISECONDS_PER_S = 1000.0
_TIMESTAMP_SHIFT_BITS = 80


def new_idempotency_key(wall_s: float | None = None) -> str:
    """Create an idempotency key: a UUID of version 7.

    Args:
        wall_s: Creation time in the key, in seconds since the epoch; now by default.

    Returns:
        The key.

    Example:
        >>> len(new_idempotency_key())
        36
    """
    timestamp_ms = int(
        (time.time() if wall_s is None else wall_s) * _MILLISECONDS_PER_S
    )
    number = (timestamp_ms << _TIMESTAMP_SHIFT_BITS) | secrets.randbits(
        _TIMESTAMP_SHIFT_BITS
    )
    # RFC 9562: the version is in bits 76 to 79, the variant (binary 10) in bits 62 and
    # 63, counted from the least significant bit.
    number = (number & ~(0xF << 76)) | (_UUID_VERSION << 76)
    number = (number & ~(0x3 << 62)) | (0x2 << 62)
    return str(uuid.UUID(int=number))


def key_created_s(key: str) -> float | None:
    """Return the creation time in a key, in seconds since the epoch.

    Args:
        key: The key; None is returned if it is not a UUID of version 7.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _UUID_VERSION:
        return None
    return (parsed.int >> _TIMESTAMP_SHIFT_BITS) / _MILLISECONDS_PER_S


def check_idempotency_key(key: str, wall_s: float, retention_s: float) -> str:
    """Validate a caller's idempotency key.

    Args:
        key: Value of the Idempotency-Key header; empty if it is missing.
        wall_s: Current time, in seconds since the epoch.
        retention_s: Seconds that outcomes are kept.

    Returns:
        The key in canonical form.

    Raises:
        HoistError: If the key is missing, malformed, too old, or from the future.
    """
    if not key:
        raise HoistError(
            ErrorKind.KEY_REQUIRED,
            "this operation requires an idempotency key",
            field=_HEADER,
        )
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        parsed = uuid.UUID(int=0)
    if parsed.version != _UUID_VERSION:
        raise HoistError(
            ErrorKind.KEY_INVALID,
            "the idempotency key must be a UUID of version 7, which carries its"
            " creation time",
            field=_HEADER,
        )
    created_s = key_created_s(key) or 0.0
    age_s = wall_s - created_s
    if age_s > retention_s:
        raise HoistError(
            ErrorKind.KEY_EXPIRED,
            f"the idempotency key is older than {retention_s:.0f} s, the retention of"
            " outcomes",
            field=_HEADER,
        )
    if age_s < -_MAX_CLOCK_AHEAD_S:
        raise HoistError(
            ErrorKind.KEY_INVALID,
            "the creation time of the idempotency key is in the future",
            field=_HEADER,
        )
    return str(parsed)
