"""The dispatcher: checks a request, sends it, answers it once."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from gentianhoist.clocks import Clock
from gentianhoist.dispatch._ports import Call, EngineOrders, ServerWire
from gentianhoist.dispatch._pump import QueuePump
from gentianhoist.dispatch._refusals import answer_error
from gentianhoist.dispatch._request import Request
from gentianhoist.dispatch._state import DispatchPolicy, DispatchState
from gentianhoist.dispatch._streams import StreamRelay
from gentianhoist.dispatch._whole import WholeCall
from gentianhoist.exceptions import ErrorKind, HoistError, NotRun
from gentianhoist.fleet import RoutingConfiguration
from gentianhoist.http1 import Responder
from gentianhoist.peers import CommitmentPublisher
from gentianhoist.telemetry import DecisionLog, EntryMetrics

__all__ = ["DispatchPolicy", "DispatchState", "Dispatcher"]

_NOT_READY_RETRY_S = 0.5


class Dispatcher:
    """Drives requests through the decisions.

    Args:
        state: What requests share.
        wire: How backend servers speak.
        orders: Reservations of KV memory.
        peers: Told of each commitment.
        clock: The entry's clock.
        log: One line a decision.
        metrics: Counters and histograms.
    """

    def __init__(
        self,
        state: DispatchState,
        wire: ServerWire,
        orders: EngineOrders,
        peers: CommitmentPublisher,
        clock: Clock,
        log: DecisionLog,
        metrics: EntryMetrics,
    ) -> None:
        self.state = state
        self.wire = wire
        self.orders = orders
        self.peers = peers
        self.clock = clock
        self.log = log
        self.metrics = metrics
        self.pump = QueuePump(state.queue, clock)
        self._background: set[asyncio.Task[None]] = set()

    def background(self, work: Coroutine[None, None, None]) -> None:
        """Run work that no request waits for."""
        task = asyncio.get_running_loop().create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def handle(self, call: Call, responder: Responder) -> None:
        """Answer one request.

        Args:
            call: The request.
            responder: Where its answer goes.
        """
        started_s = asyncio.get_running_loop().time()
        outcome = "caller_gone"
        try:
            outcome = await self._answer(call, responder)
        except HoistError as error:
            outcome = self._answer_error(call, responder, error)
        finally:
            elapsed_s = asyncio.get_running_loop().time() - started_s
            self.metrics.answered(outcome, elapsed_s)
            if outcome == "caller_gone":
                self.log.record("caller_gone", call.id, after_s=round(elapsed_s, 3))

    async def _answer(self, call: Call, responder: Responder) -> str:
        request = self._admit(call)
        try:
            async with asyncio.timeout_at(request.end_s):
                if request.route.streaming:
                    return await StreamRelay(self, request, responder).run()
                return await WholeCall(self, request, responder).run()
        except TimeoutError:
            raise self._too_late(request) from None

    def _admit(self, call: Call) -> Request:
        configuration = self.state.replica.current
        if configuration is None:
            raise HoistError(
                ErrorKind.NOT_READY,
                "no configuration was read yet",
                retry_after_s=_NOT_READY_RETRY_S,
            )
        request = self._match(call, configuration)
        request.chosen_group = self._choose_group(request)
        self.state.budget(request.chosen_group).earn()
        return request

    def _match(self, call: Call, configuration: RoutingConfiguration) -> Request:
        route = configuration.match(call.host, call.path)
        if route is None:
            raise HoistError(ErrorKind.UNKNOWN_RESOURCE, "no route has this path")
        if not configuration.admits(route, call.key):
            raise HoistError(ErrorKind.UNAUTHENTICATED, "the key is not known")
        return Request(
            call=call,
            route=route,
            organisation=configuration.organisation(call.key),
            version=configuration.version,
            margin_s=self.state.policy.answer_margin_s,
        )

    def refresh(self, request: Request) -> str | None:
        """Check against a newer configuration; why it forbids the request, if so.

        A request that was sent before goes on under the configuration that it began
        with: breaking it off would lose an answer that the change doesn't ask for.
        """
        if request.sends:
            return None
        configuration = self.state.replica.current
        if configuration is None or configuration.version == request.version:
            return None
        try:
            newer = self._match(request.call, configuration)
        except HoistError as error:
            return error.message
        request.version = newer.version
        request.organisation = newer.organisation
        if newer.route.groups != request.route.groups:
            request.route = newer.route
            request.chosen_group = self._choose_group(request)
            return "the route leads elsewhere now"
        request.route = newer.route
        return None

    def _choose_group(self, request: Request) -> str:
        groups = request.route.groups
        if len(groups) == 1:
            return groups[0].group
        weights = [max(0.0, item.weight) for item in groups]
        if not sum(weights):
            return groups[0].group
        return self.state.rng.choices(groups, weights)[0].group

    def _answer_error(self, call: Call, responder: Responder, error: HoistError) -> str:
        self.log.record(
            "answered_error",
            call.id,
            kind=error.kind.value,
            reason=error.message,
            not_run=error.not_run.value,
            retry_after_s=round(error.retry_after_s, 3),
            configuration=self.state.replica.version,
        )
        if responder.started:
            responder.abort()
        else:
            answer_error(responder, call.id, error)
        return error.kind.value

    def _too_late(self, request: Request) -> HoistError:
        if request.may_have_run:
            return HoistError(ErrorKind.DEADLINE_EXCEEDED, "no answer in time")
        return HoistError(
            ErrorKind.OVERLOADED,
            "no backend server took it in time",
            retry_after_s=_NOT_READY_RETRY_S,
            not_run=NotRun.TRUE,
        )
