"""Entry process whose external protocols are defined by a platform adapter.

A platform implements `GatewayAdapter`, which translates the messages of callers,
backend servers and the store. State is held by `Gateway`, dispatch, fleet and peers.
"""

from __future__ import annotations

import asyncio
import os
import secrets
import socket
from collections.abc import Iterable

from gentianhoist.clocks import Clock, SystemClock
from gentianhoist.dispatch import (
    Call,
    DispatchContext,
    Dispatcher,
    DispatchPolicy,
    DispatchState,
    send_error_response,
)
from gentianhoist.exceptions import HoistError
from gentianhoist.fleet import (
    EntryRegistry,
    FeedRow,
    FollowPolicy,
    RestorePolicy,
    TableFollower,
)
from gentianhoist.gateway._adapter import GatewayAdapter, GatewaySettings
from gentianhoist.gateway._memory_reporter import MemoryReporter
from gentianhoist.http1 import (
    NO_BODY_LIMITS,
    CallerRequest,
    Handler,
    HttpServer,
    Responder,
)
from gentianhoist.peers import PeerLink, PeerTableExchange
from gentianhoist.quarantine import (
    ConnectionProbe,
    KeyQuarantine,
    RequestQuarantine,
)
from gentianhoist.serverhealth import HealthExchange
from gentianhoist.telemetry import DecisionLog, EntryMetrics, RepeatedDecisions

__all__ = ["Gateway"]

_EXPIRY_INTERVAL_S = 0.25
# Minimum time after the start that requests are held until the tables are loaded.
_STARTUP_HOLD_S = 0.4
# Fraction of a request's time to its deadline that it may wait for the tables.
_HOLD_DEADLINE_RATIO = 0.25
# Seconds before the end of the grace period by which each request must have been
# answered, and by which the responses must have been delivered.
_ANSWER_MARGIN_S = 0.4
_CLOSE_MARGIN_S = 0.2
_DRAIN_POLL_INTERVAL_S = 0.05
# Live servers write their rows again within this time after an outage of the store.
_LOST_SERVER_ROW_KEPT_S = 2.0
# Beyond a lease, a row that is still in the restored store is being renewed.
_LEASE_MARGIN_S = 2.0
# Operators write again what a restored store lost, and remove again what they removed.
_LOST_OPERATOR_ROW_KEPT_S = 8.0
# The other entries publish a new record at once, so the feed may hear of it later.
# Connections to the ports for readiness and for metrics, each.
_MAX_MONITORING_CONNECTIONS = 16
_QUARANTINE_FEED_POLICY = FollowPolicy(long_poll_s=8.0, snapshot_interval_s=30.0)


