"""A transaction whose answer is lost is settled, and takes effect once."""

import pytest

from gentianhoist.standins import MemoryTable
from gentianhoist.store import (
    Check,
    ConditionFailed,
    Put,
    StoreInDoubt,
    StoreUnavailable,
    Transaction,
    transact_settled,
)


def _transaction(name: str = "t1", version: int = 0) -> Transaction:
    return Transaction(name, (Check("row", version),), (Put("row", name.encode()),))


async def test_lost_answer_is_success():
    table = MemoryTable()
    table.lose_answers = 1
    await transact_settled(table, _transaction())
    assert table.model.get_row("row").writer == "t1"


async def test_lost_write_is_sent_again():
    table = MemoryTable()
    table.drop_writes = 2
    await transact_settled(table, _transaction())
    assert table.model.get_row("row").writer == "t1"


async def test_anothers_write_is_a_failed_condition():
    table = MemoryTable()
    await transact_settled(table, _transaction("other"))
    with pytest.raises(ConditionFailed):
        await transact_settled(table, _transaction())


async def test_lost_every_time_stays_in_doubt():
    table = MemoryTable()
    table.drop_writes = 9
    with pytest.raises(StoreInDoubt):
        await transact_settled(table, _transaction())


async def test_outage_after_a_lost_answer_is_in_doubt_and_before_is_not():
    table = MemoryTable()
    table.down = True
    with pytest.raises(StoreUnavailable):
        await transact_settled(table, _transaction())

    class _Failing(MemoryTable):
        async def transact(self, transaction):
            try:
                await super().transact(transaction)
            finally:
                self.down = True

    failing = _Failing()
    failing.lose_answers = 1
    with pytest.raises(StoreInDoubt):
        await transact_settled(failing, _transaction())


def test_deleted_row_does_not_get_an_old_version_again():
    table = MemoryTable()
    table.model.transact(_transaction())
    version = table.model.get_row("row").version
    table.model.transact(Transaction("d", (), (), ("row",)))
    table.model.transact(_transaction("t2"))
    assert table.model.get_row("row").version > version
