"""HTTP/1.1 over asyncio streams, as far as the stand-ins need it."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

__all__ = ["Message", "encode", "read_message"]

_MAX_LINE_BYTES = 256 * 1024


class Message(NamedTuple):
    """A request or a response.

    Attributes:
        start: First line, without its end.
        headers: Names and values, in order.
        body: Body without its framing.
        whole: Whether the body is complete.
        at_s: Time on the event loop's clock when its head had been read.
    """

    start: str
    headers: list[tuple[str, str]]
    body: bytes
    whole: bool
    at_s: float

    def get(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.start.split(" ", 2)[1])


def encode(start: str, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Encode a message with a Content-Length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def read_message(
    reader: asyncio.StreamReader, *, is_response: bool
) -> Message | None:
    """Read one message; None if the connection ended before its first byte.

    Raises:
        ConnectionError: If the connection ended inside the head.
    """
    while True:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError as error:
            if error.partial.strip():
                raise ConnectionError("connection ended inside a head") from error
            return None
        lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        if is_response and lines[0].split(" ")[1].startswith("1"):
            continue
        break
    at_s = asyncio.get_running_loop().time()
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name, value.strip()))
    message = Message(lines[0], headers, b"", True, at_s)
    body, whole = await _read_body(reader, message, is_response)
    return message._replace(body=body, whole=whole)


async def _read_body(
    reader: asyncio.StreamReader, message: Message, is_response: bool
) -> tuple[bytes, bool]:
    length = message.get("Content-Length")
    try:
        if "chunked" in (message.get("Transfer-Encoding") or "").lower():
            return await _read_chunks(reader)
        if length is not None:
            return await reader.readexactly(int(length)), True
    except asyncio.IncompleteReadError as error:
        return error.partial, False
    if is_response:
        return await reader.read(-1), True
    return b"", True


async def _read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    body = b""
    try:
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return body, True
            body += data[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False