class Gateway:
    """Entry process of an external platform: serves callers and follows the store.

    Args:
        settings: Listening addresses, timeouts and policies.
        adapter: Adapter of the platform.
        log: Log of decisions, one JSON line each.
        clock: Clock of the entry; the system clock by default.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        adapter: GatewayAdapter,
        log: DecisionLog,
        clock: Clock | None = None,
    ) -> None:
        self._settings = settings
        self._adapter = adapter
        self._log = log
        self._clock = clock or SystemClock()
        self._metrics = EntryMetrics()
        adapter.count_store_calls(self._metrics)
        sockets = settings.socket_limits
        self._state = DispatchState(
            settings.dispatch_policy,
            host=settings.host,
            max_connections=None if sockets is None else sockets.servers,
        )
        self._operator_rows: dict[str, FeedRow] = {}
        self._draining = False
        self._tables_loaded = asyncio.Event()
        self._is_quarantine_loaded = False
        self._startup_hold_end_s = 0.0
        self._expiry_task: asyncio.Task[None] | None = None
        self._peers = PeerLink(
            f"{settings.host}-{secrets.token_hex(3)}",
            settings.host,
            settings.peers_port,
            self._state.ledger,
            self._clock,
            lambda: self._dispatch.queue_scheduler.request_scan(),
        )
        self._table_exchange = PeerTableExchange(
            settings.host,
            settings.peers_port,
            lambda: self._peers.live_hosts,
            self._clock,
        )
        self._quarantine = RequestQuarantine(
            KeyQuarantine(),
            self._peers,
            adapter.quarantine_rows,
            ConnectionProbe(),
            self._clock,
            log,
            self._metrics,
            lambda: self._dispatch.queue_scheduler.request_scan(),
        )
        self._peers.set_quarantine(self._quarantine)
        self._dispatch = DispatchContext(
            self._state,
            adapter.codec,
            adapter.create_kv_reservations(
                self._state,
                lambda server, notice: self._dispatch.observe_notice(server, notice),
            ),
            self._peers,
            self._clock,
            log,
            self._metrics,
            self._quarantine,
        )
        self._peers.set_rate_limits(self._dispatch.rate_limits)
        self._peers.set_leaving(self._dispatch)
        self._peers.set_quotas(self._dispatch.retry_quotas)
        self._health_exchange = HealthExchange(
            self._state.server_health,
            self._peers,
            settings.host,
            self._clock,
            log,
            self._metrics,
            self._dispatch.queue_scheduler.request_scan,
        )
        self._peers.register(*self._dispatch.slow_starts.kinds)
        self._dispatch.admission.connect(self._peers)
        self._dispatcher = Dispatcher(self._dispatch)
        self._repeats = RepeatedDecisions(log, self._clock)
        self._memory = MemoryReporter(
            settings.memory_limit_bytes, self._repeats, self._metrics
        )
        self._caller_server = HttpServer(
            self._serve,
            lambda: self._state.routing.limits,
            self._count_unreadable,
            self._memory.limits,
            self._memory.record_cut,
            None if sockets is None else sockets.callers,
        )
        self._ready_server = _bodiless_server(self._report_ready)
        self._metrics_server = _bodiless_server(self._send_metrics)
        self._followers = self._create_followers()
        for follower in self._followers:
            self._table_exchange.publish(follower.name, follower.copy)
        self._registry = EntryRegistry(
            adapter.entry_rows, settings.host, self._take_entries, log
        )

    @property
    def ready(self) -> bool:
        """Whether the readiness endpoint reports that the entry takes new requests."""
        state = self._state
        return (
            not self._draining
            and state.routing.current is not None
            and state.directory.is_loaded
        )

    async def start(self, listener: socket.socket | None = None) -> None:
        """Start to follow the store, then to serve callers.

        Args:
            listener: Socket that already listens on the callers' address.
        """
        settings = self._settings
        self._startup_hold_end_s = asyncio.get_running_loop().time() + _STARTUP_HOLD_S
        await self._peers.start()
        await self._table_exchange.start()
        for follower in self._followers:
            follower.start()
        self._registry.start()
        self._quarantine.start()
        await self._ready_server.start(settings.readiness_host, settings.readiness_port)
        await self._caller_server.start(settings.host, settings.callers_port, listener)
        await self._metrics_server.start(settings.host, settings.metrics_port)
        self._expiry_task = asyncio.get_running_loop().create_task(self._expire())
        self._log.record("started", pid=os.getpid())

    async def drain(self) -> None:
        """Report not ready, serve new requests for `drain_listen_s`, finish the rest.

        Requests that can't be served in the grace period are refused, and those that
        last longer get an error. Returns when the last response has been delivered, or
        shortly before the grace period ends.
        """
        loop = asyncio.get_running_loop()
        drain_start_s = loop.time()
        self._draining = True
        self._caller_server.start_draining()
        answer_s = self._settings.grace_s - _ANSWER_MARGIN_S
        self._dispatch.begin_shutdown(answer_s, self._settings.drain_streams_s)
        self._log.record(
            "stopping",
            in_progress=self._caller_server.busy_connections,
            waiting=len(self._state.queue),
            answer_within_s=answer_s,
        )
        listen_s = min(answer_s, self._settings.drain_listen_s)
        while loop.time() < drain_start_s + listen_s:
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
        # Requests accepted later might not finish within the grace period.
        self._caller_server.stop_listening()
        end_s = drain_start_s + self._settings.grace_s - _CLOSE_MARGIN_S
        while self._has_open_work and loop.time() < end_s:
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)

    @property
    def _has_open_work(self) -> bool:
        """Whether a response is due or not delivered, or KV cache to be released."""
        server = self._caller_server
        return bool(
            server.busy_connections
            or server.undelivered_connections
            or self._dispatch.has_background_tasks
        )

    async def close(self) -> None:
        """Close all servers, tasks and connections without waiting for requests."""
        self._log.record("stopped", in_progress=self._caller_server.busy_connections)
        for server in (self._caller_server, self._ready_server, self._metrics_server):
            await server.close()
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        for follower in self._followers:
            await follower.close()
        await self._registry.close()
        await self._quarantine.close()
        await self._peers.close()
        await self._table_exchange.close()
        self._dispatch.queue_scheduler.close()
        self._state.close()
        await self._adapter.close()

    def reload(self, policy: DispatchPolicy) -> None:
        """Apply a new dispatch policy."""
        self._state.policy = policy
        self._log.record("reloaded", configuration=self._state.routing.version)

    def _create_followers(self) -> list[TableFollower]:
        settings = self._settings
        adapter = self._adapter
        return [
            TableFollower(
                "operators",
                adapter.operators_feed,
                settings.operators_feed_policy,
                self._replace_operator_rows,
                self._change_operator_rows,
                self._clock,
                self._log,
                peers=self._table_exchange,
                restore_policy=RestorePolicy(
                    adapter.is_older_operator_row,
                    _LOST_OPERATOR_ROW_KEPT_S,
                    _LOST_OPERATOR_ROW_KEPT_S,
                ),
            ),
            TableFollower(
                "servers",
                adapter.servers_feed,
                settings.servers_feed_policy,
                self._replace_servers,
                self._change_servers,
                self._clock,
                self._log,
                lambda: self._state.directory.on_store_recovered(
                    self._clock.monotonic_s()
                ),
                self._table_exchange,
                RestorePolicy(
                    adapter.is_older_server_row,
                    _LOST_SERVER_ROW_KEPT_S,
                    settings.server_lease_s + _LEASE_MARGIN_S,
                ),
            ),
            TableFollower(
                "quarantine",
                adapter.quarantine_feed,
                _QUARANTINE_FEED_POLICY,
                self._replace_quarantine,
                self._quarantine.change_rows,
                self._clock,
                self._log,
                peers=self._table_exchange,
            ),
        ]

    async def _serve(self, request: CallerRequest, responder: Responder) -> None:
        try:
            call = self._adapter.decode_call(request)
        except HoistError as error:
            self._metrics.record_response(error.kind.value, 0.0)
            self._repeats.record("refused", reason=error.message, field=error.field)
            send_error_response(responder, "", error)
            return
        await self._wait_for_tables(call)
        await self._dispatcher.handle(call, responder)

    async def _wait_for_tables(self, call: Call) -> None:
        """Wait briefly until a routing configuration and the directory are loaded."""
        if self._tables_loaded.is_set():
            return
        timeout_s = call.timeout_s or 0.0
        hold_end_s = call.received_s + _HOLD_DEADLINE_RATIO * timeout_s
        try:
            async with self._dispatch.shutdown.timeout_at(
                max(self._startup_hold_end_s, hold_end_s)
            ):
                await self._tables_loaded.wait()
        except TimeoutError:
            self._log.record("serving_without_store", call.id)

    def _replace_quarantine(self, rows: list[FeedRow]) -> None:
        self._quarantine.replace_rows(rows)
        self._is_quarantine_loaded = True
        self._update_tables_loaded()

    def _update_tables_loaded(self) -> None:
        if (
            self._state.routing.current is not None
            and self._state.directory.is_loaded
            and self._is_quarantine_loaded
        ):
            self._tables_loaded.set()

    def _count_unreadable(self, status: int, cause: str) -> None:
        self._metrics.record_response(f"unreadable_{status}", 0.0)
        self._repeats.record("refused_unreadable", status=status, reason=cause)

    async def _report_ready(self, request: CallerRequest, responder: Responder) -> None:
        responder.send_response(200 if self.ready else 503, [], b"")

    async def _send_metrics(self, request: CallerRequest, responder: Responder) -> None:
        responder.send_response(
            200,
            [(b"Content-Type", b"text/plain; version=0.0.4")],
            self._metrics.render(),
        )

    def _replace_operator_rows(self, rows: list[FeedRow]) -> None:
        self._operator_rows = {row.key: row for row in rows if row.value is not None}
        self._apply_operator_view()

    def _change_operator_rows(self, rows: list[FeedRow]) -> None:
        if not rows:
            return
        for row in rows:
            if row.value is None:
                self._operator_rows.pop(row.key, None)
            else:
                self._operator_rows[row.key] = row
        self._apply_operator_view()

    def _apply_operator_view(self) -> None:
        view = self._adapter.decode_operators(self._operator_rows)
        before = self._state.routing.version
        if view.configuration is not None and self._state.routing.update_if_newer(
            view.configuration
        ):
            self._log.record(
                "configuration_taken", version=view.configuration.version, before=before
            )
            self._memory.check_body_limit(self._state.routing.limits.max_body_bytes)
        self._update_tables_loaded()
        if view.zones_out != self._state.directory.zones_out:
            self._state.directory.set_zones_out(view.zones_out)
            self._log.record("zones_out", zones=sorted(view.zones_out))

    def _replace_servers(self, rows: list[FeedRow]) -> None:
        now_s = self._clock.monotonic_s()
        listings = self._adapter.decode_servers(rows, now_s)
        self._state.directory.replace(listings, now_s)
        self._update_tables_loaded()
        self._handle_servers_changed()

    def _change_servers(self, rows: list[FeedRow]) -> None:
        now_s = self._clock.monotonic_s()
        listings = self._adapter.decode_servers(rows, now_s)
        self._state.directory.apply_changes(listings, now_s)
        if rows:
            self._handle_servers_changed()

    def _handle_servers_changed(self) -> None:
        self._state.prune_removed_servers()
        self._dispatch.queue_scheduler.request_scan()

    async def _expire(self) -> None:
        """Periodically expire commitments and peers, and update counts and gauges."""
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            now_s = self._clock.monotonic_s()
            self._state.ledger.expire(now_s)
            self._peers.tick(now_s)
            self._health_exchange.tick(now_s)
            known = 1 + len(self._peers.peers)
            self._state.set_heard_entries(
                1 + self._peers.live_count, known if self._peers.is_registry_read else 0
            )
            self._state.set_entry_count(known)
            self._state.slot_turns.set_others(self._peers.live_hosts)
            self._update_rate_limits()
            self._update_slow_starts()
            self._memory.update(self._caller_server)
            self._repeats.tick()
            self._dispatch.admission.tick(now_s)
            self._metrics.set_gauges(
                self._state.routing.version,
                len(self._state.directory.servers),
                self._log.dropped_lines,
                len(self._state.rate_limits),
            )

    def _take_entries(self, hosts: Iterable[str]) -> None:
        """Take the registered entries; parts of limits shrink at once."""
        self._peers.set_peers(hosts)
        self._state.set_entry_count(1 + len(self._peers.peers))
        self._update_slow_starts()

    def _update_slow_starts(self) -> None:
        self._dispatch.slow_starts.tick(
            self._peers.peers,
            self._state.assumed_entries,
            1 + self._peers.live_count,
        )

    def _update_rate_limits(self) -> None:
        """Tell the rate limits which entries there are."""
        peers = self._peers
        min_entries = 1 if peers.is_registry_read else self._state.policy.min_entries
        self._dispatch.rate_limits.tick(peers.peers, peers.live_hosts, min_entries)


def _bodiless_server(handler: Handler) -> HttpServer:
    """Make a server for requests that need no body, which has no memory budget."""
    return HttpServer(
        handler, lambda: NO_BODY_LIMITS, max_connections=_MAX_MONITORING_CONNECTIONS
    )
