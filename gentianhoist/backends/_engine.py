"""HTTP client of one model engine."""

from __future__ import annotations

from collections.abc import Callable

import aiohttp
import msgspec

from gentianhoist.backends.core import (
    EngineConnectionError,
    EngineReadTimeout,
    EngineRefused,
    EngineStream,
    EngineStreamEnd,
    EngineTokens,
    StreamRequest,
)

_REQUEST_TIMEOUT_S = 2.0
_CONNECT_TIMEOUT_S = 1.0
_NOT_FOUND = 404
_CONFLICT = 409


class _StreamLine(msgspec.Struct):
    offset: int = 0
    texts: list[str] = []
    end: str = ""
    count: int = 0


class _StreamList(msgspec.Struct):
    boot_id: str
    streams: list[str]


class _CacheEvent(msgspec.Struct):
    cursor: int
    label: int
    added: bool


class _CacheEvents(msgspec.Struct):
    boot_id: str
    events: list[_CacheEvent]


class EngineClient:
    """Client of one engine's streams, orders and prefix cache events.

    Args:
        url: Base URL of the engine.
        read_timeout_s: Seconds without data after which an open stream fails.
        on_boot_id: Called with the boot id that the engine reports when a stream is
            opened and when the streams are listed; a new one means a restart.
    """

    def __init__(
        self, url: str, read_timeout_s: float, on_boot_id: Callable[[str], None]
    ) -> None:
        self._url = url.rstrip("/")
        self._read_timeout_s = read_timeout_s
        self._on_boot_id = on_boot_id
        self._session: aiohttp.ClientSession | None = None
        self._cache_cursor = 0

    async def start(self) -> None:
        """Create the HTTP session; needed before any other call."""
        # A response names no request, so that a late second one could be taken for that
        # to the next request on its connection.
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        self._session = aiohttp.ClientSession(connector=connector)

    async def close(self) -> None:
        """Close the HTTP session and its connections."""
        if self._session is not None:
            await self._session.close()

    def open_stream(self, request: StreamRequest) -> EngineStream:
        """Start a stream and read it.

        Args:
            request: The stream to start.

        Returns:
            Iterator of the stream's tokens, then of its end.

        Raises:
            EngineRefused: While iterating, if the engine refuses the stream, or the
                connection can't be opened for another reason than a timeout.
            EngineConnectionError: While iterating, if the connection fails after it was
                opened, or if opening it or reading from it times out.
        """
        return self._read("POST", "/v1/streams", msgspec.json.encode(request))

    def resume_stream(self, stream_id: str, offset: int) -> EngineStream:
        """Read a running stream from a token offset on.

        Args:
            stream_id: Identifier of the stream.
            offset: Offset of the first token wanted, from the start of the answer.

        Returns:
            Iterator as of `open_stream`, which raises the same errors.
        """
        return self._read("GET", f"/v1/streams/{stream_id}?from={offset}", None)

    async def cancel_stream(self, stream_id: str) -> None:
        """Cancel a stream and free its KV cache; an unknown stream is no error.

        Args:
            stream_id: Identifier of the stream.

        Raises:
            EngineRefused: If the engine responds with HTTP status 409.
            EngineConnectionError: If the engine does not respond, or responds with
                another error.
        """
        await self._request("DELETE", f"/v1/streams/{stream_id}")

    async def send_order(self, order: str, target: str, fencing: int) -> None:
        """Send an order, such as to load a model.

        Args:
            order: Kind of order.
            target: Model, adapter or role that the order is about.
            fencing: Fencing token of the sender's lease.

        Raises:
            EngineRefused: If the engine rejects the fencing token as outdated.
            EngineConnectionError: If the engine does not respond, or responds with an
                error; it may have executed the order.
        """
        body = msgspec.json.encode({
            "order": order,
            "target": target,
            "fencing": fencing,
        })
        await self._request("POST", "/v1/orders", body)

    async def export_kv(self, stream_id: str) -> bytes:
        """Fetch the KV cache that a stream keeps. Raises as `cancel_stream` does."""
        return await self._request("GET", f"/v1/streams/{stream_id}/kv")

    async def list_streams(self) -> list[str]:
        """List the identifiers of all streams. Raises as `cancel_stream` does."""
        data = await self._request("GET", "/v1/streams")
        listed = msgspec.json.decode(data, type=_StreamList)
        self._on_boot_id(listed.boot_id)
        return listed.streams

    async def fetch_cache_events(self) -> tuple[list[int], list[int]]:
        """Fetch the prefix cache events since the last call.

        Returns:
            Hashes of the prefixes that were cached, and of those that were evicted.

        Raises:
            EngineRefused: If the engine responds with HTTP status 409.
            EngineConnectionError: If the engine does not respond, or responds with
                another error.
        """
        data = await self._request(
            "GET", f"/v1/cache-events?after={self._cache_cursor}"
        )
        events = msgspec.json.decode(data, type=_CacheEvents).events
        if events:
            self._cache_cursor = events[-1].cursor
        added = [event.label for event in events if event.added]
        removed = [event.label for event in events if not event.added]
        return added, removed

    def reset_cache_cursor(self) -> None:
        """Restart the cache events at 0, as the engine does after a restart."""
        self._cache_cursor = 0

    async def _read(self, method: str, path: str, body: bytes | None) -> EngineStream:
        assert self._session is not None, "start() must be called first"
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_TIMEOUT_S, sock_read=self._read_timeout_s
        )
        try:
            async with self._session.request(
                method, self._url + path, data=body, timeout=timeout
            ) as response:
                if response.status != 200:
                    raise EngineRefused(response.status, await response.text())
                self._on_boot_id(response.headers.get("X-Boot-Id", ""))
                async for data in response.content:
                    line = msgspec.json.decode(data, type=_StreamLine)
                    if line.end:
                        yield EngineStreamEnd(line.end, line.count)
                        return
                    yield EngineTokens(line.offset, line.texts)
        except aiohttp.ClientConnectorError as error:
            raise EngineRefused(
                503, f"cannot connect to the engine: {error}"
            ) from error
        except TimeoutError as error:
            raise EngineReadTimeout(path) from error
        except aiohttp.ClientError as error:
            raise EngineConnectionError(str(error)) from error
        raise EngineConnectionError("the stream ended without an end line")

    async def _request(
        self, method: str, path: str, body: bytes | None = None
    ) -> bytes:
        assert self._session is not None, "start() must be called first"
        if self._session.closed:
            raise EngineConnectionError("the engine client is closed")
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
        try:
            async with self._session.request(
                method, self._url + path, data=body, timeout=timeout
            ) as response:
                data = await response.read()
        except (TimeoutError, aiohttp.ClientError) as error:
            raise EngineConnectionError(str(error)) from error
        if response.status == _CONFLICT:
            raise EngineRefused(response.status, data.decode())
        if response.status not in (200, _NOT_FOUND):
            raise EngineConnectionError(f"{path}: HTTP {response.status}")
        return data
