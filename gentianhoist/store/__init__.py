"""Clients of the platform: table service, object store, weights, instance list."""

from gentianhoist.store._http import HttpPlatform
from gentianhoist.store._settling import transact_settled
from gentianhoist.store.core import (
    Check,
    ConditionFailed,
    ListedInstance,
    Put,
    Row,
    StoreInDoubt,
    StoreUnavailable,
    TableClient,
    Transaction,
    new_transaction_id,
)

__all__ = [
    "Check",
    "ConditionFailed",
    "HttpPlatform",
    "ListedInstance",
    "Put",
    "Row",
    "StoreInDoubt",
    "StoreUnavailable",
    "TableClient",
    "Transaction",
    "new_transaction_id",
    "transact_settled",
]
