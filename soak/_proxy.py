"""A loopback proxy whose connections can be delayed, reset, cut one way or silenced."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

__all__ = ["FaultyProxy", "LinkFaults"]

_CHUNK_BYTES = 65_536


@dataclass
class LinkFaults:
    """Faults of a link.

    Attributes:
        delay_s: Seconds before each piece goes on.
        silent: Whether nothing goes on in either direction.
        one_way: Whether what the server says is lost.
        refuse: Whether new connections are closed at once.
    """

    delay_s: float = 0.0
    silent: bool = False
    one_way: bool = False
    refuse: bool = False


class FaultyProxy:
    """Forwards to one port.

    Args:
        target_port: The port behind it.
    """

    def __init__(self, target_port: int) -> None:
        self.faults = LinkFaults()
        self.port = 0
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Listen; returns the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    async def close(self) -> None:
        """Stop, and end every connection."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()
        for task in self._tasks:
            task.cancel()

    def reset_connections(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.refuse:
            writer.transport.abort()
            return
        try:
            onward = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, onward[1]}
        pumps = [
            asyncio.ensure_future(self._pump(reader, onward[1], answers=False)),
            asyncio.ensure_future(self._pump(onward[0], writer, answers=True)),
        ]
        self._tasks.update(pumps)
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for end in (writer, onward[1]):
            end.close()
            self._writers.discard(end)
        for pump in pumps:
            pump.cancel()
            self._tasks.discard(pump)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                await asyncio.sleep(self.faults.delay_s)
                if self.faults.silent or (self.faults.one_way and answers):
                    # A link that has lost track of a connection never finds it again.
                    await asyncio.sleep(3600.0)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            return
