"""One request and its whole answer on a pool's connection."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from gentianhoist.http1._pool import ConnectionPool

__all__ = ["WholeAnswer", "exchange"]


class WholeAnswer(NamedTuple):
    """An answer that was read to its end.

    Attributes:
        status: Its status.
        body: Its body.
    """

    status: int
    body: bytes


async def exchange(
    pool: ConnectionPool, request: bytes, timeout_s: float, progress_s: float
) -> WholeAnswer:
    """Send a request and read its answer.

    Args:
        pool: Connections to the server.
        request: The bytes to send.
        timeout_s: Time until the answer's head must be there.
        progress_s: Longest silence in its body. A large answer takes its time on a
            narrow link; only silence ends it.

    Raises:
        ConnectionFailed: If the connection can't be opened, or breaks.
        TimeoutError: If the answer doesn't come in time.
    """
    lease = await pool.acquire()
    connection = lease.connection
    try:
        connection.send(request)
        async with asyncio.timeout(timeout_s):
            head = await connection.read_head()
        parts = []
        while True:
            async with asyncio.timeout(progress_s):
                data = await connection.read_data()
            if not data:
                break
            parts.append(data)
    except BaseException:
        connection.close()
        raise
    finally:
        pool.release(connection)
    return WholeAnswer(head.status, b"".join(parts))
