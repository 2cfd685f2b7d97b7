"""Stand-in for the platform's services.

The protocol:

- ``POST /table/transact``, ``/table/read`` and ``/table/scan`` access the table of
  versioned rows.
- ``GET /instances`` returns the instance list, which lags behind; ``PUT`` sets it.
- ``GET``, ``PUT`` and ``DELETE /objects/{name}`` access the object store.
- ``GET /weights/{model}`` downloads model weights, under a rate limit.
- Responses about the table name its ``history``, which rises when it is restored from a
  copy. Row versions are given out again then, so a check names the history as well.
- ``GET /counts`` returns the number of reads and writes of the table.
"""

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
    NO_HISTORY,
    Check,
    ConditionFailed,
    ListedInstance,
    Put,
    Row,
    StoreVersion,
    Transaction,
    join_version,
    split_version,
)

__all__ = ["PlatformFaults", "PlatformStandin"]

_WEIGHTS_BYTES = 4096


class PlatformFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of the platform.

    Attributes:
        down: Whether every service aborts its connections.
        delay_s: Delay of every response in seconds.
        lose_answers: Number of next table writes that take effect but whose response is
            lost.
        list_lag_s: Seconds after which a new instance list becomes visible.
        weights_per_s: Rate limit of the weight store, in downloads per second.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    list_lag_s: float = 1.0
    weights_per_s: float = 2.0


class _CheckBody(msgspec.Struct):
    key: str
    version: int
    history: int = NO_HISTORY


class _PutBody(msgspec.Struct):
    key: str
    value: str


class _TransactionBody(msgspec.Struct):
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


def _encode_rows(rows: list[Row], history: int) -> dict[str, object]:
    return {
        "history": history,
        "rows": [
            {
                "key": row.key,
                "version": split_version(row.version).number,
                "writer": row.writer,
                "value": base64.b64encode(row.value).decode(),
            }
            for row in rows
        ],
    }


class PlatformStandin(StandinServer[PlatformFaults]):
    """All of the platform's services on one port.

    Args:
        host: IP address to listen on.
        port: TCP port, or 0 for any free port.
        faults: The initial faults.

    Attributes:
        table: Rows of the table service.
        reads: Number of reads and scans of the table.
        writes: Number of transactions on the table.
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
        self._instance_lists: deque[tuple[float, list[ListedInstance]]] = deque([
            (0.0, [])
        ])
        self._weights_available_s = 0.0

    def set_instances(self, instances: list[ListedInstance]) -> None:
        """Set the instance list; clients see it after ``list_lag_s`` seconds."""
        self._instance_lists.append((
            time.monotonic() + self.faults.list_lag_s,
            instances,
        ))

    def _add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_post("/table/transact", self._transact)
        router.add_post("/table/read", self._read)
        router.add_post("/table/scan", self._scan)
        router.add_get("/instances", self._get_instances)
        router.add_put("/instances", self._put_instances)
        router.add_route("*", "/objects/{name}", self._object)
        router.add_get("/weights/{model}", self._weights)
        router.add_get("/counts", self._counts)

    async def _apply_faults(self, request: web.Request) -> None:
        if self.faults.down and request.transport is not None:
            request.transport.abort()
            raise asyncio.CancelledError
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)

    async def _transact(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=_TransactionBody)
        await self._apply_faults(request)
        self.writes += 1
        transaction = Transaction(
            body.transaction_id,
            tuple(
                Check(
                    check.key, join_version(StoreVersion(check.history, check.version))
                )
                for check in body.checks
            ),
            tuple(Put(put.key, base64.b64decode(put.value)) for put in body.puts),
            tuple(body.deletes),
        )
        try:
            self.table.transact(transaction)
        except ConditionFailed as error:
            rows = _encode_rows(list(error.rows), self.table.history)
            return json_response(rows, status=409)
        if self.faults.lose_answers > 0 and request.transport is not None:
            self.faults.lose_answers -= 1
            request.transport.abort()
        return json_response({"history": self.table.history})

    async def _read(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=_ReadBody)
        await self._apply_faults(request)
        self.reads += 1
        return json_response(
            _encode_rows(
                [self.table.get_row(key) for key in body.keys], self.table.history
            )
        )

    async def _scan(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=_ScanBody)
        await self._apply_faults(request)
        self.reads += 1
        rows = self.table.list_rows(body.prefix, body.limit, body.after)
        return json_response(_encode_rows(rows, self.table.history))

    async def _get_instances(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
        now_s = time.monotonic()
        while len(self._instance_lists) > 1 and self._instance_lists[1][0] <= now_s:
            self._instance_lists.popleft()
        return json_response({"instances": self._instance_lists[0][1]})

    async def _put_instances(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=_InstancesBody)
        self.set_instances(body.instances)
        return json_response({})

    async def _object(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
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
        await self._apply_faults(request)
        now_s = time.monotonic()
        if now_s < self._weights_available_s:
            return json_response({"error": "rate limit"}, status=429)
        self._weights_available_s = now_s + 1.0 / self.faults.weights_per_s
        return web.Response(body=bytes(_WEIGHTS_BYTES))
