"""What a boundary hands to the dispatcher, and what it asks of a boundary."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, Protocol

from gentianhoist.fleet import BackendServer, Organisation
from gentianhoist.http1 import Headers, ResponseHead

__all__ = [
    "ResponseValidity",
    "Call",
    "KvReservationClient",
    "ServerResponse",
    "ServerCodec",
]


@dataclass(frozen=True)
class Call:
    """A request, decoded.

    Attributes:
        id: Names this one try of the caller.
        method: HTTP method.
        host: Host name asked for.
        path: Path without the query.
        target: Path and query, byte for byte.
        headers: Headers that are passed on.
        body: The body.
        api_key: The caller's key, empty if there is none.
        received_s: When it was read, on the loop's clock.
        timeout_s: Seconds from then that the caller waits, if it says so.
        prompt_tokens: Tokens of the prompt, 0 for plain services.
        expected_output_tokens: Tokens of the answer, as expected.
        last_event_id: Id of the last event that the caller has, if it resumes.
    """

    id: str
    method: bytes
    host: str
    path: str
    target: bytes
    headers: Headers
    body: bytes
    api_key: str
    received_s: float
    timeout_s: float | None = None
    prompt_tokens: int = 0
    expected_output_tokens: int = 0
    last_event_id: bytes | None = None


class ResponseValidity(Enum):
    """What the head of a server's answer says about our request."""

    VALID = "the server's answer to our request"
    NOT_EXECUTED = "the server says that it did not run the request"
    OTHER_REQUEST = "an answer to another request"
    UNTRUSTED = "no answer that may be passed on"


class ServerResponse(NamedTuple):
    """Head of a server's answer, decoded.

    Attributes:
        validity: What it says about our request.
        status: HTTP status code.
        headers: Headers that are passed on.
        fault_address: IP number and port of the server that it blames, if any.
        wrong_server: Whether another server has the address now.
    """

    validity: ResponseValidity
    status: int
    headers: Headers
    fault_address: str | None = None
    wrong_server: bool = False


@dataclass(frozen=True)
class SendOptions:
    """What a send adds to the caller's request.

    Attributes:
        organisation: Whose request it is.
        remaining_s: Seconds that are left for it.
        last_event_id: Id of the last event passed on.
        urgency: Rank at the engine, 0 first.
        helpers: Engines that read parts, each with its ticket or nothing.
        first_reservation_id: Ticket at the first engine, if it has one.
    """

    organisation: Organisation | None
    remaining_s: float
    last_event_id: bytes | None = None
    urgency: int | None = None
    helpers: tuple[tuple[BackendServer, str | None], ...] = field(default=())
    first_reservation_id: str | None = None


class ServerCodec(Protocol):
    """How requests and answers look to a backend server."""

    def encode(self, call: Call, server: BackendServer, options: SendOptions) -> bytes:
        """The bytes of a request."""
        ...

    def decode(self, head: ResponseHead, call: Call, *, fresh: bool) -> ServerResponse:
        """What the head of an answer says.

        Args:
            head: Status and headers.
            call: The request.
            fresh: Whether nothing else was ever sent on the connection.
        """
        ...


class ReservationStatus(Enum):
    """What became of an order to reserve memory."""

    HELD = "the engine holds it"
    REFUSED = "the engine has no room, or could not be asked now"
    UNREACHABLE = "the engine doesn't answer, or another server has its address"


class KvReservationClient(Protocol):
    """Reservations of KV memory."""

    async def reserve(
        self, server: BackendServer, ticket: str, tokens: int, hold_s: float
    ) -> ReservationStatus:
        """Reserve or renew memory."""
        ...

    async def release(self, server: BackendServer, ticket: str) -> None:
        """End a reservation."""
        ...
