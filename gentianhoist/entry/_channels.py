"""Pool of gRPC channels for streams and calls, separate from the heartbeats' channel.

An HTTP/2 connection carries a limited number of concurrent streams. Further streams
queue, and a heartbeat that is queued among them would time out as if the connection
were unresponsive.
"""

from __future__ import annotations

import contextlib
from collections.abc import Generator

from grpclib.client import Channel

from gentianhoist.wire import SidecarStub, open_channel

_MAX_STREAMS_PER_CHANNEL = 80
_MAX_IDLE_CHANNELS = 1


class PooledChannel:
    """One channel of a pool, with the number of streams that use it.

    Args:
        channel: The gRPC channel.
    """

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.stub = SidecarStub(channel)
        self.stream_count = 0


class ChannelPool:
    """Opens as many channels to one sidecar as its concurrent streams need.

    Args:
        host: IP address of the sidecar.
        port: gRPC port of the sidecar.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._channels: list[PooledChannel] = []

    def __len__(self) -> int:
        return len(self._channels)

    @contextlib.contextmanager
    def acquire(self) -> Generator[PooledChannel, None, None]:
        """Yield a channel for one stream, opened if all others are full."""
        channel = self._find_or_open_channel()
        channel.stream_count += 1
        try:
            yield channel
        finally:
            channel.stream_count -= 1
            self._close_idle()

    def discard(self, channel: PooledChannel) -> None:
        """Close a channel with an unresponsive connection, and remove it from the pool.

        Args:
            channel: The channel; one that was removed before is ignored.
        """
        if channel in self._channels:
            self._channels.remove(channel)
            channel.channel.close()

    def close(self) -> None:
        """Close all channels."""
        for channel in list(self._channels):
            self.discard(channel)

    def _find_or_open_channel(self) -> PooledChannel:
        for channel in self._channels:
            if channel.stream_count < _MAX_STREAMS_PER_CHANNEL:
                return channel
        channel = PooledChannel(open_channel(self._host, self._port))
        self._channels.append(channel)
        return channel

    def _close_idle(self) -> None:
        idle = [channel for channel in self._channels if not channel.stream_count]
        for channel in idle[_MAX_IDLE_CHANNELS:]:
            self.discard(channel)
