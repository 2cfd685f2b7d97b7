"""Clients of the platform: table service, object store, weights and instance list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianhoist.store._call_cause import (
    StoreCallCause,
    StoreCallCounter,
    StoreCallOutcome,
    current_store_call_cause,
    store_calls_caused_by,
)
from gentianhoist.store._history import HistoryMonitor, HistoryStart
from gentianhoist.store._retry import transact_with_retry
from gentianhoist.store.core import (
    NO_HISTORY,
    Check,
    ConditionFailed,
    ListedInstance,
    Put,
    Row,
    StoreInDoubt,
    StoreUnavailable,
    StoreVersion,
    TableClient,
    Transaction,
    join_version,
    new_transaction_id,
    split_version,
)

if TYPE_CHECKING:
    from gentianhoist.store._http import HttpPlatform

__all__ = [
    "NO_HISTORY",
    "Check",
    "ConditionFailed",
    "HistoryMonitor",
    "HistoryStart",
    "HttpPlatform",
    "ListedInstance",
    "Put",
    "Row",
    "StoreCallCause",
    "StoreCallCounter",
    "StoreCallOutcome",
    "StoreInDoubt",
    "StoreUnavailable",
    "StoreVersion",
    "TableClient",
    "Transaction",
    "current_store_call_cause",
    "join_version",
    "new_transaction_id",
    "split_version",
    "store_calls_caused_by",
    "transact_with_retry",
]


def __getattr__(name: str) -> object:
    # Imported on first use: processes without this client start faster when they don't
    # import aiohttp.
    if name == "HttpPlatform":
        from gentianhoist.store._http import HttpPlatform

        return HttpPlatform
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
