"""A TCP proxy that can stop forwarding data without closing its connections."""

import asyncio
import contextlib


class BlackholeProxy:
    """Forwards TCP connections to one address.

    Args:
        host: Host to forward to.
        port: Port to forward to.
    """

    def __init__(self, host: str, port: int) -> None:
        self._target = (host, port)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._epoch = 0
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def blackhole_open_connections(self) -> None:
        """Stop forwarding data on the connections open now; new ones work."""
        self._epoch += 1

    async def _accept(self, reader, writer) -> None:
        target_reader, target_writer = await asyncio.open_connection(*self._target)
        for source, sink in ((reader, target_writer), (target_reader, writer)):
            task = asyncio.create_task(self._relay(source, sink, self._epoch))
            self._tasks.add(task)

    async def _relay(self, source, sink, epoch: int) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(65_536):
                if epoch != self._epoch:
                    await asyncio.Event().wait()
                sink.write(data)
                await sink.drain()
            sink.close()
