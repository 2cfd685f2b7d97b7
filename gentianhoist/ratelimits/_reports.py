"""What entries tell each other about the rate limit of a server."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Incarnation", "RateLimitReport"]

# Identifier, address and start time of a server, see `BackendServer.incarnation`.
Incarnation = tuple[str, str, int]


class RateLimitReport(NamedTuple):
    """One entry's knowledge of the limit of a server, and its use of it.

    Attributes:
        server: The incarnation of the server.
        limit_per_s: Requests per second that the server takes from all entries
            together, None if it names no limit any more.
        observed_s: When a response showed that last, on the entry's clock.
        sent: Requests that the entry has sent to the server since it has known the
            limit. A report that is lost is made up for by the next one.
        tokens: Tokens in the entry's copy of the bucket.
    """

    server: Incarnation
    limit_per_s: float | None
    observed_s: float
    sent: int
    tokens: float
