"""HTTP client of the operators' API of an entry."""

from __future__ import annotations

from typing import Any

_TIMEOUT_S = 10.0


class RequestRefused(Exception):
    """The entry responded with an error.

    Args:
        status: HTTP status of the response.
        message: Error code and message in the response.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class EntryUnreachable(Exception):
    """The entry doesn't respond."""


async def send_operator_request(
    entry: str, key: str, method: str, path: str, body: Any
) -> Any:
    """Send a request to the operators' API of an entry.

    Args:
        entry: Base URL of the entry.
        key: API key of the operator.
        method: HTTP method.
        path: Path below ``/operators/v1/``.
        body: Content of the JSON body, or None for no body.

    Returns:
        The decoded JSON response.

    Raises:
        RequestRefused: If the response has a status other than 200.
        EntryUnreachable: If the connection fails or times out after 10 s.
    """
    # Imported here, since entries and sidecars load this module without using it.
    import aiohttp

    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    headers = {"Authorization": f"Bearer {key}"}
    url = f"{entry.rstrip('/')}/operators/v1/{path}"
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, json=body, headers=headers) as response,
        ):
            content = await response.json()
    except (TimeoutError, aiohttp.ClientError) as error:
        raise EntryUnreachable(str(error)) from error
    if response.status != 200:
        error = content["error"]
        raise RequestRefused(response.status, f"{error['code']}: {error['message']}")
    return content
