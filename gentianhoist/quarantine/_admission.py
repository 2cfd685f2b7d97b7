"""Policy of the quarantine, and what it decides about one request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from gentianhoist.quarantine._evidence import is_request_key
from gentianhoist.quarantine._records import QuarantineRecord

__all__ = [
    "Admission",
    "Admitted",
    "QuarantinePolicy",
    "Refused",
    "TrialDue",
    "TrialResult",
]


class QuarantinePolicy(NamedTuple):
    """Limits and times of the quarantine.

    Attributes:
        hold_after_incidents: Incidents after which a segment is held that no completed
            prompt is known to have had, or a request that can't be told from others.
        hold_completed_after_incidents: The same for any other segment or request.
        hold_request_after_incidents: Incidents after which a request is held that was
            never completed, if no other request was in all of them.
        first_hold_s: Seconds until the first trial of a held key.
        hold_ratio: Factor on that time for each trial that failed.
        max_hold_s: Largest time until a trial, in seconds.
        trial_timeout_s: Seconds after which a trial without a result counts as lost.
        record_ttl_s: Seconds after `until_ms` for which a record is kept.
        max_records: Maximum number of keys with a record.
    """

    hold_after_incidents: int = 3
    hold_completed_after_incidents: int = 4
    hold_request_after_incidents: int = 2
    first_hold_s: float = 10.0
    hold_ratio: float = 8.0
    max_hold_s: float = 3600.0
    trial_timeout_s: float = 30.0
    record_ttl_s: float = 3600.0
    max_records: int = 256


@dataclass(frozen=True)
class Admitted:
    """The request may be sent."""


@dataclass(frozen=True)
class Refused:
    """The request may not be sent.

    Attributes:
        key: The key that is held.
        retry_after_s: Seconds until a trial may change that.
    """

    key: str
    retry_after_s: float

    @property
    def reason(self) -> str:
        """Why it is refused."""
        if is_request_key(self.key):
            return "servers crashed each time that they ran this request"
        return f"segment {self.key} of the prompt crashes model engines"


@dataclass(frozen=True)
class TrialDue:
    """The request may be sent as a trial, once the record of the trial is agreed on.

    Attributes:
        record: The record that claims the trial.
        replaces: The record that it replaces.
    """

    record: QuarantineRecord
    replaces: QuarantineRecord


Admission = Admitted | Refused | TrialDue


class TrialResult(Enum):
    """How the request of a trial ended."""

    PASSED = "the server answered it"
    FAILED = "it was sent, and the answer ended at its beginning"
    INCONCLUSIVE = "it was not sent"
