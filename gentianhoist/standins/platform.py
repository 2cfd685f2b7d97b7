"""Stand-in for the platform: table, objects, weights and the instance list."""

from __future__ import annotations

import asyncio
import base64
import time
from collections import deque

import msgspec
from aiohttp import web

from gentianhoist.standins._server import StandinServer, json_response
from gentianhoist.standins._table_model import TableModel
from gentianhoist.store import (
    Check,
    ConditionFailed,
    ListedInstance,
    Put,
    Row,
    Transaction,
)

__all__ = ["PlatformFaults", "PlatformStandin"]

_WEIGHTS_BYTES = 4096


class PlatformFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of the platform.

    Attributes:
        down: Whether every service drops its connections.
        delay_s: Seconds before every answer.
        lose_answers: How many of the next writes take effect without an answer.
        list_lag_s: Seconds by which the instance list lags.
        weights_per_s: Rate limit of the weight store.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    list_lag_s: float = 1.0
    weights_per_s: float = 2.0


class _CheckBody(msgspec.Struct):
    key: str
    version: int


class _PutBody(msgspec.Struct):
    key: str
    value: str


class _WireTransaction(msgspec.Struct):
    transaction_id: str
    checks: list[_CheckBody]
    puts: list[_PutBody]
    deletes: list[str]


class _ReadBody(msgspec.Struct):
    keys: list[str]


class _ScanBody(msgspec.Struct):
    prefix: str
    limit: int
    after: str = ""


class _InstancesBody(msgspec.Struct):
    instances: list[ListedInstance]


def _wire_rows(rows: list[Row]) -> dict[str, list[dict[str, object]]]:
    return {
        "rows": [
            {
                "key": row.key,
                "version": row.version,
                "writer": row.writer,
                "value": base64.b64encode(row.value).decode(),
            }
            for row in rows
        ]
    }


class PlatformStandin(StandinServer[PlatformFaults]):
    """All of the platform's services on one port.

    Args:
        host: IP number to listen on.
        port: TCP port, 0 for any.
        faults: The faults to begin with.
    """

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        faults: PlatformFaults | None = None,
    ) -> None:
        super().__init__(host, port, faults or PlatformFaults())
        self.table = TableModel()
        self.reads = 0
        self.writes = 0
        self._objects: dict[str, bytes] = {}
        self._lists: deque[tuple[float, list[ListedInstance]]] = deque([(0.0, [])])
        self._next_weights_s = 0.0

    def set_instances(self, instances: list[ListedInstance]) -> None:
        """Set the instance list; callers see it after the lag."""
        self._lists.append((time.monotonic() + self.faults.list_lag_s, instances))

    def _add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_post("/table/transact", self._transact)
        router.add_post("/table/read", self._read)
        router.add_post("/table/scan", self._scan)
        router.add_get("/instances", self._get_instances)
        router.add_put("/instances", self._put_instances)
        router.add_route("*", "/objects/{name}", self._object)
        router.add_get("/weights/{model}", self._weights)
        router.add_get("/counts", self._counts)

    async def _obstruct(self, request: web.Request) -> None:
        if self.faults.down and request.transport is not None:
            request.transport.abort()
            raise asyncio.CancelledError
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)

    async def _transact(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=_WireTransaction)
        await self._obstruct(request)
        self.writes += 1
        transaction = Transaction(
            body.transaction_id,
            tuple(Check(check.key, check.version) for check in body.checks),
            tuple(Put(put.key, base64.b64decode(put.value)) for put in body.puts),
            tuple(body.deletes),
        )
        try:
            self.table.transact(transaction)
        except ConditionFailed as error:
            return json_response(_wire_rows(list(error.rows)), status=409)
        if self.faults.lose_answers > 0 and request.transport is not None:
            self.faults.lose_answers -= 1
            request.transport.abort()
        return json_response({})

    async def _read(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=_ReadBody)
        await self._obstruct(request)
        self.reads += 1
        return json_response(_wire_rows([self.table.get_row(key) for key in body.keys]))

    async def _scan(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=_ScanBody)
        await self._obstruct(request)
        self.reads += 1
        rows = self.table.list_rows(body.prefix, body.limit, body.after)
        return json_response(_wire_rows(rows))

    async def _get_instances(self, request: web.Request) -> web.Response:
        await self._obstruct(request)
        now_s = time.monotonic()
        while len(self._lists) > 1 and self._lists[1][0] <= now_s:
            self._lists.popleft()
        return json_response({"instances": self._lists[0][1]})

    async def _put_instances(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=_InstancesBody)
        self.set_instances(body.instances)
        return json_response({})

    async def _object(self, request: web.Request) -> web.Response:
        await self._obstruct(request)
        name = request.match_info["name"]
        if request.method == "PUT":
            self._objects[name] = await request.read()
            return json_response({})
        if request.method == "DELETE":
            self._objects.pop(name, None)
            return json_response({})
        if name not in self._objects:
            return json_response({"error": "no such object"}, status=404)
        return web.Response(body=self._objects[name])

    async def _counts(self, _request: web.Request) -> web.Response:
        return json_response({"reads": self.reads, "writes": self.writes})

    async def _weights(self, request: web.Request) -> web.Response:
        await self._obstruct(request)
        now_s = time.monotonic()
        if now_s < self._next_weights_s:
            return json_response({"error": "rate limit"}, status=429)
        self._next_weights_s = now_s + 1.0 / self.faults.weights_per_s
        return web.Response(body=bytes(_WEIGHTS_BYTES))
