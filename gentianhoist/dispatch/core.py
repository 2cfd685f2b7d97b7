"""The dispatcher: admits a request, sends it and gives it a single response."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from gentianhoist.clocks import Clock
from gentianhoist.dispatch._buffered_relay import BufferedRelay
from gentianhoist.dispatch._error_response import send_error_response
from gentianhoist.dispatch._interfaces import Call, KvReservationClient, ServerCodec
from gentianhoist.dispatch._queue_scheduler import QueueScanScheduler
from gentianhoist.dispatch._request import Request
from gentianhoist.dispatch._state import DispatchPolicy, DispatchState
from gentianhoist.dispatch._streams import StreamRelay
from gentianhoist.exceptions import ErrorKind, HoistError, NotRun
from gentianhoist.fleet import RoutingConfiguration
from gentianhoist.http1 import Responder
from gentianhoist.peers import CommitmentPublisher
from gentianhoist.quarantine import PromptQuarantine
from gentianhoist.telemetry import DecisionLog, EntryMetrics

__all__ = ["DispatchPolicy", "DispatchState", "Dispatcher"]

_RETRY_AFTER_S = 0.5


class Dispatcher:
    """Serves requests from admission to the response.

    Args:
        state: State that all requests of the entry share.
        codec: Encodes requests to backend servers and decodes their responses.
        kv_reservations: Reserves KV cache on engines.
        peers: Publishes commitments to the other entries.
        clock: The entry's clock.
        log: Receives one record for each decision.
        metrics: Counters and histograms of the entry.
        quarantine: Keeps prompts that crash engines from them.
    """

    def __init__(
        self,
        state: DispatchState,
        codec: ServerCodec,
        kv_reservations: KvReservationClient,
        peers: CommitmentPublisher,
        clock: Clock,
        log: DecisionLog,
        metrics: EntryMetrics,
        quarantine: PromptQuarantine,
    ) -> None:
        self.state = state
        self.codec = codec
        self.kv_reservations = kv_reservations
        self.peers = peers
        self.clock = clock
        self.log = log
        self.metrics = metrics
        self.quarantine = quarantine
        self.queue_scheduler = QueueScanScheduler(state.queue, clock)
        self._background_tasks: set[asyncio.Task[None]] = set()

    def run_in_background(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine that no request waits for."""
        task = asyncio.get_running_loop().create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def handle(self, call: Call, responder: Responder) -> None:
        """Serve one request and send its response.

        Args:
            call: The caller's request.
            responder: Sends the response to the caller.
        """
        started_s = asyncio.get_running_loop().time()
        outcome = "caller_gone"
        try:
            outcome = await self._serve(call, responder)
        except HoistError as error:
            outcome = self._send_error(call, responder, error)
        finally:
            elapsed_s = asyncio.get_running_loop().time() - started_s
            self.metrics.record_response(outcome, elapsed_s)
            if outcome == "caller_gone":
                self.log.record("caller_gone", call.id, after_s=round(elapsed_s, 3))

    async def _serve(self, call: Call, responder: Responder) -> str:
        request = self._admit(call)
        try:
            async with asyncio.timeout_at(request.deadline_s):
                if request.route.streaming:
                    return await StreamRelay(self, request, responder).run()
                return await BufferedRelay(self, request, responder).run()
        except TimeoutError:
            raise self._deadline_error(request) from None

    def _admit(self, call: Call) -> Request:
        configuration = self.state.routing.current
        if configuration is None:
            raise HoistError(
                ErrorKind.NOT_READY,
                "no configuration has been loaded yet",
                retry_after_s=_RETRY_AFTER_S,
            )
        request = self._match(call, configuration)
        request.group_name = self._choose_group(request)
        self.state.retry_budget(request.group_name).deposit()
        return request

    def _match(self, call: Call, configuration: RoutingConfiguration) -> Request:
        route = configuration.match_route(call.host, call.path)
        if route is None:
            raise HoistError(
                ErrorKind.UNKNOWN_RESOURCE, "no route matches the host and path"
            )
        if not configuration.is_authorised(route, call.api_key):
            raise HoistError(
                ErrorKind.UNAUTHENTICATED, "the API key is missing or unknown"
            )
        return Request(
            call=call,
            route=route,
            organisation=configuration.organisation(call.api_key),
            configuration_version=configuration.version,
            response_margin_s=self.state.policy.response_margin_s,
        )

    def recheck_configuration(self, request: Request) -> str | None:
        """Check an unsent request against the current configuration.

        A request that was sent before keeps the configuration that it started with:
        aborting it would lose a response, which the change doesn't require.

        Returns:
            Why the request may not be sent as planned, or None.
        """
        if request.sends:
            return None
        configuration = self.state.routing.current
        if (
            configuration is None
            or configuration.version == request.configuration_version
        ):
            return None
        try:
            newer = self._match(request.call, configuration)
        except HoistError as error:
            return error.message
        request.configuration_version = newer.configuration_version
        request.organisation = newer.organisation
        if newer.route.groups != request.route.groups:
            request.route = newer.route
            request.group_name = self._choose_group(request)
            return "the server groups of the route changed"
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

    def _send_error(self, call: Call, responder: Responder, error: HoistError) -> str:
        self.log.record(
            "answered_error",
            call.id,
            kind=error.kind.value,
            reason=error.message,
            not_run=error.not_run.value,
            retry_after_s=round(error.retry_after_s, 3),
            configuration=self.state.routing.version,
        )
        if responder.started:
            responder.abort()
        else:
            send_error_response(responder, call.id, error)
        return error.kind.value

    def _deadline_error(self, request: Request) -> HoistError:
        if request.may_have_run:
            return HoistError(
                ErrorKind.DEADLINE_EXCEEDED, "no response before the deadline"
            )
        return HoistError(
            ErrorKind.OVERLOADED,
            "no backend server accepted the request in time",
            retry_after_s=_RETRY_AFTER_S,
            not_run=NotRun.TRUE,
        )
