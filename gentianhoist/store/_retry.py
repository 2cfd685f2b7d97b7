"""Execution of a transaction with retries when its outcome is unknown."""

from __future__ import annotations

import asyncio

from gentianhoist.store.core import (
    ConditionFailed,
    StoreInDoubt,
    StoreUnavailable,
    TableClient,
    Transaction,
)

_BACKOFF_STEP_S = 0.05


async def transact_with_retry(
    table: TableClient, transaction: Transaction, *, max_attempts: int = 3
) -> None:
    """Execute a transaction, resending it if its response is lost.

    A transaction can't take effect twice, since it checks every row that it writes.
    If a check fails on a row that the same transaction wrote, an earlier attempt took
    effect and the call succeeds. A deleted row doesn't show which transaction deleted
    it, so a transaction with deletes must also put a row.

    Args:
        table: Client of the table service.
        transaction: The transaction to execute.
        max_attempts: Largest number of times that the transaction is sent.

    Raises:
        ConditionFailed: If a check failed and this transaction was the last writer of
            no failed row, so that it can't take effect any more.
        StoreUnavailable: If the store was unreachable and no earlier attempt may have
            taken effect; nothing was written.
        StoreInDoubt: If no attempt showed whether the transaction took effect.
    """
    in_doubt = False
    for attempt in range(max_attempts):
        if attempt:
            await asyncio.sleep(_BACKOFF_STEP_S * attempt)
        try:
            await table.transact(transaction)
        except ConditionFailed as error:
            if any(row.writer == transaction.id for row in error.rows):
                return
            raise
        except StoreInDoubt:
            in_doubt = True
        except StoreUnavailable:
            if not in_doubt:
                raise
        else:
            return
    raise StoreInDoubt(transaction.id)
