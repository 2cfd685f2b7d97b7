"""Ledger of the entries' shares of the rate limit, kept in one row of the store.

A share that was released, or whose lease has expired, can't be assigned for a minute,
because its last holder may have spent it up to the end.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from gentianhoist.configuration import MINUTE_S

WHOLE_PPM = 1_000_000


class Holder(NamedTuple):
    """An entry's leased share of the rate limit.

    Attributes:
        instance: Name of the entry's instance.
        share_ppm: Its share, in parts per million.
        lease_until_s: Wall time at which the lease expires.
    """

    instance: str
    share_ppm: int
    lease_until_s: float


class CoolingShare(NamedTuple):
    """A share of the rate limit without a holder that can't be assigned yet.

    Attributes:
        share_ppm: The share, in parts per million.
        free_at_s: Wall time from which it can be assigned.
    """

    share_ppm: int
    free_at_s: float


@dataclass
class ShareLedger:
    """Shares of the rate limit; held and cooling ones never exceed the whole together.

    Attributes:
        holders: Leased shares by the holder's incarnation, the random name of one run
            of an entry's process.
        cooling: Shares that can't be assigned yet.
        history: History of the store since whose begin all changes are known.
    """

    holders: dict[str, Holder] = field(default_factory=dict)
    cooling: list[CoolingShare] = field(default_factory=list)
    history: int = 1

    @property
    def free_ppm(self) -> int:
        """The share that can be assigned now, in parts per million."""
        held_ppm = sum(holder.share_ppm for holder in self.holders.values())
        return WHOLE_PPM - held_ppm - sum(share.share_ppm for share in self.cooling)

    def expire(self, wall_s: float, clock_skew_s: float) -> None:
        """Remove expired leases, and cooling shares that can be assigned again.

        Args:
            wall_s: Wall time of the calling process.
            clock_skew_s: Maximum difference between two machines' clocks, in seconds.
        """
        for incarnation, holder in list(self.holders.items()):
            if holder.lease_until_s + clock_skew_s <= wall_s:
                del self.holders[incarnation]
                free_at_s = holder.lease_until_s + clock_skew_s + MINUTE_S
                self._add_cooling(holder.share_ppm, free_at_s)
        self.cooling = [share for share in self.cooling if share.free_at_s > wall_s]

    def begin_history(
        self, history: int, wall_s: float, lease_s: float, clock_skew_s: float
    ) -> None:
        """Account for leases and renewals that a restored store has lost.

        They were granted before now, so that they end within the duration of a lease.

        Args:
            history: Present history of the store.
            wall_s: Wall time of the calling process.
            lease_s: Duration of a lease, in seconds.
            clock_skew_s: Maximum difference between two machines' clocks, in seconds.
        """
        lost_until_s = wall_s + lease_s + clock_skew_s
        self.holders = {
            incarnation: holder._replace(lease_until_s=lost_until_s)
            for incarnation, holder in self.holders.items()
        }
        self.cooling = [
            share._replace(free_at_s=max(share.free_at_s, lost_until_s + MINUTE_S))
            for share in self.cooling
        ]
        self._add_cooling(self.free_ppm, lost_until_s + MINUTE_S)
        self.history = history

    def renew(
        self,
        incarnation: str,
        instance: str,
        wall_s: float,
        lease_s: float,
        clock_skew_s: float,
        expected_holders: int = 1,
        max_share_ppm: int = WHOLE_PPM,
    ) -> Holder:
        """Grant or renew a lease, and change the share towards an equal one.

        A holder with more than an equal share releases the rest; it must stop using
        the rest before it writes the ledger to the store.

        Args:
            incarnation: Incarnation of the holder.
            instance: Name of the holder's instance.
            wall_s: Wall time of the holder.
            lease_s: Duration of the lease, in seconds.
            clock_skew_s: Maximum difference between two machines' clocks, in seconds.
            expected_holders: Number of entries that the holder knows of, itself
                included.
            max_share_ppm: Largest share that the holder may have now; what the ledger
                shows beyond it may have been granted to another entry.

        Returns:
            The lease after the renewal.
        """
        self.expire(wall_s, clock_skew_s)
        self._return_outdated(
            incarnation, max_share_ppm, wall_s + lease_s + clock_skew_s
        )
        held_ppm = self.holders.get(incarnation, Holder(instance, 0, 0.0)).share_ppm
        holder_count = max(expected_holders, len(self.holders.keys() | {incarnation}))
        equal_ppm = WHOLE_PPM // holder_count
        new_share_ppm = min(equal_ppm, held_ppm + self.free_ppm, max_share_ppm)
        if new_share_ppm < held_ppm:
            self._add_cooling(
                held_ppm - new_share_ppm, wall_s + clock_skew_s + MINUTE_S
            )
        holder = Holder(instance, new_share_ppm, wall_s + lease_s)
        self.holders[incarnation] = holder
        return holder

    def release(self, incarnation: str, wall_s: float, clock_skew_s: float) -> None:
        """Release the whole share of a holder that shuts down.

        Args:
            incarnation: Incarnation of the holder.
            wall_s: Wall time of the holder.
            clock_skew_s: Maximum difference between two machines' clocks, in seconds.
        """
        holder = self.holders.pop(incarnation, None)
        if holder is not None:
            self._add_cooling(holder.share_ppm, wall_s + clock_skew_s + MINUTE_S)

    def _return_outdated(
        self, incarnation: str, max_share_ppm: int, lost_until_s: float
    ) -> None:
        """Take from a holder what it has released before a restore of the store."""
        holder = self.holders.get(incarnation)
        if holder is None or holder.share_ppm <= max_share_ppm:
            return
        self.holders[incarnation] = holder._replace(share_ppm=max_share_ppm)
        excess_ppm = holder.share_ppm - max_share_ppm
        self._add_cooling(excess_ppm, lost_until_s + MINUTE_S)

    def _add_cooling(self, share_ppm: int, free_at_s: float) -> None:
        if share_ppm > 0:
            self.cooling.append(CoolingShare(share_ppm, free_at_s))


def encode_ledger(ledger: ShareLedger) -> bytes:
    """Encode a ledger as MessagePack for the store."""
    return msgspec.msgpack.encode(ledger)


def decode_ledger(data: bytes) -> ShareLedger:
    """Decode a ledger from `encode_ledger`; empty data gives an empty ledger."""
    return msgspec.msgpack.decode(data, type=ShareLedger) if data else ShareLedger()
