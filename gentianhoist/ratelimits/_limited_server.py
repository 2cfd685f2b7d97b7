"""What one entry knows of the rate limit of one server."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from gentianhoist.ratelimits._bucket import SharedBucket
from gentianhoist.ratelimits._reports import Incarnation, RateLimitReport

__all__ = ["LimitChange", "LimitedServer"]

# A server that names a smaller limit, 0 for example, gets requests at this rate, since
# only a response tells that its limit has changed.
_MIN_RATE_PER_S = 0.5


class LimitChange(NamedTuple):
    """A change of the limit of one server.

    Attributes:
        before_per_s: Requests per second until now, None without a limit.
        after_per_s: Requests per second from now on, None without a limit.
    """

    before_per_s: float | None
    after_per_s: float | None


@dataclass
class LimitedServer:
    """The limit of one incarnation of a server.

    Attributes:
        incarnation: The incarnation.
        bucket: Tokens that this entry may take, one for each request.
        limit_per_s: Requests per second that it takes from all entries together, None
            once it names no limit any more.
        observed_s: When a response showed that last, on the entry's clock.
        trial_s: When an entry that doesn't share the limit sends the next request.
        sent: Requests that this entry has sent since it has known the limit.
        sent_by_others: The same of other entries, by the incarnation of the entry.
        repeat_s: When the last report is repeated, None if it was.
    """

    incarnation: Incarnation
    bucket: SharedBucket
    limit_per_s: float | None
    observed_s: float
    trial_s: float = 0.0
    sent: int = 0
    sent_by_others: dict[str, int] = field(default_factory=dict)
    repeat_s: float | None = None

    @property
    def server_id(self) -> str:
        """Identifier of the server."""
        return self.incarnation[0]

    @property
    def rate_per_s(self) -> float:
        """Requests per second that it gets from all entries together."""
        return max(_MIN_RATE_PER_S, self.limit_per_s or 0.0)

    def report(self) -> RateLimitReport:
        """This entry's report about the server."""
        return RateLimitReport(
            self.incarnation,
            self.limit_per_s,
            self.observed_s,
            self.sent,
            self.bucket.tokens,
        )
