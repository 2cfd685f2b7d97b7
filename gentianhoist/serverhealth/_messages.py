"""Message by which an entry reports its evidence about a server."""

from __future__ import annotations

import msgspec

from gentianhoist.serverhealth._evidence import Evidence, Incarnation
from gentianhoist.serverhealth._reports import Report

__all__ = ["ServerObserved", "check_observed"]

_MS_PER_S = 1000.0
# Figures beyond these can't come from one entry within the validity of its evidence.
_MAX_REQUESTS = 1e6
_MAX_RATIO = 1e3
# Figures are rounded on their way, so failures may seem to exceed requests by as much.
_ROUNDING = 0.01


class ServerObserved(msgspec.Struct, tag="w", array_like=True):
    """Evidence of one entry about one server.

    Attributes:
        server: Incarnation of the server: id, address and start in Unix milliseconds.
        requests: Weighted number of requests that have a result.
        failures: Weighted number of those that the server failed.
        ratio: Ratio of measured to expected time to first token, 0 if not measured.
        age_ms: Time since the last observation, since the clocks of entries differ.
        number: Number of the message among those of this run of the entry. Datagrams
            that arrive twice or late are known by it.
    """

    server: Incarnation
    requests: float
    failures: float
    ratio: float
    age_ms: int
    number: int = 0

    @classmethod
    def of(
        cls, server: Incarnation, evidence: Evidence, number: int, now_s: float
    ) -> ServerObserved:
        """Create the message for evidence.

        Args:
            server: The server.
            evidence: What was observed.
            number: Number of the message.
            now_s: Current time on the sender's clock, in seconds.
        """
        return cls(
            server,
            round(evidence.requests, 2),
            round(evidence.failures, 2),
            round(evidence.ratio, 2),
            round((now_s - evidence.observed_s) * _MS_PER_S),
            number,
        )

    def report(self, host: str, run: str, now_s: float) -> Report:
        """Return what it reports.

        Args:
            host: IP address of the sender.
            run: Name of the run of the sender's process.
            now_s: Current time on the receiver's clock, in seconds.
        """
        observed_s = now_s - self.age_ms / _MS_PER_S
        evidence = Evidence(self.requests, self.failures, self.ratio, observed_s)
        return Report(host, run, self.number, evidence)


def check_observed(message: ServerObserved) -> str | None:
    """Return the name of a field with an impossible value, or None."""
    if not 0.0 < message.requests <= _MAX_REQUESTS:
        return "requests"
    # A value that isn't a number fails each comparison.
    if not 0.0 <= message.failures <= message.requests + _ROUNDING:
        return "failures"
    if not 0.0 <= message.ratio <= _MAX_RATIO:
        return "ratio"
    if message.age_ms < 0:
        return "age_ms"
    if message.number < 0:
        return "number"
    return None
