"""Asking an entry's operators' interface."""

from __future__ import annotations

from typing import Any

_TIMEOUT_S = 10.0


class RequestRefused(Exception):
    """The entry refused.

    Args:
        status: HTTP status.
        message: Code and message of the error.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class EntryUnreachable(Exception):
    """The entry does not answer."""


async def send_operator_request(
    entry: str, key: str, method: str, path: str, body: Any
) -> Any:
    """Ask an entry.

    Args:
        entry: Its base URL.
        key: The operator's API key.
        method: HTTP method.
        path: Path under the operators' interface.
        body: JSON body, or nothing.

    Returns:
        The JSON answer.

    Raises:
        RequestRefused: If it answers with an error.
        EntryUnreachable: If it doesn't answer.
    """
    # Imported here, since daemons load the command line without being operators.
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
