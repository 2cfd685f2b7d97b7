"""The interim response to a caller that waits for it before it sends a body."""

from __future__ import annotations

from collections.abc import Callable

from gentianhoist.http1._responder import CallerRequest
from gentianhoist.http1.core import get_header

__all__ = ["ContinueExpectation"]

_EXPECTATION = b"100-continue"
_INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ContinueExpectation:
    """Sends 100 Continue once the responses to all earlier requests are written.

    Args:
        may_send: Whether no earlier request of the connection waits for its response.
        write: Writes to the connection.
    """

    def __init__(
        self, may_send: Callable[[], bool], write: Callable[[bytes], None]
    ) -> None:
        self._may_send = may_send
        self._write = write
        self._is_open = False

    def begin(self, request: CallerRequest) -> None:
        """Take the headers of a request, and send the interim response if it is due.

        Args:
            request: The request, whose body isn't received yet.
        """
        expectation = get_header(request.headers, b"expect") or b""
        self._is_open = (
            expectation.lower() == _EXPECTATION and not request.predates_http_1_1
        )
        self.send_if_due()

    def end(self) -> None:
        """Drop the expectation, since the caller sends the body."""
        self._is_open = False

    def send_if_due(self) -> None:
        """Send the interim response if one is expected and nothing is before it."""
        if self._is_open and self._may_send():
            self._is_open = False
            self._write(_INTERIM_RESPONSE)
