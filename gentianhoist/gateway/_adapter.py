"""What a platform's adapter implements, and the settings that it derives."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple, Protocol

from gentianhoist.backoff import ServerNotice
from gentianhoist.dispatch import (
    Call,
    DispatchPolicy,
    DispatchState,
    KvReservationClient,
    ServerCodec,
)
from gentianhoist.fleet import (
    BackendServer,
    ChangeFeed,
    EntryRows,
    FeedRow,
    FollowPolicy,
    RoutingConfiguration,
    ServerListing,
)
from gentianhoist.http1 import CallerRequest, SocketLimits
from gentianhoist.quarantine import QuarantineRows
from gentianhoist.store import StoreCallCounter

__all__ = ["GatewayAdapter", "GatewaySettings", "OperatorView"]


class GatewaySettings(NamedTuple):
    """Listening addresses, timeouts and policies of an entry.

    Attributes:
        name: Name of the instance.
        availability_zone: Availability zone of the instance.
        host: IP address on which the entry serves callers, peers and metrics.
        callers_port: TCP port for callers.
        readiness_host: IP address of the readiness endpoint.
        readiness_port: TCP port of the readiness endpoint.
        peers_port: Port for messages and table copies between entries.
        metrics_port: TCP port of the metrics endpoint.
        grace_s: Seconds from the stop signal until the platform kills the process.
        operators_feed_policy: Polling intervals and timeouts for the operators' table.
        servers_feed_policy: Polling intervals and timeouts for the server directory.
        dispatch_policy: Retry, queue and placement policy of requests.
        drain_listen_s: Seconds after the stop signal in which new requests are served,
            because the load balancer needs time to notice that the entry drains.
        drain_streams_s: Seconds after the stop signal in which new streams are served.
            Those that arrive later might not end within the grace period.
        server_lease_s: Seconds without a heartbeat after which the store removes the
            row of a backend server.
        memory_limit_bytes: Memory that the process may use, None without a limit.
        socket_limits: Connections that may be open, None without a limit.
    """

    name: str
    availability_zone: str
    host: str
    callers_port: int
    readiness_host: str
    readiness_port: int
    peers_port: int
    metrics_port: int
    grace_s: float
    operators_feed_policy: FollowPolicy
    servers_feed_policy: FollowPolicy
    dispatch_policy: DispatchPolicy
    drain_listen_s: float = 3.2
    drain_streams_s: float = 2.9
    server_lease_s: float = 3.6
    memory_limit_bytes: int | None = None
    socket_limits: SocketLimits | None = None


class OperatorView(NamedTuple):
    """Decoded rows of the operators' table.

    Attributes:
        configuration: The routing configuration, or None if it is absent or invalid.
        zones_out: Availability zones that operators have taken out of service.
    """

    configuration: RoutingConfiguration | None
    zones_out: frozenset[str]


class GatewayAdapter(Protocol):
    """Translation between the product's types and the protocols of a platform.

    Attributes:
        codec: Encoder of requests to backend servers and decoder of their responses.
        operators_feed: Change feed of the operators' table.
        servers_feed: Change feed of the directory of backend servers.
        quarantine_feed: Change feed of the quarantine's records.
        entry_rows: Rows of the store through which entries discover each other.
        quarantine_rows: Rows of the store that hold the quarantine's records.
    """

    codec: ServerCodec
    operators_feed: ChangeFeed
    servers_feed: ChangeFeed
    quarantine_feed: ChangeFeed
    entry_rows: EntryRows
    quarantine_rows: QuarantineRows

    def count_store_calls(self, counter: StoreCallCounter) -> None:
        """Count all further calls to the store with the given counter."""
        ...

    def decode_call(self, request: CallerRequest) -> Call:
        """Decode a caller's request.

        Raises:
            HoistError: If a field is missing or invalid.
        """
        ...

    def decode_operators(self, rows: Mapping[str, FeedRow]) -> OperatorView:
        """Decode all rows of the operators' table, given by key."""
        ...

    def decode_servers(
        self, rows: Iterable[FeedRow], now_s: float
    ) -> list[ServerListing]:
        """Decode rows of the server directory at `now_s` on the entry's clock."""
        ...

    def is_older_operator_row(self, row: FeedRow, known: FeedRow) -> bool:
        """Whether a row of the operators' table was written before another one.

        Args:
            row: Row of a restored store.
            known: Row of the same key that was seen before.

        Returns:
            False if the content doesn't show it.
        """
        ...

    def is_older_server_row(self, row: FeedRow, known: FeedRow) -> bool:
        """Whether a row of the server directory was written before another one."""
        ...

    def create_kv_reservations(
        self,
        state: DispatchState,
        on_notice: Callable[[BackendServer, ServerNotice], None],
    ) -> KvReservationClient:
        """Create the client for KV cache reservations; it shares `state`'s pools.

        Args:
            state: State of the dispatcher.
            on_notice: Called with what an engine's response says about the engine.
        """
        ...

    async def close(self) -> None:
        """Close the connections to the store."""
        ...
