"""Decides which segments are held, tried and released, without any I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from gentianhoist.quarantine._evidence import (
    EngineLoss,
    LossLog,
    SuspectedLoss,
    count_incidents,
)
from gentianhoist.quarantine._records import QuarantineRecord, QuarantineState

__all__ = [
    "Admission",
    "Admitted",
    "QuarantinePolicy",
    "Refused",
    "SegmentQuarantine",
    "TrialDue",
    "TrialResult",
]

_MS_PER_S = 1000.0


class QuarantinePolicy(NamedTuple):
    """Limits and times of the quarantine.

    Attributes:
        hold_after_incidents: Incidents after which a segment is held that no completed
            prompt is known to have had.
        hold_completed_after_incidents: The same for any other segment.
        first_hold_s: Seconds until the first trial of a held segment.
        hold_ratio: Factor on that time for each trial that failed.
        max_hold_s: Largest time until a trial, in seconds.
        trial_timeout_s: Seconds after which a trial without a result counts as lost.
        record_ttl_s: Seconds after `until_ms` for which a record is kept.
        max_records: Maximum number of segments with a record.
    """

    hold_after_incidents: int = 3
    hold_completed_after_incidents: int = 4
    first_hold_s: float = 10.0
    hold_ratio: float = 8.0
    max_hold_s: float = 3600.0
    trial_timeout_s: float = 30.0
    record_ttl_s: float = 3600.0
    max_records: int = 256


@dataclass(frozen=True)
class Admitted:
    """The prompt may be sent."""


@dataclass(frozen=True)
class Refused:
    """The prompt may not be sent.

    Attributes:
        segment: The segment that is held.
        retry_after_s: Seconds until a trial may change that.
    """

    segment: str
    retry_after_s: float


@dataclass(frozen=True)
class TrialDue:
    """The prompt may be sent as a trial, once the record of the trial is agreed on.

    Attributes:
        record: The record that claims the trial.
        replaces: The record that it replaces.
    """

    record: QuarantineRecord
    replaces: QuarantineRecord


Admission = Admitted | Refused | TrialDue


class TrialResult(Enum):
    """How the prompt of a trial ended."""

    PASSED = "the engine answered it"
    FAILED = "it was sent, and the answer ended at its beginning"
    INCONCLUSIVE = "it was not sent"


class SegmentQuarantine:
    """Aggregate of the evidence and of the records of all segments.

    Monotonic times are those of one entry's clock. Wall times compare between entries,
    up to their skew.

    Args:
        policy: Limits and times.
    """

    def __init__(self, policy: QuarantinePolicy | None = None) -> None:
        self._policy = policy or QuarantinePolicy()
        self._losses = LossLog()
        self._records: dict[str, QuarantineRecord] = {}

    @property
    def records(self) -> list[QuarantineRecord]:
        """All records."""
        return list(self._records.values())

    @property
    def held(self) -> frozenset[str]:
        """Segments that are held or being tried."""
        return frozenset(
            record.segment
            for record in self._records.values()
            if record.state is not QuarantineState.RELEASED
        )

    def record(self, segment: str) -> QuarantineRecord | None:
        """The record of a segment, if it has one."""
        return self._records.get(segment)

    def add_loss(self, loss: EngineLoss) -> None:
        """Add a loss of an engine, or another report about it; see `evaluate`."""
        self._losses.add(loss)

    def evaluate(self, wall_s: float) -> list[QuarantineRecord]:
        """Decide which segments the losses so far speak against.

        Call it once the reports about a loss are complete. An entry that has seen only
        some of the prompts of a lost engine may blame a wrong one.

        Returns:
            The records of segments that are held or released because of the evidence.
        """
        blamed = self._blamed_segments()
        held = [
            self._next_record(segment, QuarantineState.HELD, 0, wall_s)
            for segment in sorted(blamed - self.held)
        ]
        for record in held:
            self._keep(record)
        wrongly_held = [item for item in self.held - blamed if self._is_cleared(item)]
        released = [self._release(item, wall_s) for item in sorted(wrongly_held)]
        return held + released

    def complete(
        self, segments: Iterable[str], sent_s: float, wall_s: float
    ) -> tuple[list[str], list[QuarantineRecord]]:
        """Record a prompt that was answered to its end.

        Returns:
            The segments against which evidence is refuted by that, and the records of
            those that are released.
        """
        segments = tuple(segments)
        refuted = [item for item in segments if self._is_refuted_by(item, sent_s)]
        self._losses.complete(segments, sent_s)
        released = []
        for segment in refuted:
            record = self._records.get(segment)
            # A trial ends by its own result.
            if record is not None and record.state is QuarantineState.HELD:
                released.append(self._release(segment, wall_s))
        return refuted, released

    def merge(self, record: QuarantineRecord, now_s: float) -> bool:
        """Take a record from another entry or the store.

        Args:
            record: The record.
            now_s: Current monotonic time.

        Returns:
            Whether it replaced the present one.
        """
        if not record.is_later_than(self._records.get(record.segment)):
            return False
        self._keep(record)
        if record.state is QuarantineState.RELEASED:
            # Another entry has seen what refutes the losses so far.
            self._losses.complete((record.segment,), now_s)
        return True

    def admission(self, segments: Iterable[str], wall_s: float) -> Admission:
        """Decide whether a prompt may be sent.

        Args:
            segments: Shared segments of the prompt.
            wall_s: Current wall time.
        """
        if not self._records:
            return Admitted()
        barred = [
            record
            for segment in segments
            if (record := self._records.get(segment)) is not None
            and record.state is not QuarantineState.RELEASED
        ]
        if not barred:
            return Admitted()
        wait_s = max(record.until_ms for record in barred) / _MS_PER_S - wall_s
        if len(barred) > 1 or wait_s > 0.0:
            # The result of a trial would be ambiguous with two such segments.
            return Refused(barred[0].segment, max(0.0, wait_s))
        record = barred[0]
        until_s = wall_s + self._policy.trial_timeout_s
        trial = record._replace(
            state=QuarantineState.TRIAL,
            sequence=record.sequence + 1,
            until_ms=round(until_s * _MS_PER_S),
        )
        return TrialDue(trial, record)

    def end_trial(
        self, trial: QuarantineRecord, result: TrialResult, wall_s: float
    ) -> QuarantineRecord | None:
        """End a trial of this entry.

        Returns:
            The record that follows, or None if the trial is no longer the last word on
            the segment.
        """
        segment = trial.segment
        if self._records.get(segment) != trial:
            return None
        failed_trials = trial.failed_trials
        match result:
            case TrialResult.PASSED:
                return self._release(segment, wall_s)
            case TrialResult.FAILED:
                failed_trials += 1
        record = self._next_record(segment, QuarantineState.HELD, failed_trials, wall_s)
        self._keep(record)
        return record

    def expire(self, wall_s: float) -> list[QuarantineRecord]:
        """Drop records that have been unchanged for long; returns them."""
        limit_ms = (wall_s - self._policy.record_ttl_s) * _MS_PER_S
        expired = [item for item in self._records.values() if item.until_ms < limit_ms]
        for record in expired:
            del self._records[record.segment]
        return expired

    def _blamed_segments(self) -> frozenset[str]:
        """Segments that together explain the losses, as far as there is evidence."""
        # What others hold without evidence here is taken for granted.
        explaining = frozenset(
            item for item in self.held if not self._has_evidence(item)
        )
        losses = self._losses.unexplained(explaining, self._policy.hold_after_incidents)
        blamed = set()
        while (segment := self._prime_suspect(losses)) is not None:
            blamed.add(segment)
            losses = [loss for loss in losses if segment not in loss.suspects]
        return frozenset(blamed)

    def _prime_suspect(self, losses: list[SuspectedLoss]) -> str | None:
        """The segment that most probably caused the losses not explained yet."""
        times_s: dict[str, list[float]] = {}
        for loss in losses:
            for segment in loss.suspects:
                times_s.setdefault(segment, []).append(loss.lost_s)
        suspects = [
            segment
            for segment, times in times_s.items()
            if count_incidents(times) >= self._needed_incidents(segment)
        ]
        # First a segment that no completed prompt had. Then the deepest, which the
        # fewest prompts share: what it explains counts for the others no longer.
        return min(
            suspects,
            key=lambda segment: (
                self._losses.was_completed(segment),
                -self._losses.depth(segment),
                segment,
            ),
            default=None,
        )

    def _has_evidence(self, segment: str) -> bool:
        """Whether there are enough losses that the segment may have caused."""
        count = self._losses.incidents(segment, frozenset())
        return count >= self._needed_incidents(segment)

    def _needed_incidents(self, segment: str) -> int:
        if self._losses.was_completed(segment):
            return self._policy.hold_completed_after_incidents
        return self._policy.hold_after_incidents

    def _is_cleared(self, segment: str) -> bool:
        """Whether other segments explain why this one was held.

        Only a segment that was completed before is cleared: otherwise two entries could
        each clear what the other one blames. And only by an entry that would hold it
        but for the explanation: another one may just have seen too little.
        """
        record = self._records[segment]
        return (
            record.state is QuarantineState.HELD
            and not record.failed_trials
            and self._losses.was_completed(segment)
            and self._has_evidence(segment)
        )

    def _is_refuted_by(self, segment: str, sent_s: float) -> bool:
        """Whether there is evidence that a completed prompt, sent then, refutes."""
        held = self.held
        # A held segment is cleared even if another one explains all its losses.
        explaining = frozenset() if segment in held else held
        times_s = self._losses.unrefuted_s(segment, explaining)
        return bool(times_s) and times_s[0] < sent_s

    def _release(self, segment: str, wall_s: float) -> QuarantineRecord:
        record = self._next_record(segment, QuarantineState.RELEASED, 0, wall_s)
        self._keep(record)
        return record

    def _next_record(
        self, segment: str, state: QuarantineState, failed_trials: int, wall_s: float
    ) -> QuarantineRecord:
        previous = self._records.get(segment)
        sequence = 1 if previous is None else previous.sequence + 1
        policy = self._policy
        hold_s = min(
            policy.max_hold_s, policy.first_hold_s * policy.hold_ratio**failed_trials
        )
        until_ms = round((wall_s + hold_s) * _MS_PER_S)
        return QuarantineRecord(segment, state, sequence, failed_trials, until_ms)

    def _keep(self, record: QuarantineRecord) -> None:
        self._records[record.segment] = record
        if len(self._records) > self._policy.max_records:
            self._drop_oldest_record()

    def _drop_oldest_record(self) -> None:
        released = QuarantineState.RELEASED
        oldest = min(
            self._records.values(),
            key=lambda record: (record.state is not released, record.until_ms),
        )
        del self._records[oldest.segment]
