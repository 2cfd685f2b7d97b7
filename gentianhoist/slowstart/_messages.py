"""Messages between entries about servers that started or recovered."""

from __future__ import annotations

import math

import msgspec

from gentianhoist.slowstart._pace import EVIDENCE_TTL_S, PaceReport

__all__ = [
    "ColdUnitLent",
    "ColdUnitRequested",
    "PaceObserved",
    "check_pace",
    "check_unit",
]

_MS_PER_S = 1000


class PaceObserved(msgspec.Struct, tag="p", array_like=True):
    """The sender has found how a server that started or recovered responds.

    Attributes:
        server: Identifier, address and start time of the server.
        pace: Fraction of its slots that may be in use, over all entries.
        answered: Requests answered as expected since the start, or since the last sign
            of overload.
        age_ms: Time in ms since the last response.
    """

    server: tuple[str, str, int]
    pace: float
    answered: int
    age_ms: int

    @classmethod
    def of(
        cls, server: tuple[str, str, int], report: PaceReport, now_s: float
    ) -> PaceObserved:
        """Create the message for a report, at a time on the sender's clock."""
        age_ms = max(0, round((now_s - report.observed_s) * _MS_PER_S))
        return cls(server, round(report.pace, 4), report.answered, age_ms)

    def report(self, now_s: float) -> PaceReport:
        """Create the report, with its time on the receiver's clock."""
        return PaceReport(self.pace, self.answered, now_s - self.age_ms / _MS_PER_S)


class ColdUnitRequested(msgspec.Struct, tag="u", array_like=True):
    """The sender lacks a unit of a cold server.

    Attributes:
        server_id: Identifier of the server.
        number: Differs between all requests of the sender.
    """

    server_id: str
    number: int


class ColdUnitLent(msgspec.Struct, tag="n", array_like=True):
    """The sender gives up a unit of a cold server in favour of the receiver.

    Attributes:
        server_id: Identifier of the server.
        number: Number of the request.
    """

    server_id: str
    number: int


def check_pace(message: PaceObserved) -> str | None:
    """Return the name of a field with an impossible value, or None."""
    if not message.server[0]:
        return "server"
    if not (math.isfinite(message.pace) and 0.0 < message.pace <= 1.0):
        return "pace"
    if message.answered < 0:
        return "answered"
    # Evidence that is out of date is not sent.
    if not 0 <= message.age_ms <= EVIDENCE_TTL_S * _MS_PER_S:
        return "age_ms"
    return None


def check_unit(message: ColdUnitRequested | ColdUnitLent) -> str | None:
    """Return the name of a field with an impossible value, or None."""
    if not message.server_id:
        return "server_id"
    return "number" if message.number < 0 else None
