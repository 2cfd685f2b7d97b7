"""Acquisition of order leases by an entry."""

from __future__ import annotations

from gentianhoist.clocks import Clock
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.orders.core import (
    OrderLease,
    decode_lease,
    encode_lease,
    lease_conflict,
    lease_key,
)
from gentianhoist.store import (
    Check,
    ConditionFailed,
    HistoryMonitor,
    Put,
    StoreInDoubt,
    StoreUnavailable,
    TableClient,
    Transaction,
    new_transaction_id,
    transact_with_retry,
)

_LEASE_DURATION_S = 10.0


class OrderLeaseClient:
    """Acquires the leases that entitle an entry to send orders to engines.

    Args:
        table: Client of the table service, which stores the leases.
        clock: Clocks of this machine.
        incarnation: Random id of this process, new at each start.
        clock_skew_s: Maximum difference between the wall clocks of two machines, in
            seconds.
    """

    def __init__(
        self, table: TableClient, clock: Clock, incarnation: str, clock_skew_s: float
    ) -> None:
        self._table = table
        self._clock = clock
        self._incarnation = incarnation
        self._clock_skew_s = clock_skew_s
        self._monitor = HistoryMonitor(table, clock)
        self._held: dict[str, OrderLease] = {}

    async def acquire(self, instance: str) -> OrderLease:
        """Acquire the lease of one engine.

        Args:
            instance: Instance of the engine's sidecar.

        Returns:
            The lease, with a fencing token that was never issued before.

        Raises:
            HoistError: If another entry holds the lease, or if the store does not
                respond.
        """
        key = lease_key(instance)
        try:
            (row,) = await self._table.read([key])
            stored = decode_lease(row.value)
            self._check_lost_lease(instance, stored)
            lease = stored.acquired_by(
                self._incarnation,
                self._clock.wall_s(),
                _LEASE_DURATION_S,
                self._clock_skew_s,
                self._table.history,
            )
            await transact_with_retry(
                self._table,
                Transaction(
                    new_transaction_id(),
                    (Check(key, row.version),),
                    (Put(key, encode_lease(lease)),),
                ),
            )
        except ConditionFailed as error:
            raise HoistError(
                ErrorKind.CONFIGURATION_CONFLICT,
                "another entry acquired the order lease at the same time",
                field="instance",
            ) from error
        except (StoreUnavailable, StoreInDoubt) as error:
            raise HoistError(
                ErrorKind.STORE_UNAVAILABLE, "the store does not respond"
            ) from error
        self._held[instance] = lease
        return lease

    def _check_lost_lease(self, instance: str, stored: OrderLease) -> None:
        """Raise `HoistError` while a lease may be held that a restored store has lost.

        It was acquired before this process heard of the restore, by another entry
        unless this one still holds a lease.
        """
        restored = self._monitor.restored()
        if restored is None or stored.history == restored.history:
            return
        held = self._held.get(instance)
        if held is not None and held.expires_s > self._clock.wall_s():
            return
        expires_s = restored.monotonic_s + _LEASE_DURATION_S + self._clock_skew_s
        remaining_s = expires_s - self._clock.monotonic_s()
        if remaining_s > 0:
            raise lease_conflict(remaining_s)
