"""Client of one plain service's HTTP interface."""

from __future__ import annotations

import aiohttp

from gentianhoist.calls import NotSent
from gentianhoist.wire import CallOutcome, CallRequest

_CONNECT_TIMEOUT_S = 1.0
_PROBE_TIMEOUT_S = 2.0


class ServiceClient:
    """Sends calls to one plain service.

    Args:
        url: Its base URL.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the client."""
        # A kept connection may have died unnoticed, and a call that was written to it
        # can't be told from one that ran. So each call has a connection of its own,
        # and "not sent" is known when it can't be opened.
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT_S)
        self._session = aiohttp.ClientSession(connector=connector, timeout=timeout)

    async def close(self) -> None:
        """Close the client's connections."""
        if self._session is not None:
            await self._session.close()

    async def probe(self) -> str:
        """Why the service doesn't answer, empty if it does."""
        assert self._session is not None, "start() first"
        timeout = aiohttp.ClientTimeout(total=_PROBE_TIMEOUT_S)
        try:
            async with self._session.get(
                f"{self._url}/health", timeout=timeout
            ) as response:
                return "" if response.status == 200 else f"HTTP {response.status}"
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return f"{type(error).__name__} {error}"

    async def send(self, request: CallRequest) -> CallOutcome:
        """Send a call; see `CallSender.send`."""
        assert self._session is not None, "start() first"
        headers = {
            "Idempotency-Key": request.idempotency_key,
            "X-Request-Id": request.request_id,
        }
        try:
            async with self._session.post(
                f"{self._url}/operations/{request.operation}",
                data=request.body,
                headers=headers,
                # A redirect that is followed could run the call twice.
                allow_redirects=False,
            ) as response:
                body = await response.read()
                content_type = response.content_type
                return CallOutcome(response.status, content_type, body)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotSent(str(error)) from error
        except (TimeoutError, aiohttp.ClientError) as error:
            raise ConnectionError(str(error)) from error
