"""One request and its whole answer on a pool's connection."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from gentianhoist.http1._pool import ConnectionPool

__all__ = ["BufferedResponse", "exchange"]


class BufferedResponse(NamedTuple):
    """An answer that was read to its end.

    Attributes:
        status: Its status.
        body: Its body.
    """

    status: int
    body: bytes


async def exchange(
    pool: ConnectionPool, request: bytes, head_timeout_s: float, read_timeout_s: float
) -> BufferedResponse:
    """Send a request and read its answer.

    Args:
        pool: Connections to the server.
        request: The bytes to send.
        head_timeout_s: Time until the answer's head must be there.
        read_timeout_s: Longest silence in its body. A large answer takes its time on a
            narrow link; only silence ends it.

    Raises:
        ConnectionFailed: If the connection can't be opened, or breaks.
        TimeoutError: If the answer doesn't come in time.
    """
    lease = await pool.acquire()
    connection = lease.connection
    try:
        connection.send(request)
        async with asyncio.timeout(head_timeout_s):
            head = await connection.read_head()
        parts = []
        while True:
            async with asyncio.timeout(read_timeout_s):
                data = await connection.read_data()
            if not data:
                break
            parts.append(data)
    except BaseException:
        connection.close()
        raise
    finally:
        pool.release(connection)
    return BufferedResponse(head.status, b"".join(parts))
