"""Backend server that responds before it has read the request, on plain sockets."""

from __future__ import annotations

import re
import socket
import struct
import threading
import time
from collections import Counter
from enum import Enum

__all__ = ["EarlyServer", "Ending"]

# Small, so that most of a large upload waits at the entry.
_RECEIVE_BUFFER_BYTES = 4 * 1024
_MAX_HEAD_BYTES = 64 * 1024
_NO_LINGER = struct.pack("ii", 1, 0)
_ACCEPT_TIMEOUT_S = 0.05
_RESET_DELAY_S = 0.02


class Ending(Enum):
    """How the server ends the connection after its response.

    RESET: It resets the connection.
    UNREAD: It closes it with unread bytes of the request, which resets it.
    END_FIRST: It ends its side and resets the connection soon after. The same arrives
        from a server that has read all that came when it closes, once more comes.
    HALF_CLOSE: It ends its side only, and reads the whole request.
    KEEP: It leaves the connection open.
    """

    RESET = "reset"
    UNREAD = "unread"
    END_FIRST = "end_first"
    HALF_CLOSE = "half_close"
    KEEP = "keep"


class EarlyServer:
    """Answers each request as soon as it has its head.

    Args:
        id_: Id of the server in the directory.
        response: Its response.
        ending: What it does with the connection then.

    Attributes:
        response: Response, with the request's Attempt-Id in place of ``ATTEMPT``.
        ending: What it does with the connection then.
        runs: Number of requests by attempt id.
        unread_bytes: Bytes of each request that it had not read at the end.
    """

    def __init__(self, id_: str, response: bytes, ending: Ending) -> None:
        self.runs: Counter[str] = Counter()
        self.unread_bytes: list[int] = []
        self._id = id_
        self.response = response
        self.ending = ending
        self._listener = socket.socket()
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(64)
        self._listener.settimeout(_ACCEPT_TIMEOUT_S)
        self._kept: list[socket.socket] = []
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def row(self) -> dict:
        """Row of the directory, but for the service."""
        host, port = self._listener.getsockname()
        return {
            "address": f"{host}:{port}",
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": 1,
        }

    def start(self) -> None:
        """Serve one connection after the other in a thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread and close all connections."""
        self._closing.set()
        self._thread.join()
        self._listener.close()
        for connection in self._kept:
            connection.close()

    def _run(self) -> None:
        while not self._closing.is_set():
            try:
                connection, _ = self._listener.accept()
            except TimeoutError:
                continue
            connection.settimeout(2.0)
            try:
                self._serve(connection)
            except OSError:
                # The entry has closed the connection.
                connection.close()

    def _serve(self, connection: socket.socket) -> None:
        received = b""
        while b"\r\n\r\n" not in received and len(received) < _MAX_HEAD_BYTES:
            data = connection.recv(1024)
            if not data:
                return connection.close()
            received += data
        head, _, body = received.partition(b"\r\n\r\n")
        if b" /api/order " in head:
            return self._answer_order(connection)
        attempt_id = _header(head, b"Attempt-Id")
        self.runs[attempt_id.decode()] += 1
        connection.sendall(self.response.replace(b"ATTEMPT", attempt_id))
        left_bytes = int(_header(head, b"Content-Length") or 0) - len(body)
        self._end(connection, left_bytes)

    def _end(self, connection: socket.socket, left_bytes: int) -> None:
        match self.ending:
            case Ending.RESET:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            case Ending.END_FIRST:
                connection.shutdown(socket.SHUT_WR)
                time.sleep(_RESET_DELAY_S)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            case Ending.HALF_CLOSE:
                connection.shutdown(socket.SHUT_WR)
                while data := connection.recv(65_536):
                    left_bytes -= len(data)
            case Ending.KEEP:
                self._kept.append(connection)
        self.unread_bytes.append(left_bytes)
        if self.ending is not Ending.KEEP:
            connection.close()

    def _answer_order(self, connection: socket.socket) -> None:
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Length: 15\r\nConnection: close\r\n\r\n"
            b'{"free":100000}'
        )
        connection.close()


def _header(head: bytes, name: bytes) -> bytes:
    match = re.search(rb"(?i)\r\n%b: *([^\r\n]*)" % name, head)
    return match[1] if match else b""
