"""Who holds which share of the allowance: the content of one row in the store.

A share that was given back, or whose lease is over, cools for a minute before anybody
takes it, because its last holder may have spent it up to the end.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from gentianhoist.configuration import MINUTE_S

WHOLE_PPM = 1_000_000


class Holder(NamedTuple):
    """One entry's share.

    Attributes:
        instance: Name of the entry's instance.
        share_ppm: Its share, in parts per million.
        lease_until_s: Wall time at which its lease is over.
    """

    instance: str
    share_ppm: int
    lease_until_s: float


class Cooling(NamedTuple):
    """A share that nobody holds and nobody may take yet."""

    share_ppm: int
    free_at_s: float


@dataclass
class ShareLedger:
    """All shares. They and what cools never exceed the whole.

    Attributes:
        holders: Shares by the holder's incarnation.
        cooling: Shares between two holders.
    """

    holders: dict[str, Holder] = field(default_factory=dict)
    cooling: list[Cooling] = field(default_factory=list)

    @property
    def free_ppm(self) -> int:
        """The share that anybody may take."""
        held = sum(holder.share_ppm for holder in self.holders.values())
        return WHOLE_PPM - held - sum(item.share_ppm for item in self.cooling)

    def expire(self, now_s: float, clock_skew_s: float) -> None:
        """Let leases end and cooled shares become free.

        Args:
            now_s: Wall time of the process that does this.
            clock_skew_s: Bound on the difference between two machines' clocks.
        """
        for incarnation, holder in list(self.holders.items()):
            if holder.lease_until_s + clock_skew_s <= now_s:
                del self.holders[incarnation]
                free_at_s = holder.lease_until_s + clock_skew_s + MINUTE_S
                self._cool(holder.share_ppm, free_at_s)
        self.cooling = [item for item in self.cooling if item.free_at_s > now_s]

    def renew(
        self,
        incarnation: str,
        instance: str,
        now_s: float,
        lease_s: float,
        clock_skew_s: float,
        expected_holders: int = 1,
    ) -> Holder:
        """Renew a lease, and move the share towards an equal one.

        A holder that has more than an equal share gives the rest back; it must have
        stopped using it before it writes the ledger.

        Args:
            incarnation: The holder.
            instance: Name of its instance.
            now_s: Its wall time.
            lease_s: Seconds that the lease lasts.
            clock_skew_s: Bound on the difference between two machines' clocks.
            expected_holders: Entries that the holder knows of, itself included.

        Returns:
            What it holds now.
        """
        self.expire(now_s, clock_skew_s)
        held = self.holders.get(incarnation, Holder(instance, 0, 0.0)).share_ppm
        holders = max(expected_holders, len(self.holders.keys() | {incarnation}))
        equal = WHOLE_PPM // holders
        share = min(equal, held + self.free_ppm)
        if share < held:
            self._cool(held - share, now_s + clock_skew_s + MINUTE_S)
        holder = Holder(instance, share, now_s + lease_s)
        self.holders[incarnation] = holder
        return holder

    def release(self, incarnation: str, now_s: float, clock_skew_s: float) -> None:
        """Give a whole share back on leaving."""
        holder = self.holders.pop(incarnation, None)
        if holder is not None:
            self._cool(holder.share_ppm, now_s + clock_skew_s + MINUTE_S)

    def _cool(self, share_ppm: int, free_at_s: float) -> None:
        if share_ppm > 0:
            self.cooling.append(Cooling(share_ppm, free_at_s))


def encode_ledger(ledger: ShareLedger) -> bytes:
    """Encode for the store."""
    return msgspec.msgpack.encode(ledger)


def decode_ledger(data: bytes) -> ShareLedger:
    """Decode what `encode_ledger` made; nothing decodes to an empty ledger."""
    return msgspec.msgpack.decode(data, type=ShareLedger) if data else ShareLedger()
