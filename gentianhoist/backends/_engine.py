"""Client of one model engine's HTTP protocol."""

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

_ORDER_TIMEOUT_S = 2.0
_CONNECT_TIMEOUT_S = 1.0
_NOT_FOUND = 404
_CONFLICT = 409


class _Line(msgspec.Struct):
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
    """Talks to one engine.

    Args:
        url: Its base URL.
        read_timeout_s: Seconds after which an open stream counts as silent.
        on_boot_id: Told the boot id that each answer carries.
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
        """Open the client."""
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(connector=connector)

    async def close(self) -> None:
        """Close the client's connections."""
        if self._session is not None:
            await self._session.close()

    def open_stream(self, request: StreamRequest) -> EngineStream:
        """Start a stream and read it.

        Raises:
            EngineRefused: If the engine doesn't take it.
            EngineConnectionError: If the connection breaks or falls silent.
        """
        return self._read("POST", "/v1/streams", msgspec.json.encode(request))

    def resume_stream(self, stream_id: str, offset: int) -> EngineStream:
        """Read a running stream from an offset on. Raises as `open_stream` does."""
        return self._read("GET", f"/v1/streams/{stream_id}?from={offset}", None)

    async def cancel_stream(self, stream_id: str) -> None:
        """Free a stream.

        Raises:
            EngineConnectionError: If there is no answer.
        """
        await self._ask("DELETE", f"/v1/streams/{stream_id}")

    async def send_order(self, order: str, target: str, fencing: int) -> None:
        """Give an order.

        Raises:
            EngineRefused: If the engine refuses the fencing number.
            EngineConnectionError: If no answer came; the order may have run.
        """
        body = msgspec.json.encode({
            "order": order,
            "target": target,
            "fencing": fencing,
        })
        await self._ask("POST", "/v1/orders", body)

    async def export_kv(self, stream_id: str) -> bytes:
        """The memory that a hold has in the engine. Raises as `cancel_stream` does."""
        return await self._ask("GET", f"/v1/streams/{stream_id}/kv")

    async def list_streams(self) -> list[str]:
        """Names of all streams. Raises as `cancel_stream` does."""
        data = await self._ask("GET", "/v1/streams")
        listed = msgspec.json.decode(data, type=_StreamList)
        self._on_boot_id(listed.boot_id)
        return listed.streams

    async def fetch_cache_events(self) -> tuple[list[int], list[int]]:
        """Prefixes newly cached and dropped. Raises as `cancel_stream` does."""
        data = await self._ask("GET", f"/v1/cache-events?after={self._cache_cursor}")
        events = msgspec.json.decode(data, type=_CacheEvents).events
        if events:
            self._cache_cursor = events[-1].cursor
        added = [event.label for event in events if event.added]
        removed = [event.label for event in events if not event.added]
        return added, removed

    def reset_cache_cursor(self) -> None:
        """The engine has a new boot, whose cache events count from 0."""
        self._cache_cursor = 0

    async def _read(self, method: str, path: str, body: bytes | None) -> EngineStream:
        assert self._session is not None, "start() first"
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
                    line = msgspec.json.decode(data, type=_Line)
                    if line.end:
                        yield EngineStreamEnd(line.end, line.count)
                        return
                    yield EngineTokens(line.offset, line.texts)
        except aiohttp.ClientConnectorError as error:
            raise EngineRefused(503, f"not reachable: {error}") from error
        except TimeoutError as error:
            raise EngineReadTimeout(path) from error
        except aiohttp.ClientError as error:
            raise EngineConnectionError(str(error)) from error
        raise EngineConnectionError("the stream broke off")

    async def _ask(self, method: str, path: str, body: bytes | None = None) -> bytes:
        assert self._session is not None, "start() first"
        if self._session.closed:
            raise EngineConnectionError("the client is closed")
        timeout = aiohttp.ClientTimeout(total=_ORDER_TIMEOUT_S)
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
