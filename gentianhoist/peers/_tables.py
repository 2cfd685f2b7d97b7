"""Tables that entries pass on to one that the store turns away."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Sequence

import msgspec

from gentianhoist.fleet import FeedPage, TableCopy
from gentianhoist.http1 import (
    CallerRequest,
    ConnectionFailed,
    ConnectionPool,
    HttpServer,
    PoolLimits,
    Responder,
    encode_request,
    exchange,
)

__all__ = ["PeerTableExchange"]

_log = logging.getLogger(__name__)

_OK = 200
_NOTHING_NEWER = 204
_UNKNOWN = 404
_LIMITS = PoolLimits(
    open_connections=4, connect_timeout_s=0.3, silence_s=1.0, idle_s=8.0
)
_ANSWER_S = 0.3
_PROGRESS_S = 0.5
# Connections to entries are kept for this many of them.
_MAX_POOLS = 16


class PeerTableExchange:
    """Serves this entry's tables to the others, and asks them for theirs.

    Args:
        host: This entry's IP number.
        port: The port that all entries use.
        live: IP numbers of the entries heard of lately.
    """

    def __init__(self, host: str, port: int, live: Callable[[], Sequence[str]]) -> None:
        self._host = host
        self._port = port
        self._live = live
        self._copies: dict[str, TableCopy] = {}
        self._pools: dict[str, ConnectionPool] = {}
        self._server = HttpServer(self._serve)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(FeedPage)

    async def start(self) -> None:
        """Listen to the other entries."""
        await self._server.start(self._host, self._port)

    async def close(self) -> None:
        """Close all connections."""
        await self._server.close()
        for pool in self._pools.values():
            pool.close()

    def publish(self, table: str, copy: TableCopy) -> None:
        """Pass a table on to entries that ask for it."""
        self._copies[table] = copy

    async def newer(self, table: str, than: int) -> FeedPage | None:
        """Ask one of the entries heard of lately for a table.

        Args:
            table: The table's name.
            than: The version that this entry has.

        Returns:
            The whole table, or nothing if that one has no newer version or wasn't
            reached.
        """
        hosts = self._live()
        if not hosts:
            return None
        host = random.choice(hosts)
        target = b"/tables/%b?than=%d" % (table.encode(), than)
        request = encode_request(b"GET", target, [(b"Host", host.encode())], b"")
        try:
            answer = await exchange(self._pool(host), request, _ANSWER_S, _PROGRESS_S)
        except (ConnectionFailed, TimeoutError) as error:
            _log.info("entry not reached", extra={"host": host, "cause": repr(error)})
            return None
        if answer.status != _OK:
            return None
        try:
            return self._decoder.decode(answer.body)
        except msgspec.MsgspecError as error:
            _log.warning("unreadable table", extra={"host": host, "cause": str(error)})
            return None

    def _pool(self, host: str) -> ConnectionPool:
        pool = self._pools.get(host)
        if pool is None:
            if len(self._pools) >= _MAX_POOLS:
                self._pools.pop(next(iter(self._pools))).close()
            pool = self._pools[host] = ConnectionPool(host, self._port, _LIMITS)
        return pool

    async def _serve(self, request: CallerRequest, responder: Responder) -> None:
        path, _, query = request.target.partition(b"?")
        copy = self._copies.get(path.removeprefix(b"/tables/").decode("latin-1"))
        than = query.removeprefix(b"than=")
        if copy is None or not than.isdigit():
            responder.whole(_UNKNOWN, [], b"")
        elif copy.version <= int(than):
            responder.whole(_NOTHING_NEWER, [], b"")
        else:
            responder.whole(_OK, [], self._encoder.encode(copy.page()))
