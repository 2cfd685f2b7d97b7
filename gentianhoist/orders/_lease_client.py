"""How an entry obtains the right to give orders."""

from __future__ import annotations

from gentianhoist.clocks import Clock
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.orders.core import (
    OrderLease,
    decode_lease,
    encode_lease,
    lease_key,
)
from gentianhoist.store import (
    Check,
    ConditionFailed,
    Put,
    StoreInDoubt,
    StoreUnavailable,
    TableClient,
    Transaction,
    new_transaction_id,
    transact_settled,
)

_LEASE_S = 10.0


class OrderLeaseClient:
    """Takes leases in the store.

    Args:
        table: The table service.
        clock: This machine's clocks.
        incarnation: Random name of this process's life.
        clock_skew_s: Bound on the difference between two machines' clocks.
    """

    def __init__(
        self, table: TableClient, clock: Clock, incarnation: str, clock_skew_s: float
    ) -> None:
        self._table = table
        self._clock = clock
        self._incarnation = incarnation
        self._clock_skew_s = clock_skew_s

    async def acquire(self, instance: str) -> OrderLease:
        """Take the lease of one engine.

        Args:
            instance: Instance of its sidecar.

        Returns:
            The lease, with a fencing number that nobody had before.

        Raises:
            HoistError: If another holds it, or the store can't say.
        """
        key = lease_key(instance)
        try:
            (row,) = await self._table.read([key])
            lease = decode_lease(row.value).acquired_by(
                self._incarnation, self._clock.wall_s(), _LEASE_S, self._clock_skew_s
            )
            await transact_settled(
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
                "another entry was faster",
                field="instance",
            ) from error
        except (StoreUnavailable, StoreInDoubt) as error:
            raise HoistError(
                ErrorKind.STORE_UNAVAILABLE, "the store doesn't answer"
            ) from error
        return lease
