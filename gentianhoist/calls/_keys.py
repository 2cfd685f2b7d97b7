"""Idempotency keys carry the time of their making, so that old ones can be refused."""

from __future__ import annotations

import secrets
import time
import uuid

from gentianhoist.exceptions import ErrorKind, HoistError

_FIELD = "Idempotency-Key"
_VERSION = 7
_FUTURE_S = 300.0
_MILLISECONDS_PER_S = 1000.0
_TIME_SHIFT = 80


def new_idempotency_key(wall_s: float | None = None) -> str:
    """Make a key: a UUID of version 7.

    Args:
        wall_s: Time that it carries, in seconds since the epoch; now by default.

    Example:
        >>> len(new_idempotency_key())
        36
    """
    moment_ms = int((time.time() if wall_s is None else wall_s) * _MILLISECONDS_PER_S)
    number = (moment_ms << _TIME_SHIFT) | secrets.randbits(_TIME_SHIFT)
    number = (number & ~(0xF << 76)) | (_VERSION << 76)
    number = (number & ~(0x3 << 62)) | (0x2 << 62)
    return str(uuid.UUID(int=number))


def check_idempotency_key(key: str, wall_s: float, retention_s: float) -> str:
    """Check a caller's key.

    Args:
        key: What the caller sent.
        wall_s: The time now, in seconds since the epoch.
        retention_s: Seconds that outcomes are kept.

    Returns:
        The key in its usual form.

    Raises:
        HoistError: If it is missing, malformed or too old.
    """
    if not key:
        raise HoistError(
            ErrorKind.KEY_REQUIRED, "this operation needs a key", field=_FIELD
        )
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        parsed = uuid.UUID(int=0)
    if parsed.version != _VERSION:
        raise HoistError(
            ErrorKind.KEY_INVALID,
            "the key must be a UUID of version 7, which carries the time of its making",
            field=_FIELD,
        )
    age_s = wall_s - (parsed.int >> _TIME_SHIFT) / _MILLISECONDS_PER_S
    if age_s > retention_s:
        raise HoistError(
            ErrorKind.KEY_EXPIRED,
            f"outcomes are kept for {retention_s:.0f} s and this key is older",
            field=_FIELD,
        )
    if age_s < -_FUTURE_S:
        raise HoistError(
            ErrorKind.KEY_INVALID, "the key's time lies in the future", field=_FIELD
        )
    return str(parsed)
