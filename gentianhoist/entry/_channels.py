"""Connections that streams and calls share, apart from the one for heartbeats.

An HTTP/2 connection bears a limited number of streams at once. More of them would wait
for a place, and a heartbeat among them would look like silence.
"""

from __future__ import annotations

import contextlib
from collections.abc import Generator

from grpclib.client import Channel

from gentianhoist.wire import SidecarStub, open_channel

_STREAMS_PER_CHANNEL = 80
_IDLE_CHANNELS = 1


class PooledChannel:
    """One connection of a pool.

    Args:
        channel: The connection.
    """

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.stub = SidecarStub(channel)
        self.stream_count = 0


class ChannelPool:
    """As many connections to one sidecar as its streams need.

    Args:
        host: IP number of the sidecar.
        port: Its gRPC port.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._lines: list[PooledChannel] = []

    def __len__(self) -> int:
        return len(self._lines)

    @contextlib.contextmanager
    def acquire(self) -> Generator[PooledChannel, None, None]:
        """A connection with a place for one stream."""
        line = self._with_place()
        line.stream_count += 1
        try:
            yield line
        finally:
            line.stream_count -= 1
            self._close_idle()

    def discard(self, line: PooledChannel) -> None:
        """Give a connection up that has gone silent."""
        if line in self._lines:
            self._lines.remove(line)
            line.channel.close()

    def close(self) -> None:
        """Close all connections."""
        for line in list(self._lines):
            self.discard(line)

    def _with_place(self) -> PooledChannel:
        for line in self._lines:
            if line.stream_count < _STREAMS_PER_CHANNEL:
                return line
        line = PooledChannel(open_channel(self._host, self._port))
        self._lines.append(line)
        return line

    def _close_idle(self) -> None:
        idle = [line for line in self._lines if not line.stream_count]
        for line in idle[_IDLE_CHANNELS:]:
            self.discard(line)
