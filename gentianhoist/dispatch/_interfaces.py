"""Types and protocols between the dispatcher and a platform's adapter."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property
from hashlib import blake2b
from typing import NamedTuple, Protocol

from gentianhoist.backoff import ServerNotice
from gentianhoist.fleet import BackendServer, Organisation
from gentianhoist.http1 import Attribute, EncodedRequest, Headers, ResponseHead
from gentianhoist.quarantine import request_key
from gentianhoist.ratelimits import LimitNotice, NoLimitNamed

__all__ = [
    "ResponseValidity",
    "Call",
    "KvReservationClient",
    "ServerResponse",
    "ServerCodec",
]


_CONTENT_KEY_BYTES = 16


@dataclass(frozen=True)
class Call:
    """A caller's request, decoded from HTTP.

    Attributes:
        id: Identifies this request of the caller.
        method: HTTP method.
        host: Host name asked for.
        path: Path without the query.
        target: Path and query, byte for byte.
        headers: Headers that are passed on.
        body: The body.
        api_key: API key of the caller, empty without one.
        received_s: Time of arrival on the event loop's clock.
        timeout_s: Seconds from arrival that the caller waits, None if not stated.
        prompt_tokens: Tokens of the prompt, 0 for services without a model.
        expected_output_tokens: Estimated number of output tokens.
        last_event_id: Id of the last event that the caller received, if it resumes a
            stream.
        shared_segments: Ids of the prompt's segments that other prompts may share, in
            order. The last segment of a prompt is its own and not among them.
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
    shared_segments: tuple[str, ...] = ()

    @cached_property
    def content_key(self) -> str:
        """Digest of what a repeat of the request has in common with it.

        Repeats of a request have its method, host, target, API key, body and segments,
        and an id of their own.
        """
        digest = blake2b(digest_size=_CONTENT_KEY_BYTES)
        parts = (
            self.method,
            self.host.encode(),
            self.target,
            self.api_key.encode(),
            self.body,
            *(segment.encode() for segment in self.shared_segments),
        )
        for part in parts:
            # The length keeps two splits of the same bytes apart.
            digest.update(b"%d:" % len(part))
            digest.update(part)
        return digest.hexdigest()

    @property
    def quarantine_keys(self) -> tuple[str, ...]:
        """Keys under which the quarantine may hold the request."""
        return (*self.shared_segments, request_key(self.content_key))


class ResponseValidity(Enum):
    """What a response head proves about the request that was sent."""

    VALID = "the server's response to this request"
    NOT_EXECUTED = "the server says that it did not run the request"
    UNTRUSTED = "a response that must not be passed on"


class ServerResponse(NamedTuple):
    """Decoded head of a backend server's response.

    Attributes:
        validity: What it proves about the request.
        status: HTTP status code.
        headers: Headers that are passed on.
        fault_address: IP address and port of the server that the response reports as
            failed, if any.
        wrong_server: Whether another server now has the address.
        rate_limit: What it says about the rate limit of its server.
        notice: What else it says about its server.
    """

    validity: ResponseValidity
    status: int
    headers: Headers
    fault_address: str | None = None
    wrong_server: bool = False
    rate_limit: LimitNotice = NoLimitNamed()
    notice: ServerNotice = ServerNotice()


@dataclass(frozen=True)
class SendOptions:
    """Values that a send adds to the caller's request.

    Attributes:
        organisation: Organisation of the caller, if known.
        remaining_s: Seconds until the deadline of the request.
        last_event_id: Id of the last event passed on.
        urgency: Scheduling rank at the engine, 0 first.
        helpers: Engines that prefill a share of the prompt, each with the id of its KV
            reservation, or None without one.
        decode_reservation_id: Id of the KV reservation at the decode engine, if any.
    """

    organisation: Organisation | None
    remaining_s: float
    last_event_id: bytes | None = None
    urgency: int | None = None
    helpers: tuple[tuple[BackendServer, str | None], ...] = field(default=())
    decode_reservation_id: str | None = None


class ServerCodec(Protocol):
    """Encodes requests to backend servers and decodes their response heads."""

    def encode(
        self, call: Call, server: BackendServer, options: SendOptions
    ) -> EncodedRequest:
        """Encode a request.

        Args:
            call: The caller's request.
            server: The backend server that receives it.
            options: Values that this send adds.
        """
        ...

    def decode(
        self, head: ResponseHead, call: Call, *, is_first_response: bool
    ) -> ServerResponse:
        """Decode and validate the head of a response.

        Args:
            head: Status and headers.
            call: The request.
            is_first_response: Whether it is the first response on the connection.
        """
        ...

    def attribution(self, call: Call) -> Attribute:
        """Return what tells whether a response head is one to a request.

        It is kept for longer than the request, and doesn't hold its body.

        Args:
            call: The request.
        """
        ...


class ReservationStatus(Enum):
    """Outcome of a request to reserve KV cache on an engine.

    REFUSED also covers a request that this entry did not send, because the engine's
    server group is not configured or all connections to the engine are in use.
    """

    HELD = "the engine holds it"
    REFUSED = "the engine refused, or this entry did not send the request"
    UNREACHABLE = (
        "the connection failed or timed out, or another server has its address"
    )


class KvReservationClient(Protocol):
    """Reserves and releases KV cache on engines."""

    async def reserve(
        self, server: BackendServer, reservation_id: str, tokens: int, lease_s: float
    ) -> ReservationStatus:
        """Reserve KV cache, or renew the lease of a reservation.

        Args:
            server: The engine.
            reservation_id: Id of the reservation.
            tokens: KV cache to reserve, in tokens.
            lease_s: Lease of the reservation, in seconds.
        """
        ...

    async def release(self, server: BackendServer, reservation_id: str) -> None:
        """End a reservation."""
        ...
