"""Requests that need a slot, what decides on them, and the decisions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from gentianhoist.admission._thresholds import Standing

__all__ = [
    "AdmissionDecision",
    "Applicant",
    "Assessment",
    "RefuseNow",
    "ServeNow",
    "WaitForSlot",
]


class Applicant(NamedTuple):
    """A request that needs a slot.

    Attributes:
        organisation: Organisation of the caller; empty if unknown.
        priority: Priority class; 0 is the highest.
        on_time_s: Seconds that it can wait and still be on time; negative if late.
        slack_s: Seconds that it can wait and still be served before its deadline.
        overdue_ratio: If it is late, the elapsed fraction of the time from which it is
            until it can't be served any more.
    """

    organisation: str
    priority: int
    on_time_s: float = float("inf")
    slack_s: float = float("inf")
    overdue_ratio: float = 0.0


class Assessment(NamedTuple):
    """What a decision is based on.

    Attributes:
        standing: Standing of the request.
        share: Share of its organisation, in slots.
        in_use: Slots that its organisation has in use.
        slots: Slots of the server group.
        free: Free slots.
        room: Free slots that it leaves to others.
        report_age_s: Age of the oldest report of another entry, in seconds.
    """

    standing: Standing
    share: float
    in_use: int
    slots: int
    free: int
    room: int
    report_age_s: float

    @property
    def occupied_ratio(self) -> float:
        """Fraction of the slots that is in use."""
        return 1.0 - self.free / self.slots if self.slots else 1.0


@dataclass(frozen=True)
class ServeNow:
    """The request may be placed now."""


@dataclass(frozen=True)
class WaitForSlot:
    """The request waits, and is expected to be placed before its deadline.

    Attributes:
        expected_s: Expected seconds until it is placed.
    """

    expected_s: float


@dataclass(frozen=True)
class RefuseNow:
    """The request can't be placed before its deadline.

    Attributes:
        expected_s: Expected seconds until it would be placed.
        retry_after_s: Seconds after which the caller should retry.
    """

    expected_s: float
    retry_after_s: float


AdmissionDecision = ServeNow | WaitForSlot | RefuseNow
