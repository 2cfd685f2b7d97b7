"""What causes the calls to the store, and how they end, for their counts."""

from __future__ import annotations

from collections.abc import Generator
from contextlib import contextmanager
from contextvars import ContextVar
from enum import StrEnum
from typing import Protocol

__all__ = [
    "StoreCallCause",
    "StoreCallCounter",
    "StoreCallOutcome",
    "current_store_call_cause",
    "store_calls_caused_by",
]


class StoreCallCause(StrEnum):
    """Why the store is called; a retry follows a call that failed.

    A failed long poll has no retry: a snapshot follows it, which is counted as one.
    """

    LONG_POLL = "long_poll"
    SNAPSHOT = "snapshot"
    SNAPSHOT_RETRY = "snapshot_retry"
    REGISTRY = "registry"
    REGISTRY_RETRY = "registry_retry"
    QUARANTINE = "quarantine"
    QUARANTINE_RETRY = "quarantine_retry"
    OTHER = "other"


class StoreCallOutcome(StrEnum):
    """How a call to the store ended.

    `REFUSED`: a condition did not hold, or the store lacks the requested changes.
    `UNAVAILABLE`: the response has another status or can't be decoded.
    `NO_RESPONSE`: no complete response, also if the entry gave the call up.
    """

    OK = "ok"
    REFUSED = "refused"
    UNAVAILABLE = "unavailable"
    NO_RESPONSE = "no_response"


class StoreCallCounter(Protocol):
    """Counts the calls to the store."""

    def record_store_call(
        self, table: str, cause: StoreCallCause, outcome: StoreCallOutcome
    ) -> None:
        """Count a call that has ended.

        Args:
            table: Name of the table that it read or wrote.
            cause: Why it was made.
            outcome: How it ended.
        """
        ...


_cause: ContextVar[StoreCallCause] = ContextVar(
    "store_call_cause", default=StoreCallCause.OTHER
)


@contextmanager
def store_calls_caused_by(cause: StoreCallCause) -> Generator[None, None, None]:
    """Name the cause of the calls made in the block, also of tasks started in it.

    The cause is a context variable, because the one who requests a call and the client
    that counts it are several interfaces apart, which need nothing of it.
    """
    token = _cause.set(cause)
    try:
        yield
    finally:
        _cause.reset(token)


def current_store_call_cause() -> StoreCallCause:
    """Return the cause that the caller has named."""
    return _cause.get()
