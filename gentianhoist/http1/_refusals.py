"""Responses and records of requests that a server refuses before it has them whole."""

from __future__ import annotations

from gentianhoist.http1._connection_server import ConnectionServer
from gentianhoist.http1._memory_monitor import CutRecord
from gentianhoist.http1._receive_budget import CutReason, Pool
from gentianhoist.http1._responder import CallerConnection, Responder
from gentianhoist.http1.core import Headers

__all__ = ["Refusals"]

_UNAVAILABLE = 503
_RETRY_AFTER_S = 1.0


class Refusals:
    """Refuses requests of one server; they haven't run.

    Args:
        server: The server.
    """

    def __init__(self, server: ConnectionServer) -> None:
        self._server = server

    def send(self, connection: CallerConnection, status: int, cause: str = "") -> None:
        """Write a response without a body, after which the connection closes.

        Args:
            connection: The caller's connection.
            status: HTTP status code.
            cause: What the parser says of the request, if it can't be parsed.
        """
        self._server.on_refused(status, cause)
        headers: Headers = []
        if status == _UNAVAILABLE:
            headers.append((b"Retry-After", b"%.3f" % self._retry_after_s()))
        responder = Responder(connection, keep_alive=False, head_only=False)
        responder.send_response(status, headers, b"")

    def record_cut(self, reason: CutReason, pool: Pool, held_bytes: int) -> None:
        """Report a request or connection that is given up.

        Args:
            reason: Why it is given up.
            pool: Pool of its bytes.
            held_bytes: Bytes that it holds.
        """
        memory = self._server.memory
        waiting = 0 if memory is None else memory.budget.waiting
        self._server.on_cut(CutRecord(pool, reason, held_bytes, waiting))

    def _retry_after_s(self) -> float:
        if self._server.memory is None:
            return _RETRY_AFTER_S
        return self._server.memory.retry_after_s()
