"""Leases for sending orders to an engine, and the check of their fencing tokens."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from gentianhoist.exceptions import ErrorKind, HoistError

__all__ = [
    "FencingGuard",
    "OrderLease",
    "decode_lease",
    "encode_lease",
    "lease_conflict",
    "lease_key",
    "highest_earlier_token",
]

_FIRST_HISTORY = 1
# More than any history of the store issues for one engine.
_TOKENS_OF_A_HISTORY = 1 << 32


class OrderLease(NamedTuple):
    """Content of an engine's lease row: the last holder.

    Attributes:
        holder: Incarnation of the entry that may send orders.
        fencing_token: Fencing token; each acquisition increments it.
        expires_s: Wall time at which the lease expires, in seconds.
        history: History of the store in which the lease was acquired.
    """

    holder: str
    fencing_token: int
    expires_s: float
    history: int = _FIRST_HISTORY

    def acquired_by(
        self,
        holder: str,
        wall_s: float,
        lease_s: float,
        clock_skew_s: float,
        history: int = _FIRST_HISTORY,
    ) -> OrderLease:
        """Return the lease after its acquisition or renewal by a holder.

        A new holder must wait until the previous lease has expired, so that two holders
        do not overlap even where nothing checks the fencing token.

        Args:
            holder: Incarnation that acquires the lease.
            wall_s: Wall time of the acquiring process, in seconds.
            lease_s: Duration of the lease in seconds.
            clock_skew_s: Maximum difference between the wall clocks of two machines, in
                seconds.
            history: Present history of the store. A restored store may have lost the
                latest tokens, so those of a history exceed all of the ones before.

        Returns:
            The new content of the row.

        Raises:
            HoistError: If the lease of another holder has not expired; `retry_after_s`
                is the remaining time.
        """
        remaining_s = self.expires_s + clock_skew_s - wall_s
        if self.holder != holder and remaining_s > 0:
            raise lease_conflict(remaining_s)
        token = max(self.fencing_token, highest_earlier_token(history)) + 1
        return OrderLease(holder, token, wall_s + lease_s, history)


def highest_earlier_token(history: int) -> int:
    """Return the highest fencing token that an earlier history may have issued.

    Args:
        history: Present history of the store.
    """
    return (history - _FIRST_HISTORY) * _TOKENS_OF_A_HISTORY


def lease_conflict(remaining_s: float) -> HoistError:
    """The error for an acquisition while another entry holds, or may hold, the lease.

    Args:
        remaining_s: Seconds until it can be acquired.
    """
    return HoistError(
        ErrorKind.CONFIGURATION_CONFLICT,
        "the order lease is held by another entry; it can be acquired in"
        f" {remaining_s:.1f} s",
        field="instance",
        retry_after_s=remaining_s,
    )


class FencingGuard:
    """Rejects orders with an outdated fencing token, on behalf of an engine.

    A sidecar checks orders for engines that do not check fencing tokens themselves.

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
        """Highest fencing token seen, or `None` before the first `observe`."""
        return self._highest

    def observe(self, fencing_token: int) -> None:
        """Raise the highest token to the one read from the store.

        Args:
            fencing_token: Fencing token in the engine's lease row.
        """
        self._highest = max(fencing_token, self._highest or 0)

    def admit(self, fencing_token: int) -> None:
        """Check the fencing token of an order, and record it as the highest.

        Args:
            fencing_token: Fencing token of the order.

        Raises:
            HoistError: If the token is outdated, or no token was read from the store
                yet.
        """
        if self._highest is None:
            raise HoistError(
                ErrorKind.NOT_READY,
                "the fencing token has not been read from the store yet",
            )
        if fencing_token < self._highest:
            raise HoistError(
                ErrorKind.FENCED,
                f"fencing token {fencing_token} is older than {self._highest}",
            )
        self._highest = fencing_token


def lease_key(instance: str) -> str:
    """Key of an engine's lease row.

    Args:
        instance: Instance of the engine's sidecar.
    """
    return f"order/{instance}"


def encode_lease(lease: OrderLease) -> bytes:
    """Encode a lease as stored in its row."""
    return msgspec.msgpack.encode(lease)


def decode_lease(data: bytes) -> OrderLease:
    """Decode a row's value; an empty value gives an expired lease with token 0."""
    if not data:
        return OrderLease("", 0, 0.0)
    return msgspec.msgpack.decode(data, type=OrderLease)
