"""Who may give orders to an engine, and which orders are too old."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from gentianhoist.exceptions import ErrorKind, HoistError

__all__ = ["FencingGuard", "OrderLease", "decode_lease", "encode_lease", "lease_key"]


class OrderLease(NamedTuple):
    """Content of an engine's row: its last holder.

    Attributes:
        holder: Incarnation of the entry that gives orders.
        fencing: Number that each new holder raises.
        expires_s: Wall time at which the lease is over.
    """

    holder: str
    fencing: int
    expires_s: float

    def acquired_by(
        self, holder: str, now_s: float, lease_s: float, clock_skew_s: float
    ) -> OrderLease:
        """The lease of a holder from now on.

        A new holder waits the old one's lease out, so that the two don't overlap even
        where nothing checks the fencing number.

        Args:
            holder: Incarnation that wants to give orders.
            now_s: Its wall time.
            lease_s: Seconds that the lease lasts.
            clock_skew_s: Bound on the difference between two machines' clocks.

        Returns:
            The new content of the row.

        Raises:
            HoistError: If another's lease is not over; it says when it is.
        """
        left_s = self.expires_s + clock_skew_s - now_s
        if self.holder != holder and left_s > 0:
            raise HoistError(
                ErrorKind.CONFIGURATION_CONFLICT,
                f"another entry gives orders here for {left_s:.1f} s more",
                field="instance",
                retry_after_s=left_s,
            )
        return OrderLease(holder, self.fencing + 1, now_s + lease_s)


class FencingGuard:
    """A sidecar's check of orders, for engines that check nothing themselves.

    Example:
        >>> guard = FencingGuard()
        >>> guard.observe(3)
        >>> guard.admit(4)
        >>> guard.highest
        4
    """

    def __init__(self) -> None:
        self._highest: int | None = None

    @property
    def highest(self) -> int | None:
        """The highest number known, or nothing before it was learnt."""
        return self._highest

    def observe(self, fencing: int) -> None:
        """Take a number from the store."""
        self._highest = max(fencing, self._highest or 0)

    def admit(self, fencing: int) -> None:
        """Check an order's number.

        Raises:
            HoistError: If it is too old, or the highest isn't learnt yet.
        """
        if self._highest is None:
            raise HoistError(
                ErrorKind.NOT_READY, "the fencing number is not learnt yet"
            )
        if fencing < self._highest:
            raise HoistError(
                ErrorKind.FENCED,
                f"fencing number {fencing} is older than {self._highest}",
            )
        self._highest = fencing


def lease_key(instance: str) -> str:
    """Key of an engine's row."""
    return f"order/{instance}"


def encode_lease(lease: OrderLease) -> bytes:
    """Encode for the store."""
    return msgspec.msgpack.encode(lease)


def decode_lease(data: bytes) -> OrderLease:
    """Decode what `encode_lease` made; nothing decodes to a lease that is over."""
    if not data:
        return OrderLease("", 0, 0.0)
    return msgspec.msgpack.decode(data, type=OrderLease)
