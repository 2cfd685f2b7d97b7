"""Lease of an entry's own share of the rate limit."""

from __future__ import annotations

from gentianhoist.allowance._ledger import (
    WHOLE_PPM,
    Holder,
    ShareLedger,
    decode_ledger,
    encode_ledger,
)
from gentianhoist.clocks import Clock
from gentianhoist.store import (
    NO_HISTORY,
    Check,
    ConditionFailed,
    Put,
    TableClient,
    Transaction,
    new_transaction_id,
    transact_with_retry,
)

_LEDGER_KEY = "allowance/shares"
_MAX_ATTEMPTS = 5


class ShareLease:
    """Acquires, renews and releases the lease of this entry's share.

    Args:
        table: Client of the table service that stores the ledger.
        clock: Clocks of this machine.
        instance: Name of this entry's instance.
        incarnation: Random name of this run of the process.
        lease_s: Duration of a lease, in seconds.
        clock_skew_s: Maximum difference between two machines' clocks, in seconds.
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
        self._lease_expires_monotonic_s = 0.0
        # History of the store in which the share was last granted or renewed.
        self._history = NO_HISTORY

    def share_ppm(self, now_s: float) -> int:
        """The share that may be used at `now_s`; 0 after the lease has expired.

        Args:
            now_s: Monotonic time on this machine's clock.

        Returns:
            The share, in parts per million.
        """
        return self._share_ppm if now_s < self._lease_expires_monotonic_s else 0

    async def renew(self, expected_holders: int = 1) -> None:
        """Acquire or renew the lease.

        Args:
            expected_holders: Number of entries that this one knows of, itself included.

        Raises:
            StoreUnavailable: If the store doesn't respond; the old lease stays valid
                until it expires.
            StoreInDoubt: If it is unknown whether the write was applied; the smaller of
                the old and the new share is used.
            ConditionFailed: If other entries changed the ledger during each attempt.
        """
        for attempt in range(_MAX_ATTEMPTS):
            started_s = self._clock.monotonic_s()
            ledger, version = await self._read()
            max_share_ppm = self._max_share_ppm(started_s)
            holder = ledger.renew(
                self._incarnation,
                self._instance,
                self._clock.wall_s(),
                self._lease_s,
                self._clock_skew_s,
                expected_holders,
                max_share_ppm,
            )
            # Stop using the released part before the ledger shows it as released.
            self._share_ppm = min(self._share_ppm, holder.share_ppm)
            try:
                await self._write(ledger, version)
            except ConditionFailed:
                if attempt == _MAX_ATTEMPTS - 1:
                    raise
            else:
                self._set_lease(holder, started_s)
                self._history = ledger.history
                return

    async def release(self) -> None:
        """Release the share.

        If other entries change the ledger during each attempt, the share stays in the
        ledger until its lease expires.

        Raises:
            StoreUnavailable: If the store doesn't respond.
            StoreInDoubt: If it is unknown whether the write was applied.
        """
        self._share_ppm = 0
        for _ in range(_MAX_ATTEMPTS):
            ledger, version = await self._read()
            ledger.release(self._incarnation, self._clock.wall_s(), self._clock_skew_s)
            try:
                await self._write(ledger, version)
            except ConditionFailed:
                continue
            return

    def _set_lease(self, holder: Holder, started_s: float) -> None:
        self._share_ppm = holder.share_ppm
        # Counted from before the ledger was read, so that this process stops using the
        # share before the lease in the ledger expires.
        self._lease_expires_monotonic_s = started_s + self._lease_s

    def _max_share_ppm(self, now_s: float) -> int:
        """Return the largest share that can be granted now.

        A restored ledger may show as this entry's what it has released since.
        """
        if self._history in (NO_HISTORY, self._table.history):
            return WHOLE_PPM
        return self.share_ppm(now_s)

    async def _read(self) -> tuple[ShareLedger, int]:
        (row,) = await self._table.read([_LEDGER_KEY])
        ledger = decode_ledger(row.value)
        if not row.version and self._history == NO_HISTORY:
            # The first entry of a deployment, whose store was restored at some time.
            ledger.history = self._table.history
        if ledger.history != self._table.history:
            ledger.begin_history(
                self._table.history,
                self._clock.wall_s(),
                self._lease_s,
                self._clock_skew_s,
            )
        return ledger, row.version

    async def _write(self, ledger: ShareLedger, version: int) -> None:
        transaction = Transaction(
            new_transaction_id(),
            (Check(_LEDGER_KEY, version),),
            (Put(_LEDGER_KEY, encode_ledger(ledger)),),
        )
        await transact_with_retry(self._table, transaction)
