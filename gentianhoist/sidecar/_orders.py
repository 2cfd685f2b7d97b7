"""Orders to the engine: checked, with the weights fetched, and passed on."""

from __future__ import annotations

import asyncio
import logging
import random

from gentianhoist.backends import EngineClient, EngineConnectionError, EngineRefused
from gentianhoist.clocks import Clock
from gentianhoist.exceptions import ErrorKind, HoistError, NotRun
from gentianhoist.orders import FencingGuard, decode_lease, lease_key
from gentianhoist.store import HttpPlatform, StoreUnavailable
from gentianhoist.wire import OrderKind, OrderReply, OrderRequest

_LOG = logging.getLogger(__name__)

_LEARN_PAUSE_S = 0.5
_WEIGHTS_PAUSE_S = 0.25
_WEIGHTS_MOST_PAUSE_S = 8.0
_NEEDS_WEIGHTS = (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER)


class OrderRunner:
    """Carries out orders, one after another.

    Args:
        client: Client of the engine.
        platform: Has the leases and the weights.
        clock: This machine's clocks.
        instance: Name of this instance.
    """

    def __init__(
        self,
        client: EngineClient,
        platform: HttpPlatform,
        clock: Clock,
        instance: str,
    ) -> None:
        self._client = client
        self._platform = platform
        self._clock = clock
        self._instance = instance
        self._guard = FencingGuard()
        self._turn = asyncio.Lock()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Learn the highest fencing number before any order is taken."""
        self._task = asyncio.create_task(self._learn())

    async def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    async def run(self, request: OrderRequest) -> OrderReply:
        """Carry out one order, or say why not."""
        deadline_s = self._clock.elapsed_s() + request.deadline_left_s
        async with self._turn:
            try:
                self._guard.admit(request.fencing)
                if request.order in _NEEDS_WEIGHTS:
                    await self._fetch_weights(request.target, deadline_s)
                # A newer holder may have come while the weights were fetched.
                self._guard.admit(request.fencing)
                await self._client.send_order(
                    request.order, request.target, request.fencing
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

    async def _learn(self) -> None:
        while self._guard.highest is None:
            try:
                (row,) = await self._platform.read([lease_key(self._instance)])
            except StoreUnavailable as error:
                _LOG.debug("the fencing number is not learnt: %s", error)
                await asyncio.sleep(_LEARN_PAUSE_S)
            else:
                self._guard.observe(decode_lease(row.value).fencing)

    async def _fetch_weights(self, model: str, deadline_s: float) -> None:
        """Fetch weights from the rate-limited store, not all at once."""
        pause_s = _WEIGHTS_PAUSE_S
        while True:
            await asyncio.sleep(random.uniform(0, pause_s))
            try:
                await self._platform.fetch_weights(model)
            except StoreUnavailable:
                pause_s = min(2 * pause_s, _WEIGHTS_MOST_PAUSE_S)
            else:
                return
            if self._clock.elapsed_s() + pause_s > deadline_s:
                raise HoistError(
                    ErrorKind.STORE_UNAVAILABLE, "the weights can't be had in time"
                )
