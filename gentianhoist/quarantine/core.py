"""Decides what is held, tried and released, without any I/O.

A key is the id of a prompt segment, which prompts share, or stands for the content of
one request, which comes again under new ids.
"""

from __future__ import annotations

from collections.abc import Iterable

from gentianhoist.quarantine._admission import (
    Admission,
    Admitted,
    QuarantinePolicy,
    Refused,
    TrialDue,
    TrialResult,
)
from gentianhoist.quarantine._evidence import (
    EngineLoss,
    LossLog,
    SuspectedLoss,
    count_incidents,
    is_request_key,
)
from gentianhoist.quarantine._records import QuarantineRecord, QuarantineState

__all__ = ["KeyQuarantine"]

_MS_PER_S = 1000.0


class KeyQuarantine:
    """Aggregate of the evidence and of the records of all keys.

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
        """Keys that are held or being tried."""
        return frozenset(
            record.key
            for record in self._records.values()
            if record.state is not QuarantineState.RELEASED
        )

    def record(self, key: str) -> QuarantineRecord | None:
        """The record of a key, if it has one."""
        return self._records.get(key)

    def add_loss(self, loss: EngineLoss) -> None:
        """Add a loss of a server, or another report about it; see `evaluate`."""
        self._losses.add(loss)

    def evaluate(self, wall_s: float) -> list[QuarantineRecord]:
        """Decide which keys the losses so far speak against.

        Call it once the reports about a loss are complete. An entry that has seen only
        some of the requests of a lost server may blame a wrong one.

        Returns:
            The records of keys that are held or released because of the evidence.
        """
        blamed = self._blamed_keys()
        held = [
            self._next_record(key, QuarantineState.HELD, 0, wall_s)
            for key in sorted(blamed - self.held)
        ]
        for record in held:
            self._keep(record)
        wrongly_held = [item for item in self.held - blamed if self._is_cleared(item)]
        released = [self._release(item, wall_s) for item in sorted(wrongly_held)]
        return held + released

    def is_suspected(self, keys: Iterable[str]) -> bool:
        """Whether any of these keys may have caused a loss."""
        return any(self._losses.unrefuted_s(key, frozenset()) for key in keys)

    def complete(
        self, keys: Iterable[str], sent_s: float, wall_s: float
    ) -> tuple[list[str], list[QuarantineRecord]]:
        """Record a request that was answered to its end.

        Returns:
            The keys against which evidence is refuted by that, and the records of
            those that are released.
        """
        keys = tuple(keys)
        refuted = [item for item in keys if self._is_refuted_by(item, sent_s)]
        self._losses.complete(keys, sent_s)
        released = []
        for key in refuted:
            record = self._records.get(key)
            # A trial ends by its own result.
            if record is not None and record.state is QuarantineState.HELD:
                released.append(self._release(key, wall_s))
        return refuted, released

    def merge(self, record: QuarantineRecord, now_s: float) -> bool:
        """Take a record from another entry or the store.

        Args:
            record: The record.
            now_s: Current monotonic time.

        Returns:
            Whether it replaced the present one.
        """
        if not record.is_later_than(self._records.get(record.key)):
            return False
        self._keep(record)
        if record.state is QuarantineState.RELEASED:
            # Another entry has seen what refutes the losses so far.
            self._losses.complete((record.key,), now_s)
        return True

    def admission(self, keys: Iterable[str], wall_s: float) -> Admission:
        """Decide whether a request may be sent.

        Args:
            keys: Keys of the request.
            wall_s: Current wall time.
        """
        if not self._records:
            return Admitted()
        barred = [
            record
            for key in keys
            if (record := self._records.get(key)) is not None
            and record.state is not QuarantineState.RELEASED
        ]
        if not barred:
            return Admitted()
        wait_s = max(record.until_ms for record in barred) / _MS_PER_S - wall_s
        if len(barred) > 1 or wait_s > 0.0:
            # The result of a trial would be ambiguous with two such keys.
            return Refused(barred[0].key, max(0.0, wait_s))
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
            the key.
        """
        key = trial.key
        if self._records.get(key) != trial:
            return None
        failed_trials = trial.failed_trials
        match result:
            case TrialResult.PASSED:
                return self._release(key, wall_s)
            case TrialResult.FAILED:
                failed_trials += 1
        record = self._next_record(key, QuarantineState.HELD, failed_trials, wall_s)
        self._keep(record)
        return record

    def expire(self, wall_s: float) -> list[QuarantineRecord]:
        """Drop records that have been unchanged for long; returns them."""
        limit_ms = (wall_s - self._policy.record_ttl_s) * _MS_PER_S
        expired = [item for item in self._records.values() if item.until_ms < limit_ms]
        for record in expired:
            del self._records[record.key]
        return expired

    def _blamed_keys(self) -> frozenset[str]:
        """Segments and requests that together explain the losses, by the evidence."""
        # What others hold without evidence here is taken for granted.
        explaining = frozenset(
            item for item in self.held if not self._has_evidence(item)
        )
        policy = self._policy
        losses = self._losses.unexplained(
            explaining, policy.hold_request_after_incidents
        )
        blamed = set()
        while (segment := self._prime_suspect(losses)) is not None:
            blamed.add(segment)
            losses = [loss for loss in losses if segment not in loss.suspects]
        while requests := self._prime_requests(losses):
            blamed |= requests
            losses = [loss for loss in losses if requests.isdisjoint(loss.suspects)]
        return frozenset(blamed)

    def _prime_requests(self, losses: list[SuspectedLoss]) -> frozenset[str]:
        """The requests that most probably caused the losses that no segment explains.

        Requests that were in the same losses can't be told apart.
        """
        indexes: dict[str, list[int]] = {}
        for index, loss in enumerate(losses):
            for key in filter(is_request_key, loss.suspects):
                indexes.setdefault(key, []).append(index)
        groups: dict[tuple[int, ...], set[str]] = {}
        for key, found in indexes.items():
            groups.setdefault(tuple(found), set()).add(key)
        # Those in most losses first: others were there by chance.
        for found in sorted(groups, key=lambda found: (-len(found), found)):
            times_s = [losses[index].lost_s for index in found]
            requests = groups[found]
            needed = max(self._needed_incidents(key) for key in requests)
            if len(requests) > 1:
                needed = max(needed, self._policy.hold_after_incidents)
            if count_incidents(times_s, min(requests)) >= needed:
                return frozenset(requests)
        return frozenset()

    def _is_one_request(self, losses: list[SuspectedLoss]) -> bool:
        """Whether one request was in all of these losses."""
        common = frozenset.intersection(*(loss.suspects for loss in losses))
        return any(map(is_request_key, common))

    def _prime_suspect(self, losses: list[SuspectedLoss]) -> str | None:
        """The segment that most probably caused the losses not explained yet."""
        by_segment: dict[str, list[SuspectedLoss]] = {}
        for loss in losses:
            for key in loss.suspects:
                if not is_request_key(key):
                    by_segment.setdefault(key, []).append(loss)
        suspects = [
            segment
            for segment, found in by_segment.items()
            if count_incidents([loss.lost_s for loss in found])
            >= self._needed_incidents(segment)
            # One request that comes again says nothing of others with the segment.
            and not self._is_one_request(found)
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

    def _has_evidence(self, key: str) -> bool:
        """Whether there are enough losses that the key may have caused."""
        count = self._losses.incidents(key, frozenset())
        return count >= self._needed_incidents(key)

    def _needed_incidents(self, key: str) -> int:
        if self._losses.was_completed(key):
            return self._policy.hold_completed_after_incidents
        if is_request_key(key):
            return self._policy.hold_request_after_incidents
        return self._policy.hold_after_incidents

    def _is_cleared(self, key: str) -> bool:
        """Whether other keys explain why this one was held.

        Only a key that was completed before is cleared: otherwise two entries could
        each clear what the other one blames. And only by an entry that would hold it
        but for the explanation: another one may just have seen too little.
        """
        record = self._records[key]
        return (
            record.state is QuarantineState.HELD
            and not record.failed_trials
            and self._losses.was_completed(key)
            and self._has_evidence(key)
        )

    def _is_refuted_by(self, key: str, sent_s: float) -> bool:
        """Whether there is evidence that a completed request, sent then, refutes."""
        held = self.held
        # A held key is cleared even if another one explains all its losses.
        explaining = frozenset() if key in held else held
        times_s = self._losses.unrefuted_s(key, explaining)
        return bool(times_s) and times_s[0] < sent_s

    def _release(self, key: str, wall_s: float) -> QuarantineRecord:
        record = self._next_record(key, QuarantineState.RELEASED, 0, wall_s)
        self._keep(record)
        return record

    def _next_record(
        self, key: str, state: QuarantineState, failed_trials: int, wall_s: float
    ) -> QuarantineRecord:
        previous = self._records.get(key)
        sequence = 1 if previous is None else previous.sequence + 1
        policy = self._policy
        hold_s = min(
            policy.max_hold_s, policy.first_hold_s * policy.hold_ratio**failed_trials
        )
        until_ms = round((wall_s + hold_s) * _MS_PER_S)
        return QuarantineRecord(key, state, sequence, failed_trials, until_ms)

    def _keep(self, record: QuarantineRecord) -> None:
        self._records[record.key] = record
        if len(self._records) > self._policy.max_records:
            self._drop_oldest_record()

    def _drop_oldest_record(self) -> None:
        released = QuarantineState.RELEASED
        oldest = min(
            self._records.values(),
            key=lambda record: (record.state is not released, record.until_ms),
        )
        del self._records[oldest.key]
