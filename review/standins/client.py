"""Stand-in of a client."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Any, NamedTuple

from standins.http import Message, encode, read_message
from standins.record import Record

__all__ = ["HOST", "KEY", "Answer", "Client", "call", "is_ready", "new_id"]

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
# Clients allow a new connection one second.
_CONNECT_TIMEOUT_S = 1.0
_numbers = itertools.count(1)


class Answer(NamedTuple):
    """What came of a request.

    Attributes:
        id: Value of Attempt-Id.
        sent_s: Time on the event loop's clock when it was sent.
        ended_s: Time when the answer was complete, or the client gave up.
        message: The answer, None if there is none.
        fault: Why there is none, empty if there is one.
    """

    id: str
    sent_s: float
    ended_s: float
    message: Message | None
    fault: str = ""

    @property
    def status(self) -> int:
        """Status code, 0 without an answer."""
        return 0 if self.message is None else self.message.status


def new_id() -> str:
    """Return a new Attempt-Id."""
    return f"{next(_numbers):016x}"


class Client:
    """A client that keeps its connection for many requests.

    Args:
        choose: Returns the address of the entry for a new connection.
        record: Receives what was sent and answered.
    """

    def __init__(self, choose: Callable[[], tuple[str, int]], record: Record) -> None:
        self._choose = choose
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._address = ("", 0)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def call(
        self,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"",
        deadline_ms: int = 600,
        patience_s: float | None = None,
        headers: list[tuple[str, str]] | None = None,
    ) -> Answer:
        """Send a request and wait for the whole answer.

        Args:
            path: Path of the request.
            method: Method of the request.
            body: Body of the request.
            deadline_ms: Value of Deadline-Ms.
            patience_s: Seconds that the client waits, by default as the deadline says.
            headers: Headers in addition to those that each request has.
        """
        id_ = new_id()
        sent_headers = [
            ("Host", HOST),
            ("Attempt-Id", id_),
            ("Deadline-Ms", str(deadline_ms)),
            ("Key", KEY),
            *(headers or []),
        ]
        data = encode(f"{method} {path} HTTP/1.1", sent_headers, body)
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        message, fault = None, ""
        try:
            async with asyncio.timeout(patience_s or deadline_ms / 1000):
                if self._writer is None:
                    await self._connect()
                assert self._reader is not None and self._writer is not None
                self._record.write(
                    f"send {id_} to {self._address[0]}: {method} {path}, body of"
                    f" {len(body)} bytes"
                )
                self._writer.write(data)
                message = await read_message(self._reader, is_response=True)
            if message is None:
                fault = "closed without an answer"
            elif not message.whole:
                fault = "cut inside the answer"
        except TimeoutError:
            fault = "no answer in time"
        except OSError as error:
            fault = repr(error)
        if fault or message is None or message.get("Connection") == "close":
            self.close()
        answer = Answer(id_, sent_s, loop.time(), message, fault)
        size = 0 if message is None else len(message.body)
        self._record.write(
            f"answer {id_}: {answer.status} {fault or 'whole'}, body of {size} bytes,"
            f" after {answer.ended_s - sent_s:.3f} s"
        )
        return answer

    async def _connect(self) -> None:
        self._address = self._choose()
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            self._reader, self._writer = await asyncio.open_connection(*self._address)


async def call(
    address: tuple[str, int], record: Record, path: str, **options: Any
) -> Answer:
    """Send one request on a connection of its own; see `Client.call`."""
    client = Client(lambda: address, record)
    try:
        return await client.call(path, **options)
    finally:
        client.close()


async def is_ready(address: tuple[str, int], timeout_s: float = 1.0) -> bool:
    """Ask an entry whether it is ready, as the platform does."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(encode("GET /api/readyz HTTP/1.1", [("Host", "x")], b""))
                message = await read_message(reader, is_response=True)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return False
    return message is not None and message.status == 200
