"""Numbers in header fields."""

from __future__ import annotations

import math

__all__ = ["parse_decimal"]


def parse_decimal(text: str) -> float | None:
    """Parse a finite number that isn't negative; returns None for anything else.

    Args:
        text: Value of a header field.

    Example:
        >>> parse_decimal("1.5")
        1.5
        >>> parse_decimal("nan") is None
        True
    """
    try:
        value = float(text)
    except ValueError:
        return None
    if not math.isfinite(value) or value < 0.0:
        return None
    return value
