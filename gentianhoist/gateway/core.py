"""An entry whose boundary a platform decides.

The adapter of a platform hands over a `Boundary`: what speaks to callers, backend
servers and the store. Everything that is decided or remembered is here and below.
"""

from __future__ import annotations

import asyncio
import os
import secrets
import socket
from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol

from gentianhoist.clocks import Clock, SystemClock
from gentianhoist.dispatch import (
    Call,
    Dispatcher,
    DispatchPolicy,
    DispatchState,
    EngineOrders,
    ServerWire,
    answer_error,
)
from gentianhoist.exceptions import HoistError
from gentianhoist.fleet import (
    ChangeFeed,
    EntryRegistry,
    EntryRows,
    FeedRow,
    FollowPolicy,
    RoutingConfiguration,
    ServerListing,
    TableFollower,
)
from gentianhoist.http1 import CallerRequest, HttpServer, Responder
from gentianhoist.peers import PeerLink, PeerTableExchange
from gentianhoist.telemetry import DecisionLog, EntryMetrics

__all__ = ["Boundary", "Gateway", "GatewaySettings", "OperatorView"]

_TICK_S = 0.25
# How long requests are held at the start until the store has been read.
_START_HOLD_S = 0.4
# Part of a caller's patience for which its request is held until then.
_HOLD_RATIO = 0.25
_END_MARGIN_S = 0.6
_POLL_S = 0.05


class GatewaySettings(NamedTuple):
    """Where an entry listens, and the bounds that it keeps.

    Attributes:
        name: The instance's name.
        availability_zone: Its availability zone.
        host: Its IP number.
        callers_port: Port for callers.
        ready_host: IP number for questions of readiness.
        ready_port: Port for them.
        peers_port: Port for the other entries.
        metrics_port: Port of the metrics address.
        grace_s: Time from a request to stop until the process is killed.
        operators: How closely the operators' table is followed.
        servers: How closely the directory is followed.
        dispatch: Bounds of requests.
        listen_on_s: Time after a request to stop in which callers that still come are
            served: the balancer needs it to notice.
    """

    name: str
    availability_zone: str
    host: str
    callers_port: int
    ready_host: str
    ready_port: int
    peers_port: int
    metrics_port: int
    grace_s: float
    operators: FollowPolicy
    servers: FollowPolicy
    dispatch: DispatchPolicy
    listen_on_s: float = 3.2


class OperatorView(NamedTuple):
    """What the operators' rows say.

    Attributes:
        configuration: The newest version in them, if one can be read.
        zones_out: Availability zones taken out.
    """

    configuration: RoutingConfiguration | None
    zones_out: frozenset[str]


class Boundary(Protocol):
    """What a platform's adapter provides."""

    wire: ServerWire
    operators_feed: ChangeFeed
    servers_feed: ChangeFeed
    entry_rows: EntryRows

    def decode_call(self, request: CallerRequest) -> Call:
        """Decode a caller's request.

        Raises:
            HoistError: If a field is missing or wrong.
        """
        ...

    def decode_operators(self, rows: Mapping[str, FeedRow]) -> OperatorView:
        """Decode the operators' rows."""
        ...

    def decode_servers(
        self, rows: Iterable[FeedRow], now_s: float
    ) -> list[ServerListing]:
        """Decode rows of the directory."""
        ...

    def orders(self, dispatcher_state: DispatchState) -> EngineOrders:
        """Orders to engines, over the connections that requests use."""
        ...

    async def close(self) -> None:
        """Close the connections to the store."""
        ...


