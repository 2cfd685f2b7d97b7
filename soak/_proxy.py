"""Loopback TCP proxy that delays, drops, refuses or resets connections."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

__all__ = ["FaultyProxy", "LinkFaults"]

_CHUNK_BYTES = 65_536


@dataclass
class LinkFaults:
    """Faults that a proxy injects.

    Attributes:
        delay_s: Seconds before each chunk is forwarded.
        silent: Whether data is dropped in both directions, with connections kept open.
        one_way: Whether data from the server is dropped.
        refuse: Whether new connections are reset immediately.
    """

    delay_s: float = 0.0
    silent: bool = False
    one_way: bool = False
    refuse: bool = False


class FaultyProxy:
    """TCP proxy in front of one loopback port.

    Args:
        target_port: Port that it forwards to.

    Attributes:
        faults: Faults that it injects.
        port: Port that it listens on, known after `start`.
    """

    def __init__(self, target_port: int) -> None:
        self.faults = LinkFaults()
        self.port = 0
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Listen on a free loopback port.

        Returns:
            The port.
        """
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    async def close(self) -> None:
        """Stop listening and reset every connection."""
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
            upstream = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream[1]}
        forward_tasks = [
            asyncio.ensure_future(
                self._forward(reader, upstream[1], from_server=False)
            ),
            asyncio.ensure_future(self._forward(upstream[0], writer, from_server=True)),
        ]
        self._tasks.update(forward_tasks)
        await asyncio.wait(forward_tasks, return_when=asyncio.FIRST_COMPLETED)
        for side in (writer, upstream[1]):
            side.close()
            self._writers.discard(side)
        for task in forward_tasks:
            task.cancel()
            self._tasks.discard(task)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        from_server: bool,
    ) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                await asyncio.sleep(self.faults.delay_s)
                if self.faults.silent or (self.faults.one_way and from_server):
                    # Data was lost: this direction stays stalled after the fault ends.
                    await asyncio.sleep(3600.0)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            return
