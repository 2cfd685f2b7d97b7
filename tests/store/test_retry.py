"""Guards against a transaction being lost or applied twice after a lost response."""

import pytest

from gentianhoist.standins import MemoryTable
from gentianhoist.store import (
    Check,
    ConditionFailed,
    Put,
    StoreInDoubt,
    StoreUnavailable,
    Transaction,
    transact_with_retry,
)


def _transaction(name: str = "t1", version: int = 0) -> Transaction:
    return Transaction(name, (Check("row", version),), (Put("row", name.encode()),))


async def test_transaction_with_lost_response_succeeds():
    table = MemoryTable()
    table.lose_answers = 1
    await transact_with_retry(table, _transaction())
    assert table.model.get_row("row").writer == "t1"


async def test_lost_write_is_resent():
    table = MemoryTable()
    table.drop_writes = 2
    await transact_with_retry(table, _transaction())
    assert table.model.get_row("row").writer == "t1"


async def test_write_by_another_transaction_fails_the_condition():
    table = MemoryTable()
    await transact_with_retry(table, _transaction("other"))
    with pytest.raises(ConditionFailed):
        await transact_with_retry(table, _transaction())


async def test_outcome_stays_unknown_if_every_attempt_is_lost():
    table = MemoryTable()
    table.drop_writes = 9
    with pytest.raises(StoreInDoubt):
        await transact_with_retry(table, _transaction())


async def test_outage_makes_outcome_unknown_only_after_a_lost_response():
    table = MemoryTable()
    table.down = True
    with pytest.raises(StoreUnavailable):
        await transact_with_retry(table, _transaction())

    class _DownAfterFirstWrite(MemoryTable):
        async def transact(self, transaction):
            try:
                await super().transact(transaction)
            finally:
                self.down = True

    down_after_first_write = _DownAfterFirstWrite()
    down_after_first_write.lose_answers = 1
    with pytest.raises(StoreInDoubt):
        await transact_with_retry(down_after_first_write, _transaction())


def test_row_recreated_after_delete_gets_a_newer_version():
    table = MemoryTable()
    table.model.transact(_transaction())
    version = table.model.get_row("row").version
    table.model.transact(Transaction("d", (), (), ("row",)))
    table.model.transact(_transaction("t2"))
    assert table.model.get_row("row").version > version
