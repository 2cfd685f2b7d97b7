"""Execution of orders to the engine: fencing check, weights, forwarding."""

from __future__ import annotations

import asyncio
import logging
import random

from gentianhoist.backends import EngineClient, EngineConnectionError, EngineRefused
from gentianhoist.clocks import Clock
from gentianhoist.exceptions import ErrorKind, HoistError, NotRun
from gentianhoist.orders import (
    FencingGuard,
    decode_lease,
    highest_earlier_token,
    lease_key,
)
from gentianhoist.store import HttpPlatform, StoreUnavailable
from gentianhoist.wire import OrderKind, OrderReply, OrderRequest

_LOG = logging.getLogger(__name__)

_LEASE_READ_RETRY_S = 0.5
_WEIGHTS_BACKOFF_S = 0.25
_WEIGHTS_MAX_BACKOFF_S = 8.0
_NEEDS_WEIGHTS = (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER)


class OrderRunner:
    """Executes orders to the engine, such as to load a model, one at a time.

    Args:
        client: Client of the engine.
        stores: Client of the table service, which has the order leases, and of the
            weight store.
        clock: Clocks of this machine.
        instance: Name of this instance, whose order lease is checked.
    """

    def __init__(
        self,
        client: EngineClient,
        stores: HttpPlatform,
        clock: Clock,
        instance: str,
    ) -> None:
        self._client = client
        self._stores = stores
        self._clock = clock
        self._instance = instance
        self._guard = FencingGuard()
        self._lock = asyncio.Lock()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to read the highest fencing token, needed before the first order."""
        self._task = asyncio.create_task(self._read_fencing_token())

    async def close(self) -> None:
        """Stop reading the fencing token."""
        if self._task is not None:
            self._task.cancel()

    async def run(self, request: OrderRequest) -> OrderReply:
        """Execute one order, after the orders that came before it.

        Args:
            request: The order, with its fencing token and remaining time.

        Returns:
            Whether the engine executed the order, and the reason if not. The kind is
            `OUTCOME_UNKNOWN` if the engine may have executed the order: the connection
            failed, or the engine responded with an error other than a refusal.
        """
        deadline_s = self._clock.monotonic_s() + request.deadline_left_s
        async with self._lock:
            try:
                self._guard.admit(request.fencing_token)
                if request.order in _NEEDS_WEIGHTS:
                    await self._fetch_weights(request.target, deadline_s)
                # Another entry may have acquired the lease during the fetch.
                self._guard.admit(request.fencing_token)
                await self._client.send_order(
                    request.order, request.target, request.fencing_token
                )
            except HoistError as error:
                return OrderReply(False, error.kind, error.message, error.not_run)
            except EngineRefused as error:
                return OrderReply(False, ErrorKind.FENCED, str(error), NotRun.TRUE)
            except EngineConnectionError as error:
                return OrderReply(
                    False, ErrorKind.OUTCOME_UNKNOWN, str(error), NotRun.UNKNOWN
                )
        return OrderReply(True)

    async def _read_fencing_token(self) -> None:
        while self._guard.highest is None:
            try:
                (row,) = await self._stores.read([lease_key(self._instance)])
            except StoreUnavailable as error:
                _LOG.debug(
                    "cannot read the fencing token of the order lease: %s", error
                )
                await asyncio.sleep(_LEASE_READ_RETRY_S)
            else:
                # A restored store may have lost a higher token.
                earlier = highest_earlier_token(self._stores.history)
                self._guard.observe(max(decode_lease(row.value).fencing_token, earlier))

    async def _fetch_weights(self, model: str, deadline_s: float) -> None:
        """Fetch weights from the rate-limited store, before a deadline.

        Jitter and backoff keep the instances from fetching all at once.
        """
        backoff_s = _WEIGHTS_BACKOFF_S
        while True:
            await asyncio.sleep(random.uniform(0, backoff_s))
            try:
                await self._stores.fetch_weights(model)
            except StoreUnavailable:
                backoff_s = min(2 * backoff_s, _WEIGHTS_MAX_BACKOFF_S)
            else:
                return
            if self._clock.monotonic_s() + backoff_s > deadline_s:
                raise HoistError(
                    ErrorKind.STORE_UNAVAILABLE,
                    "cannot fetch the weights before the deadline",
                )
