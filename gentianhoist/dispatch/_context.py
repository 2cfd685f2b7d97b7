"""What all requests of an entry share, and their match with the configuration."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from gentianhoist.backoff import PauseNamed, PauseUnreadable, ServerNotice
from gentianhoist.clocks import Clock
from gentianhoist.dispatch._admission import AdmissionControl
from gentianhoist.dispatch._interfaces import Call, KvReservationClient, ServerCodec
from gentianhoist.dispatch._queue_scheduler import QueueScanScheduler
from gentianhoist.dispatch._request import Request
from gentianhoist.dispatch._shutdown import Shutdown
from gentianhoist.dispatch._state import DispatchState
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.fleet import BackendServer, RoutingConfiguration
from gentianhoist.peers import CommitmentPublisher
from gentianhoist.quarantine import RequestQuarantine
from gentianhoist.quotas import QuotaExchange
from gentianhoist.ratelimits import RateLimitExchange
from gentianhoist.slowstart import SlowStartExchange
from gentianhoist.telemetry import DecisionLog, EntryMetrics

__all__ = ["DispatchContext"]


class DispatchContext:
    """State, clients and logs that all requests of an entry share.

    Args:
        state: State that all requests of the entry share.
        codec: Encodes requests to backend servers and decodes their responses.
        kv_reservations: Reserves KV cache on engines.
        peers: Publishes commitments and rate limits to the other entries.
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
        quarantine: RequestQuarantine,
    ) -> None:
        self.state = state
        self.codec = codec
        self.kv_reservations = kv_reservations
        self.peers = peers
        self.clock = clock
        self.log = log
        self.metrics = metrics
        self.quarantine = quarantine
        self.admission = AdmissionControl(state.admission, clock, log, metrics)
        self.queue_scheduler = QueueScanScheduler(state.queue, clock)
        self.rate_limits = RateLimitExchange(
            state.rate_limits, peers, clock, log, self.queue_scheduler.request_scan
        )
        self.retry_quotas = QuotaExchange(
            state.retry_quota, peers, clock, log, state.rng
        )
        self.slow_starts = SlowStartExchange(
            state.slow_starts,
            peers,
            state.find_listed,
            lambda: len(state.queue) > 0,
            clock,
            log,
            metrics,
            state.rng,
        )
        self.shutdown = Shutdown(state.rng)
        self._background_tasks: set[asyncio.Task[None]] = set()

    @property
    def has_background_tasks(self) -> bool:
        """Whether any coroutine of `run_in_background` hasn't ended."""
        return bool(self._background_tasks)

    def begin_shutdown(
        self, remaining_s: float, new_streams_s: float = float("inf")
    ) -> None:
        """Answer all requests within a time, and refuse those that would last longer.

        Args:
            remaining_s: Seconds until all must have been answered.
            new_streams_s: Seconds after which a new stream is refused.
        """
        now_s = asyncio.get_running_loop().time()
        self.shutdown.begin(now_s + remaining_s, now_s + new_streams_s)
        self.state.queue.end_by(self.clock.monotonic_s() + remaining_s)
        self.queue_scheduler.request_scan()

    def observe_notice(
        self, server: BackendServer, notice: ServerNotice, request_id: str = ""
    ) -> None:
        """Take what a response says about its server.

        Args:
            server: Incarnation of the server that responded.
            notice: What it says.
            request_id: Id of the request, for the log.
        """
        match notice.pause:
            case PauseNamed(pause_s=pause_s):
                now_s = self.clock.monotonic_s()
                kept_s = self.state.pauses.begin(server, pause_s, now_s)
                self.metrics.record_pause()
                self.log.record(
                    "server_pause",
                    request_id,
                    server=server.id,
                    pause_s=pause_s,
                    kept_s=round(kept_s, 3),
                )
            case PauseUnreadable(text=text):
                self.log.record(
                    "server_pause_unreadable", request_id, server=server.id, text=text
                )
        if notice.is_leaving and self._mark_leaving(server.incarnation, "response"):
            self.peers.publish_leaving(server.incarnation)

    def observe_replaced(self, server: BackendServer) -> None:
        """Take that another server responded at the address of a server.

        The directory lists the one that has ended until its lease expires.
        """
        if self._mark_leaving(server.incarnation, "replaced"):
            self.peers.publish_leaving(server.incarnation)

    @property
    def leaving(self) -> list[tuple[str, str, int]]:
        """Incarnations of servers that are known to be about to stop."""
        return self.state.directory.leaving

    def hear_leaving(self, incarnation: tuple[str, str, int]) -> None:
        """Take from another entry that a server is about to stop."""
        self._mark_leaving(incarnation, "entry")

    def _mark_leaving(self, incarnation: tuple[str, str, int], source: str) -> bool:
        is_news = self.state.directory.mark_leaving(incarnation)
        if is_news:
            self.log.record("server_leaving", server=incarnation[0], source=source)
            self.queue_scheduler.request_scan()
        return is_news

    def run_in_background(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine that no request waits for."""
        task = asyncio.get_running_loop().create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def match(self, call: Call, configuration: RoutingConfiguration) -> Request:
        """Match a request with a configuration.

        Args:
            call: The caller's request.
            configuration: The configuration.

        Raises:
            HoistError: If no route matches, or the API key isn't valid for it.
        """
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
            configuration=configuration,
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
        # Versions don't tell: a restored store may give one out again.
        if configuration is None or configuration is request.configuration:
            return None
        try:
            newer = self.match(request.call, configuration)
        except HoistError as error:
            return error.message
        request.configuration = newer.configuration
        request.organisation = newer.organisation
        if newer.route.groups != request.route.groups:
            request.route = newer.route
            request.group_name = self.choose_group(request)
            return "the server groups of the route changed"
        request.route = newer.route
        return None

    def choose_group(self, request: Request) -> str:
        """Choose one of the route's server groups at random, by their weights."""
        groups = request.route.groups
        if len(groups) == 1:
            return groups[0].group
        weights = [max(0.0, item.weight) for item in groups]
        if not sum(weights):
            return groups[0].group
        return self.state.rng.choices(groups, weights)[0].group
