"""A TCP relay that can lose track of the connections that are open."""

import asyncio
import contextlib


class BlackholeProxy:
    """Relays to one address until it is told to fall silent.

    Args:
        host: Where to relay to.
        port: Where to relay to.
    """

    def __init__(self, host: str, port: int) -> None:
        self._target = (host, port)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._generation = 0
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def blackhole_open_connections(self) -> None:
        """Relay nothing more on connections that are open now; new ones work."""
        self._generation += 1

    async def _accept(self, reader, writer) -> None:
        far_reader, far_writer = await asyncio.open_connection(*self._target)
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(self._relay(source, sink, self._generation))
            self._tasks.add(task)

    async def _relay(self, source, sink, generation: int) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(65_536):
                if generation != self._generation:
                    await asyncio.Event().wait()
                sink.write(data)
                await sink.drain()
            sink.close()
