"""Settling a transaction whose answer was lost."""

from __future__ import annotations

import asyncio

from gentianhoist.store.core import (
    ConditionFailed,
    StoreInDoubt,
    StoreUnavailable,
    TableClient,
    Transaction,
)

_PAUSE_S = 0.05


async def transact_with_retry(
    table: TableClient, transaction: Transaction, *, max_attempts: int = 3
) -> None:
    """Carry out a transaction, and settle a lost answer by sending it again.

    The same transaction can't take effect twice, since it checks every row that it
    writes. If it fails on a row that it wrote itself, the first try took effect.

    Args:
        table: The table service.
        transaction: The transaction.
        max_attempts: How often it is sent at the most.

    Raises:
        ConditionFailed: If it did not take effect and can't any more.
        StoreUnavailable: If nothing was written.
        StoreInDoubt: If that is still not known.
    """
    in_doubt = False
    for attempt in range(max_attempts):
        if attempt:
            await asyncio.sleep(_PAUSE_S * attempt)
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
