"""An entry's own share, as far as its lease goes."""

from __future__ import annotations

from gentianhoist.allowance._ledger import (
    Holder,
    ShareLedger,
    decode_ledger,
    encode_ledger,
)
from gentianhoist.clocks import Clock
from gentianhoist.store import (
    Check,
    ConditionFailed,
    Put,
    TableClient,
    Transaction,
    new_transaction_id,
    transact_settled,
)

_KEY = "allowance/shares"
_TRIES = 5


class ShareLease:
    """Takes, renews and gives back this entry's share.

    Args:
        table: The table service.
        clock: This machine's clocks.
        instance: Name of this entry's instance.
        incarnation: Random name of its present life.
        lease_s: Seconds that a lease lasts.
        clock_skew_s: Bound on the difference between two machines' clocks.
    """

    def __init__(
        self,
        table: TableClient,
        clock: Clock,
        instance: str,
        incarnation: str,
        lease_s: float,
        clock_skew_s: float,
    ) -> None:
        self._table = table
        self._clock = clock
        self._instance = instance
        self._incarnation = incarnation
        self._lease_s = lease_s
        self._clock_skew_s = clock_skew_s
        self._share_ppm = 0
        self._until_s = 0.0

    def share_ppm(self, now_s: float) -> int:
        """The share that may be used at a time on this machine's clock."""
        return self._share_ppm if now_s < self._until_s else 0

    async def renew(self, expected_holders: int = 1) -> None:
        """Renew the lease.

        Args:
            expected_holders: Entries that this one knows of, itself included.

        Raises:
            StoreUnavailable: If the store doesn't answer; the old lease goes on.
            StoreInDoubt: If the answer is lost; the smaller share is used.
            ConditionFailed: If others were faster too often.
        """
        for attempt in range(_TRIES):
            asked_s = self._clock.elapsed_s()
            ledger, version = await self._read()
            holder = ledger.renew(
                self._incarnation,
                self._instance,
                self._clock.wall_s(),
                self._lease_s,
                self._clock_skew_s,
                expected_holders,
            )
            # What the ledger will show as given back is not used from here on.
            self._share_ppm = min(self._share_ppm, holder.share_ppm)
            try:
                await self._write(ledger, version)
            except ConditionFailed:
                if attempt == _TRIES - 1:
                    raise
            else:
                self._hold(holder, asked_s)
                return

    async def release(self) -> None:
        """Give the share back. Raises as `renew` does."""
        self._share_ppm = 0
        for _ in range(_TRIES):
            ledger, version = await self._read()
            ledger.release(self._incarnation, self._clock.wall_s(), self._clock_skew_s)
            try:
                await self._write(ledger, version)
            except ConditionFailed:
                continue
            return

    def _hold(self, holder: Holder, asked_s: float) -> None:
        self._share_ppm = holder.share_ppm
        # Counted from before the ledger was read, so it ends before the ledger's.
        self._until_s = asked_s + self._lease_s

    async def _read(self) -> tuple[ShareLedger, int]:
        (row,) = await self._table.read([_KEY])
        return decode_ledger(row.value), row.version

    async def _write(self, ledger: ShareLedger, version: int) -> None:
        transaction = Transaction(
            new_transaction_id(),
            (Check(_KEY, version),),
            (Put(_KEY, encode_ledger(ledger)),),
        )
        await transact_settled(self._table, transaction)
