"""Stand-in of the platform's store: rows, change feeds and transactions."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from standins.http import Message, encode, read_message

__all__ = ["Store"]

_PAGE_ROWS = 500


class _Row(NamedTuple):
    value: str
    version: int


class Store:
    """Keeps rows in memory; nothing is lost, and each call is answered at once.

    Args:
        lease_s: Seconds without a heartbeat after which a server's row is removed.
    """

    def __init__(self, lease_s: float = 3.6) -> None:
        self.port = 0
        self._lease_s = lease_s
        self._rows: dict[tuple[str, str, str], _Row] = {}
        self._changes: list[tuple[int, tuple[str, str, str]]] = []
        self._version = 0
        self._changed = asyncio.Event()
        self._heartbeats: dict[str, float] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        task = asyncio.ensure_future(self._expire())
        self._tasks.add(task)

    def close(self) -> None:
        """Stop listening."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    def put(self, table: str, key: str, value: object) -> float:
        """Write a row, as JSON unless it is bytes; returns the time of writing."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._write((table, "", key), base64.b64encode(data).decode())
        return asyncio.get_running_loop().time()

    def remove(self, table: str, key: str) -> float:
        """Remove a row; returns the time of that."""
        self._drop((table, "", key))
        return asyncio.get_running_loop().time()

    def heartbeat(self, key: str) -> None:
        """Renew the lease of a server's row."""
        self._heartbeats[key] = asyncio.get_running_loop().time()

    def _write(self, where: tuple[str, str, str], value: str) -> None:
        self._version += 1
        self._rows[where] = _Row(value, self._version)
        self._record(where)

    def _drop(self, where: tuple[str, str, str]) -> None:
        if self._rows.pop(where, None) is not None:
            self._version += 1
            self._record(where)

    def _record(self, where: tuple[str, str, str]) -> None:
        self._changes.append((self._version, where))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            now_s = asyncio.get_running_loop().time()
            for key, seen_s in list(self._heartbeats.items()):
                if now_s - seen_s > self._lease_s:
                    del self._heartbeats[key]
                    self._drop(("servers", "", key))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (
                request := await read_message(reader, is_response=False)
            ) is not None:
                status, body = await self._answer(request)
                headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
                data = json.dumps(body).encode()
                writer.write(encode(f"HTTP/1.1 {status} X", headers, data))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict[str, Any]]:
        _, target, _ = request.start.split(" ")
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        match parts.path:
            case "/api/rows-get":
                return self._get(query)
            case "/api/rows-feed":
                return await self._feed(query)
            case "/api/rows-tx":
                return self._transact(json.loads(request.body))
            case "/api/rows-parts":
                found = sorted({w[1] for w in self._rows if w[0] == query["table"]})
                return 200, self._result([]) | {"parts": found}
        return 404, {}

    def _result(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        return {"rows": rows, "ver": self._version, "now_ms": now_ms}

    def _get(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        limit = min(_PAGE_ROWS, int(query.get("limit", _PAGE_ROWS)))
        first, last = query.get("from", ""), query.get("target")
        found = sorted(
            where
            for where in self._rows
            if where[:2] == (query["table"], query.get("part", ""))
            and where[2] >= first
            and (last is None or where[2] < last)
        )
        rows = [self._row(where) for where in found[:limit]]
        return 200, self._result(rows) | {"has_more": len(found) > limit}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        since, table = int(query["since_rev"]), query["table"]
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query.get("wait_ms", 0)) / 1000
        if since > self._version:
            return 410, {}
        while True:
            found = dict.fromkeys(
                where
                for version, where in self._changes
                if version > since and where[0] == table
            )
            left_s = end_s - loop.time()
            if found or left_s <= 0:
                return 200, self._result([self._row(where) for where in found])
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        def place(item: dict[str, Any]) -> tuple[str, str, str]:
            return (item["table"], item.get("part", ""), item["key"])

        for item in body.get("precondition", ()):
            row = self._rows.get(place(item))
            if (row.version if row else 0) != item["ver"]:
                return 412, self._result([self._row(place(item))] if row else [])
        for item in body.get("put_rows", ()):
            self._write(place(item), item["value"])
        for item in body.get("remove", ()):
            self._drop(place(item))
        return 200, self._result([])

    def _row(self, where: tuple[str, str, str]) -> dict[str, Any]:
        table, part, key = where
        row = self._rows.get(where)
        result = {"table": table, "part": part, "key": key}
        if row is None:
            return result | {"deleted": True, "ver": self._version}
        return result | {"value": row.value, "ver": row.version}
