"""HTTP client of one plain service."""

from __future__ import annotations

import aiohttp

from gentianhoist.calls import NotSent
from gentianhoist.wire import CallOutcome, CallRequest

_CONNECT_TIMEOUT_S = 1.0
_PROBE_TIMEOUT_S = 2.0


class ServiceClient:
    """Client that sends calls to one plain service and probes its health.

    Args:
        url: Base URL of the service.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Create the HTTP session; needed before any other call."""
        # A kept-alive connection may have died unnoticed, and a call that was written
        # to it can't be told from one that ran. So each call opens a connection of its
        # own, and is known not to have been sent if that fails.
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT_S)
        self._session = aiohttp.ClientSession(connector=connector, timeout=timeout)

    async def close(self) -> None:
        """Close the HTTP session and its connections."""
        if self._session is not None:
            await self._session.close()

    async def probe(self) -> str:
        """Check the health of the service.

        Returns:
            The reason why the service is unhealthy, empty if it is healthy.
        """
        assert self._session is not None, "start() must be called first"
        timeout = aiohttp.ClientTimeout(total=_PROBE_TIMEOUT_S)
        try:
            async with self._session.get(
                f"{self._url}/health", timeout=timeout
            ) as response:
                return "" if response.status == 200 else f"HTTP {response.status}"
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return f"{type(error).__name__} {error}"

    async def is_down(self) -> bool:
        """Whether nothing listens at the service's address any more."""
        assert self._session is not None, "start() must be called first"
        timeout = aiohttp.ClientTimeout(total=_PROBE_TIMEOUT_S)
        try:
            async with self._session.get(f"{self._url}/health", timeout=timeout):
                return False
        except aiohttp.ClientConnectorError as error:
            return isinstance(error.os_error, ConnectionRefusedError)
        except (TimeoutError, aiohttp.ClientError, OSError):
            # It may be cut off, or busy.
            return False

    async def send(self, request: CallRequest) -> CallOutcome:
        """Send a call and wait for the response; see `CallSender.send`."""
        assert self._session is not None, "start() must be called first"
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
