"""Sends one request on a pooled connection and buffers the response."""

from __future__ import annotations

import asyncio
import logging
from functools import partial
from typing import NamedTuple

from gentianhoist.http1._client import ConnectionFailed
from gentianhoist.http1._pool import ConnectionPool
from gentianhoist.http1._responses import (
    Attribute,
    DroppedResponse,
    ResponseHead,
    attribute_in_order,
)

__all__ = ["BufferedResponse", "exchange"]

_log = logging.getLogger(__name__)

# A body is decoded in one go.
_MAX_BODY_BYTES = 8 * 1024 * 1024


class BufferedResponse(NamedTuple):
    """A response with its complete body.

    Attributes:
        head: Status and headers.
        body: The body without its framing.
    """

    head: ResponseHead
    body: bytes

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self.head.status


async def exchange(
    pool: ConnectionPool,
    request: bytes,
    head_timeout_s: float,
    read_timeout_s: float,
    max_body_bytes: int = _MAX_BODY_BYTES,
    attribute: Attribute = attribute_in_order,
) -> BufferedResponse:
    """Send a request and read its complete response.

    Args:
        pool: Connections to the server.
        request: The encoded request.
        head_timeout_s: Seconds until the response head must have arrived; opening a
            connection isn't included.
        read_timeout_s: Maximum seconds between two parts of the body. There is no limit
            on the whole body, since a large response takes long on a slow link.
        max_body_bytes: Maximum size of the body.
        attribute: Tells whether a response head is one to the request.

    Raises:
        ConnectionFailed: If no connection can be opened, it fails, or the body exceeds
            the limit.
        TimeoutError: If a part of the response doesn't arrive in time.
    """
    acquired = await pool.acquire()
    connection = acquired.connection
    try:
        connection.send(
            request,
            attribute=attribute,
            on_dropped=partial(_log_dropped, pool.address),
        )
        async with asyncio.timeout(head_timeout_s):
            head = await connection.read_head()
        body_parts = []
        body_bytes = 0
        while True:
            async with asyncio.timeout(read_timeout_s):
                data = await connection.read_data()
            if not data:
                break
            body_parts.append(data)
            body_bytes += len(data)
            if body_bytes > max_body_bytes:
                raise ConnectionFailed("the body exceeds the size limit", sent=True)
    except BaseException:
        connection.close()
        raise
    finally:
        pool.release(connection)
    return BufferedResponse(head, b"".join(body_parts))


def _log_dropped(address: str, dropped: DroppedResponse) -> None:
    _log.warning(
        "response dropped",
        extra={
            "address": address,
            "position": dropped.position.name.lower(),
            "status": dropped.head.status,
        },
    )
