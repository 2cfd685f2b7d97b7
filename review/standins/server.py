"""Stand-in of a backend server: a model server or a plain service."""

from __future__ import annotations

import asyncio
import json
import time
from typing import NamedTuple

from standins.http import Message, encode, read_message
from standins.record import Record
from standins.store import Store

__all__ = ["Run", "Server"]

_HEARTBEAT_S = 1.2


class Run(NamedTuple):
    """A request that a server has run.

    Attributes:
        id: Value of Attempt-Id.
        request: The request as it was read.
        at_s: Time on the event loop's clock.
    """

    id: str
    request: Message
    at_s: float


class Server:
    """A sound server that registers in the store and renews its row.

    Args:
        id_: Id of the server.
        service: Name of its service.
        zone: Zone that it is in.
        store: Store in which it registers.
        record: Receives what it ran.
        streaming: Whether it answers with a stream of events.
        work_s: Seconds that it works on a request without a stream.
        events: Number of events of a stream.
        event_interval_s: Seconds before each event of a stream.
    """

    def __init__(
        self,
        id_: str,
        service: str,
        zone: str,
        store: Store,
        record: Record,
        *,
        streaming: bool,
        work_s: float = 0.02,
        events: int = 12,
        event_interval_s: float = 0.02,
    ) -> None:
        self.id = id_
        self.port = 0
        self.runs: list[Run] = []
        self.state = "ready"
        self._service = service
        self._zone = zone
        self._store = store
        self._record = record
        self._streaming = streaming
        self._work_s = work_s
        self._events = events
        self._event_interval_s = event_interval_s
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._heartbeat: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """IP address and port."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen, register, and renew the row from then on."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._heartbeat = asyncio.ensure_future(self._renew())

    def close(self) -> None:
        """Stop listening, reset all connections and renew the row no more."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def report(self) -> float:
        """Write the row with the present state; returns the time of writing."""
        self._sequence += 1
        row = {
            "service": self._service,
            "address": self.address,
            "zone": self._zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        self._store.heartbeat(self.id)
        return self._store.put("servers", self.id, row)

    async def _renew(self) -> None:
        self.report()
        while True:
            await asyncio.sleep(_HEARTBEAT_S)
            # The row changes only when more than its sequence changes.
            self._store.heartbeat(self.id)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (
                request := await read_message(reader, is_response=False)
            ) is not None:
                if not request.whole:
                    break
                await self._answer(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        method, target, _ = request.start.split(" ")
        if target == "/api/order":
            body = json.dumps({"free": 100_000}).encode()
            writer.write(encode("HTTP/1.1 200 OK", [], body))
            return
        if target == "/healthz":
            writer.write(encode("HTTP/1.1 200 OK", [("Instance-Id", self.id)], b""))
            return
        id_ = request.get("Attempt-Id") or ""
        headers = [("Attempt-Id", id_), ("Instance-Id", self.id)]
        if self.state == "draining":
            headers.append(("Server-Leaving", "1"))
        if request.get("Expect-Instance") not in {None, self.id}:
            headers.append(("Not-Executed", "1"))
            writer.write(encode("HTTP/1.1 421 Misdirected Request", headers, b""))
            return
        run = Run(id_, request, asyncio.get_running_loop().time())
        self.runs.append(run)
        self._record.write(
            f"run {id_} at {self.id}: {method} {target}, body of"
            f" {len(request.body)} bytes"
        )
        headers.append(("Server-Seal", f"seal.{self.id}.{len(self.runs)}"))
        await self.run(run, headers, writer)

    async def run(
        self, run: Run, headers: list[tuple[str, str]], writer: asyncio.StreamWriter
    ) -> None:
        """Work on a request and write the answer."""
        if not self._streaming:
            await asyncio.sleep(self._work_s)
            body = b"done " + run.id.encode()
            writer.write(encode("HTTP/1.1 200 OK", headers, body))
            return
        first = int(run.request.get("Last-Event-Id") or 0) + 1
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers)]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(first, self._events + 1):
            await self.before_event(run, number)
            event = b"id: %d\ndata: %b %d\n\n" % (number, run.id.encode(), number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    async def before_event(self, run: Run, number: int) -> None:
        """Wait until an event of a stream is made."""
        await asyncio.sleep(self._event_interval_s)