class Gateway:
    """One entry process.

    Args:
        settings: Addresses and bounds.
        boundary: The platform's adapter.
        log: One line a decision.
        clock: The entry's clock.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        boundary: Boundary,
        log: DecisionLog,
        clock: Clock | None = None,
    ) -> None:
        self._settings = settings
        self._boundary = boundary
        self._log = log
        self._clock = clock or SystemClock()
        self._metrics = EntryMetrics()
        self._state = DispatchState(settings.dispatch)
        self._operator_rows: dict[str, FeedRow] = {}
        self._leaving = False
        self._known = asyncio.Event()
        self._hold_until_s = 0.0
        self._ticker: asyncio.Task[None] | None = None
        self._peers = PeerLink(
            f"{settings.host}-{secrets.token_hex(3)}",
            settings.host,
            settings.peers_port,
            self._state.ledger,
            self._clock,
            lambda: self._dispatcher.pump.wake(),
        )
        self._tables = PeerTableExchange(
            settings.host, settings.peers_port, lambda: self._peers.live_hosts
        )
        self._dispatcher = Dispatcher(
            self._state,
            boundary.wire,
            boundary.orders(self._state),
            self._peers,
            self._clock,
            log,
            self._metrics,
        )
        self._callers = HttpServer(
            self._serve, lambda: self._state.replica.limits, self._refused
        )
        self._readiness = HttpServer(self._say_ready)
        self._exposition = HttpServer(self._say_metrics)
        self._followers = self._make_followers()
        for follower in self._followers:
            self._tables.publish(follower.name, follower.copy)
        self._registry = EntryRegistry(
            boundary.entry_rows, settings.host, self._peers.set_peers, log
        )

    @property
    def ready(self) -> bool:
        """Whether new callers should come here."""
        state = self._state
        return (
            not self._leaving
            and state.replica.current is not None
            and state.directory.known
        )

    async def start(self, listener: socket.socket | None = None) -> None:
        """Start to follow the store, then to serve.

        Args:
            listener: A socket that listens to callers already.
        """
        settings = self._settings
        self._hold_until_s = asyncio.get_running_loop().time() + _START_HOLD_S
        await self._peers.start()
        await self._tables.start()
        for follower in self._followers:
            follower.start()
        self._registry.start()
        await self._readiness.start(settings.ready_host, settings.ready_port)
        await self._callers.start(settings.host, settings.callers_port, listener)
        await self._exposition.start(settings.host, settings.metrics_port)
        self._ticker = asyncio.get_running_loop().create_task(self._tick())
        self._log.record("started", pid=os.getpid())

    async def drain(self) -> None:
        """Take no new callers, and finish what is in progress within the grace."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        self._leaving = True
        self._callers.leave()
        self._log.record("stopping", in_progress=self._callers.busy)
        last_s = began_s + self._settings.grace_s - _END_MARGIN_S
        listen_s = min(last_s, began_s + self._settings.listen_on_s)
        while loop.time() < listen_s:
            await asyncio.sleep(_POLL_S)
        # What came later could not end within the grace.
        self._callers.stop_listening()
        while self._callers.busy and loop.time() < last_s:
            await asyncio.sleep(_POLL_S)

    async def close(self) -> None:
        """End everything at once."""
        self._log.record("stopped", in_progress=self._callers.busy)
        for server in (self._callers, self._readiness, self._exposition):
            await server.close()
        if self._ticker is not None:
            self._ticker.cancel()
        for follower in self._followers:
            await follower.close()
        await self._registry.close()
        await self._peers.close()
        await self._tables.close()
        self._dispatcher.pump.close()
        self._state.close()
        await self._boundary.close()

    def reload(self, policy: DispatchPolicy) -> None:
        """Take new bounds; requests in progress keep theirs."""
        self._state.policy = policy
        self._log.record("reloaded", configuration=self._state.replica.version)

    def _make_followers(self) -> list[TableFollower]:
        settings = self._settings
        boundary = self._boundary
        return [
            TableFollower(
                "operators",
                boundary.operators_feed,
                settings.operators,
                self._replace_operator_rows,
                self._change_operator_rows,
                self._clock,
                self._log,
                others=self._tables,
            ),
            TableFollower(
                "servers",
                boundary.servers_feed,
                settings.servers,
                self._replace_servers,
                self._change_servers,
                self._clock,
                self._log,
                lambda: self._state.directory.store_regained(self._clock.elapsed_s()),
                self._tables,
            ),
        ]

    async def _serve(self, request: CallerRequest, responder: Responder) -> None:
        try:
            call = self._boundary.decode_call(request)
        except HoistError as error:
            self._metrics.answered(error.kind.value, 0.0)
            self._log.record("refused", reason=error.message, field=error.field)
            answer_error(responder, "", error)
            return
        await self._wait_until_known(call)
        await self._dispatcher.handle(call, responder)

    async def _wait_until_known(self, call: Call) -> None:
        """Hold a request until the store has been read for the first time."""
        if self._known.is_set():
            return
        patience_s = call.patience_s or 0.0
        until_s = call.received_s + _HOLD_RATIO * patience_s
        try:
            async with asyncio.timeout_at(max(self._hold_until_s, until_s)):
                await self._known.wait()
        except TimeoutError:
            self._log.record("serving_without_store", call.id)

    def _note_known(self) -> None:
        if self._state.replica.current is not None and self._state.directory.known:
            self._known.set()

    def _refused(self, status: int) -> None:
        self._metrics.answered(f"unreadable_{status}", 0.0)
        self._log.record("refused_unreadable", status=status)

    async def _say_ready(self, request: CallerRequest, responder: Responder) -> None:
        responder.whole(200 if self.ready else 503, [], b"")

    async def _say_metrics(self, request: CallerRequest, responder: Responder) -> None:
        responder.whole(
            200,
            [(b"Content-Type", b"text/plain; version=0.0.4")],
            self._metrics.exposition(),
        )

    def _replace_operator_rows(self, rows: list[FeedRow]) -> None:
        self._operator_rows = {row.key: row for row in rows if row.value is not None}
        self._take_operator_view()

    def _change_operator_rows(self, rows: list[FeedRow]) -> None:
        if not rows:
            return
        for row in rows:
            if row.value is None:
                self._operator_rows.pop(row.key, None)
            else:
                self._operator_rows[row.key] = row
        self._take_operator_view()

    def _take_operator_view(self) -> None:
        view = self._boundary.decode_operators(self._operator_rows)
        before = self._state.replica.version
        if view.configuration is not None and self._state.replica.take_newer(
            view.configuration
        ):
            self._log.record(
                "configuration_taken", version=view.configuration.version, before=before
            )
        self._note_known()
        if view.zones_out != self._state.directory.zones_out:
            self._state.directory.take_zones_out(view.zones_out)
            self._log.record("zones_out", zones=sorted(view.zones_out))

    def _replace_servers(self, rows: list[FeedRow]) -> None:
        now_s = self._clock.elapsed_s()
        listings = self._boundary.decode_servers(rows, now_s)
        self._state.directory.replace(listings, now_s)
        self._note_known()
        self._servers_changed()

    def _change_servers(self, rows: list[FeedRow]) -> None:
        now_s = self._clock.elapsed_s()
        listings = self._boundary.decode_servers(rows, now_s)
        self._state.directory.change(listings, now_s)
        if rows:
            self._servers_changed()

    def _servers_changed(self) -> None:
        self._state.servers_changed()
        self._dispatcher.pump.wake()

    async def _tick(self) -> None:
        """Age what nobody tells the end of."""
        while True:
            await asyncio.sleep(_TICK_S)
            now_s = self._clock.elapsed_s()
            self._state.ledger.expire(now_s)
            self._peers.tick(now_s)
            self._state.live_entries = 1 + self._peers.live_count
            self._state.entries_known(1 + len(self._peers.peers))
            self._metrics.beliefs(
                self._state.replica.version,
                len(self._state.directory.servers),
                self._log.dropped,
            )
