"""Exchange of table copies between entries, for what the store doesn't tell them."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Sequence

import msgspec

from gentianhoist.clocks import Clock
from gentianhoist.exceptions import DECODE_ERRORS
from gentianhoist.fleet import FeedPage, TableCopy, TableState
from gentianhoist.http1 import (
    NO_BODY_LIMITS,
    CallerRequest,
    ConnectionFailed,
    ConnectionPool,
    HttpServer,
    PoolLimits,
    Responder,
    encode_request,
    exchange,
)
from gentianhoist.store import StoreVersion

__all__ = ["PeerTableExchange"]

_log = logging.getLogger(__name__)

_OK = 200
_NO_CONTENT = 204
_NOT_FOUND = 404
_POOL_LIMITS = PoolLimits(
    max_connections=4,
    connect_timeout_s=0.3,
    unacknowledged_timeout_s=1.0,
    default_keep_alive_s=8.0,
)
_RESPONSE_TIMEOUT_S = 0.3
_READ_TIMEOUT_S = 0.5
# For tables that are newer than that of the entry that asks, and for what is known
# against the store.
_NEWER_PATH = b"/tables/"
_KNOWN_PATH = b"/known/"
# Entries that are asked at once what they know.
_MAX_ASKED = 8
# Connection pools are kept for at most this many entries.
_MAX_POOLS = 16
# Of a version in a request, both numbers together.
_MAX_VERSION_DIGITS = 64


class PeerTableExchange:
    """Serves this entry's table copies to other entries, and fetches theirs.

    Args:
        host: IP address of this entry.
        port: Port of the table exchange, the same on all entries.
        list_live_hosts: Returns the IP addresses of the live entries.
        clock: Clock of this entry.
    """

    def __init__(
        self,
        host: str,
        port: int,
        list_live_hosts: Callable[[], Sequence[str]],
        clock: Clock,
    ) -> None:
        self._host = host
        self._port = port
        self._list_live_hosts = list_live_hosts
        self._clock = clock
        self._copies: dict[str, TableCopy] = {}
        self._pools: dict[str, ConnectionPool] = {}
        self._server = HttpServer(self._serve, lambda: NO_BODY_LIMITS)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(TableState)

    async def start(self) -> None:
        """Start to listen for requests of other entries."""
        await self._server.start(self._host, self._port)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self._server.close()
        for pool in self._pools.values():
            pool.close()

    def publish(self, table: str, copy: TableCopy) -> None:
        """Make a table available to other entries.

        Args:
            table: Name of the table.
            copy: Copy of the table; later changes to it are served too.
        """
        self._copies[table] = copy

    async def fetch_newer(self, table: str, than: StoreVersion) -> TableState | None:
        """Fetch a newer copy of a table from one live entry, chosen at random.

        Args:
            table: Name of the table.
            than: Version that this entry has.

        Returns:
            What it knows of the table, or `None` if no entry is live, or the chosen
            entry has no newer version, was not reached or sent an invalid response.
        """
        hosts = self._list_live_hosts()
        if not hosts:
            return None
        return await self._fetch(random.choice(hosts), _NEWER_PATH, table, than)

    async def fetch_known(self, table: str, version: StoreVersion) -> list[TableState]:
        """Fetch what some live entries know against the restored store.

        Args:
            table: Name of the table.
            version: Version that this entry has.

        Returns:
            The responses of the entries that were reached.
        """
        hosts = list(self._list_live_hosts())
        hosts = random.sample(hosts, min(len(hosts), _MAX_ASKED))
        states = await asyncio.gather(
            *(self._fetch(host, _KNOWN_PATH, table, version) for host in hosts)
        )
        return [state for state in states if state is not None]

    async def _fetch(
        self, host: str, path: bytes, table: str, version: StoreVersion
    ) -> TableState | None:
        target = b"%b%b?than=%d.%d" % (path, table.encode(), *version)
        request = encode_request(b"GET", target, [(b"Host", host.encode())], b"")
        try:
            response = await exchange(
                self._pool(host), request, _RESPONSE_TIMEOUT_S, _READ_TIMEOUT_S
            )
        except (ConnectionFailed, TimeoutError) as error:
            _log.info(
                "table not fetched: entry not reached",
                extra={"host": host, "cause": repr(error)},
            )
            return None
        if response.status != _OK:
            return None
        try:
            return self._decoder.decode(response.body)
        except DECODE_ERRORS as error:
            _log.warning(
                "table response of entry could not be decoded",
                extra={"host": host, "cause": str(error)},
            )
            return None

    def _pool(self, host: str) -> ConnectionPool:
        pool = self._pools.get(host)
        if pool is None:
            if len(self._pools) >= _MAX_POOLS:
                self._pools.pop(next(iter(self._pools))).close()
            pool = self._pools[host] = ConnectionPool(host, self._port, _POOL_LIMITS)
        return pool

    async def _serve(self, request: CallerRequest, responder: Responder) -> None:
        path, _, query = request.target.partition(b"?")
        prefix, _, table = path.rpartition(b"/")
        copy = self._copies.get(table.decode("latin-1"))
        than = _parse_version(query.removeprefix(b"than="))
        if copy is None or than is None:
            responder.send_response(_NOT_FOUND, [], b"")
            return
        if prefix + b"/" == _KNOWN_PATH:
            state = self._known(copy, than)
        elif copy.version > than:
            state = copy.state(self._clock.monotonic_s())._replace(deleted=[])
        else:
            responder.send_response(_NO_CONTENT, [], b"")
            return
        responder.send_response(_OK, [], self._encoder.encode(state))

    def _known(self, copy: TableCopy, version: StoreVersion) -> TableState:
        """Return what an entry that has a version may lack of a restored store."""
        state = copy.state(self._clock.monotonic_s())
        if copy.version.history < version.history:
            return state
        return TableState(FeedPage([], copy.version), state.kept)


def _parse_version(text: bytes) -> StoreVersion | None:
    """Parse `HISTORY.NUMBER`; returns None if it is something else."""
    history, _, number = text.partition(b".")
    if not history.isdigit() or not number.isdigit():
        return None
    if len(text) > _MAX_VERSION_DIGITS:
        return None
    return StoreVersion(int(history), int(number))
