"""Keeps prompts that crash engines from them, together with the other entries."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

import msgspec

from gentianhoist.clocks import Clock
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.fleet import BackendServer, FeedRow
from gentianhoist.quarantine._evidence import EngineLoss
from gentianhoist.quarantine._records import (
    QuarantineRecord,
    decode_record,
    encode_record,
)
from gentianhoist.quarantine.core import (
    Admitted,
    Refused,
    SegmentQuarantine,
    TrialDue,
    TrialResult,
)
from gentianhoist.store import ConditionFailed, StoreInDoubt, StoreUnavailable
from gentianhoist.telemetry import DecisionLog, EntryMetrics

__all__ = [
    "NullQuarantinePublisher",
    "PromptQuarantine",
    "QuarantinePublisher",
    "QuarantineRows",
    "ServerProbe",
    "refusal_error",
]

_log = logging.getLogger(__name__)

# A repeat of a prompt waits at most so long for the decision on the loss of its engine.
_MAX_DECISION_WAIT_S = 0.15
# Time in which the other entries report the prompts that they had on a lost engine.
_SETTLE_S = 0.05
# Prompts of one engine are reported as one loss for this time after the probe.
_LOSS_OPEN_S = 2.0
_MIN_RETRY_AFTER_S = 1.0
_EXPIRY_INTERVAL_S = 5.0
# An entry writes a record that another one has created only after this time, if the
# store still lacks it; plus up to as much again, at random.
_WRITE_DELAY_S = 2.0
_WRITE_RETRY_S = 0.5
_REMOVAL_SPREAD_S = 10.0
_NO_ROW = 0


class QuarantinePublisher(Protocol):
    """Publishes evidence and records to the other entries."""

    def publish_loss(self, loss: EngineLoss) -> None:
        """Publish the loss of an engine."""
        ...

    def publish_completed(self, segments: Iterable[str], sent_s: float) -> None:
        """Publish that a prompt with these segments, sent then, was completed."""
        ...

    def publish_record(self, record: QuarantineRecord) -> None:
        """Publish a new record."""
        ...


class NullQuarantinePublisher:
    """Publishes nothing, for an entry without peers."""

    def publish_loss(self, loss: EngineLoss) -> None:
        """Do nothing."""

    def publish_completed(self, segments: Iterable[str], sent_s: float) -> None:
        """Do nothing."""

    def publish_record(self, record: QuarantineRecord) -> None:
        """Do nothing."""


class QuarantineRows(Protocol):
    """Rows of the store that hold the records, by segment."""

    async def write(self, key: str, value: bytes, version: int) -> None:
        """Write a row if its version is still the given one, 0 for no row.

        Raises:
            ConditionFailed: If the version is another one.
            StoreUnavailable: If nothing was written.
            StoreInDoubt: If it may have been written.
        """
        ...

    async def remove(self, key: str, version: int) -> None:
        """Remove a row if its version is still the given one; errors as in `write`."""
        ...


class ServerProbe(Protocol):
    """Finds out whether a backend server still runs."""

    async def is_down(self, server: BackendServer) -> bool:
        """Whether nothing listens at the server's address any more."""
        ...


class _StoredRecord(NamedTuple):
    record: QuarantineRecord
    version: int


class _OpenLoss:
    """Prompts of one engine that lost it at about the same time."""

    def __init__(self) -> None:
        self.prompts: set[tuple[str, ...]] = set()
        self.task: asyncio.Task[None] | None = None
        self.decided = asyncio.Event()
        self.loss: EngineLoss | None = None


class PromptQuarantine:
    """One entry's part in the quarantine: evidence, records and trials.

    Evidence and new records go to the other entries at once. Records are kept in the
    store too, where they outlast the entries, and where one entry at a time claims the
    trial of a segment.

    Args:
        quarantine: Decides which segments are held.
        publisher: Publishes to the other entries.
        rows: Records in the store.
        probe: Tells an engine that crashed from a connection that was lost.
        clock: The entry's clock.
        log: Receives one record for each decision.
        metrics: Counters and gauges of the entry.
        on_change: Called when segments were held or released.
    """

    def __init__(
        self,
        quarantine: SegmentQuarantine,
        publisher: QuarantinePublisher,
        rows: QuarantineRows,
        probe: ServerProbe,
        clock: Clock,
        log: DecisionLog,
        metrics: EntryMetrics,
        on_change: Callable[[], None],
    ) -> None:
        self._quarantine = quarantine
        self._publisher = publisher
        self._rows = rows
        self._probe = probe
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._on_change = on_change
        self._open_losses: dict[tuple[str, str, int], _OpenLoss] = {}
        self._stored: dict[str, _StoredRecord] = {}
        # Time on the monotonic clock from which a record is written to the store.
        self._write_from_s: dict[str, float] = {}
        self._write_due = asyncio.Event()
        self._evaluation: asyncio.TimerHandle | None = None
        self._has_own_evidence = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start to write records to the store, and to drop old ones."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._write_records()),
            loop.create_task(self._expire()),
        ]

    async def close(self) -> None:
        """Stop all tasks; records that are not written yet stay with the others."""
        if self._evaluation is not None:
            self._evaluation.cancel()
        probes = [item.task for item in self._open_losses.values() if item.task]
        tasks = [*self._tasks, *probes]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # Requests.

    def refusal(self, segments: tuple[str, ...]) -> Refused | None:
        """Why a prompt may not be sent now, or None. No trial begins here."""
        match self._quarantine.admission(segments, self._clock.wall_s()):
            case Refused() as refused:
                return refused
            case TrialDue(replaces=record):
                return Refused(record.segment, 0.0)
        return None

    async def admit(
        self, request_id: str, segments: tuple[str, ...]
    ) -> QuarantineRecord | None:
        """Let a prompt pass, as the trial of a held segment if one is due.

        Returns:
            The record of the trial, to be passed to `end_trial`, or None.

        Raises:
            HoistError: If the prompt may not be sent.
        """
        admission = self._quarantine.admission(segments, self._clock.wall_s())
        match admission:
            case Admitted():
                return None
            case Refused():
                raise refusal_error(admission)
            case TrialDue():
                return await self._claim_trial(request_id, admission)

    def end_trial(self, trial: QuarantineRecord, result: TrialResult) -> None:
        """End a trial that `admit` has begun.

        Args:
            trial: The record of the trial.
            result: How its prompt ended.
        """
        record = self._quarantine.end_trial(trial, result, self._clock.wall_s())
        if record is not None:
            self._announce(record, "trial")

    async def report_lost_connection(
        self, server: BackendServer, segments: tuple[str, ...]
    ) -> None:
        """Report that a connection was lost at the beginning of an answer.

        Waits, within a limit, until it is known whether the engine crashed, so that a
        repeat of the prompt is decided with that knowledge.

        Args:
            server: The engine.
            segments: Shared segments of the prompt.
        """
        open_loss = self._open_losses.get(server.incarnation)
        if open_loss is None:
            open_loss = self._open_losses[server.incarnation] = _OpenLoss()
            open_loss.task = asyncio.get_running_loop().create_task(
                self._probe_engine(server, open_loss)
            )
        open_loss.prompts.add(segments)
        if open_loss.loss is not None:
            self._add_loss(open_loss.loss._replace(prompts=frozenset({segments})))
        try:
            async with asyncio.timeout(_MAX_DECISION_WAIT_S):
                await open_loss.decided.wait()
        except TimeoutError:
            self._log.record("loss_undecided", server=server.id)

    def report_completed(
        self, segments: tuple[str, ...], sent_s: float, *, is_trial: bool
    ) -> None:
        """Report a prompt that was answered to its end.

        Args:
            segments: Shared segments of the prompt.
            sent_s: Time on the monotonic clock when it was sent to the engine.
            is_trial: Whether the prompt was a trial.
        """
        if not segments:
            return
        is_refutation = self._complete(segments, sent_s)
        if is_refutation or is_trial:
            self._publisher.publish_completed(segments, sent_s)

    # Messages of other entries, and rows of the store.

    @property
    def records(self) -> list[QuarantineRecord]:
        """All records, for entries that have just started."""
        return self._quarantine.records

    def receive_loss(self, loss: EngineLoss) -> None:
        """Take a loss that another entry has published."""
        self._quarantine.add_loss(loss)
        self._evaluate_soon()

    def receive_completed(self, segments: Iterable[str], sent_s: float) -> None:
        """Take a completed prompt that another entry has published."""
        self._complete(segments, sent_s)

    def receive_record(self, record: QuarantineRecord) -> None:
        """Take a record that another entry has published."""
        known = self._quarantine.record(record.segment)
        if not self._quarantine.merge(record, self._clock.monotonic_s()):
            return
        self._write_later(record)
        if known is None or record.sequence > known.sequence:
            self._record_change(record, "entry")

    def replace_rows(self, rows: Iterable[FeedRow]) -> None:
        """Take all rows of the store."""
        rows = list(rows)
        for segment in self._stored.keys() - {row.key for row in rows}:
            del self._stored[segment]
        self.change_rows(rows)

    def change_rows(self, rows: Iterable[FeedRow]) -> None:
        """Take changed rows of the store."""
        for row in rows:
            if row.value is None:
                self._stored.pop(row.key, None)
                continue
            try:
                record = decode_record(row.value)
            except msgspec.MsgspecError as error:
                _log.warning(
                    "ignoring a quarantine record that cannot be decoded",
                    extra={"key": row.key, "cause": str(error)},
                )
                continue
            self._stored[row.key] = _StoredRecord(record, row.version)
            known = self._quarantine.record(record.segment)
            if self._quarantine.merge(record, self._clock.monotonic_s()) and (
                known is None or record.sequence > known.sequence
            ):
                self._record_change(record, "store")

    # Evidence.

    async def _probe_engine(self, server: BackendServer, open_loss: _OpenLoss) -> None:
        lost_s = self._clock.monotonic_s()
        is_down = await self._probe.is_down(server)
        self._metrics.record_lost_engine(is_down)
        self._log.record(
            "engine_lost" if is_down else "engine_still_runs",
            server=server.id,
            prompts=len(open_loss.prompts),
        )
        if is_down:
            prompts = frozenset(open_loss.prompts)
            engine = f"{server.id}/{server.started_ms}"
            open_loss.loss = EngineLoss(engine, lost_s, prompts)
            self._add_loss(open_loss.loss)
            await asyncio.sleep(_SETTLE_S)
            self._evaluate()
        open_loss.decided.set()
        if is_down:
            await asyncio.sleep(_LOSS_OPEN_S)
        self._open_losses.pop(server.incarnation, None)

    def _add_loss(self, loss: EngineLoss) -> None:
        """Add a loss that this entry has seen."""
        loss = loss.bounded()
        self._publisher.publish_loss(loss)
        self._quarantine.add_loss(loss)
        self._has_own_evidence = True
        self._evaluate_soon()

    def _evaluate_soon(self) -> None:
        """Decide once the other entries have reported what they know."""
        if self._evaluation is None:
            loop = asyncio.get_running_loop()
            self._evaluation = loop.call_later(_SETTLE_S, self._evaluate)

    def _evaluate(self) -> None:
        if self._evaluation is not None:
            self._evaluation.cancel()
            self._evaluation = None
        is_announced, self._has_own_evidence = self._has_own_evidence, False
        for record in self._quarantine.evaluate(self._clock.wall_s()):
            if is_announced:
                self._announce(record, "evidence")
            else:
                # All entries come to the same conclusion. One that has not seen a loss
                # itself leaves it to the others to announce it.
                self._write_later(record)
                self._record_change(record, "evidence")

    def _complete(self, segments: Iterable[str], sent_s: float) -> bool:
        """Record a completed prompt; returns whether it refutes any evidence."""
        refuted, released = self._quarantine.complete(
            segments, sent_s, self._clock.wall_s()
        )
        for record in released:
            self._announce(record, "evidence")
        return bool(refuted)

    # Records.

    async def _claim_trial(self, request_id: str, due: TrialDue) -> QuarantineRecord:
        """Claim a trial in the store, which lets one entry at a time do so."""
        trial = due.record
        stored = self._stored.get(trial.segment)
        if stored is None or not stored.record.is_same_change(due.replaces):
            raise refusal_error(Refused(trial.segment, 0.0))
        try:
            await self._rows.write(trial.segment, encode_record(trial), stored.version)
        except (ConditionFailed, StoreUnavailable, StoreInDoubt) as error:
            self._log.record(
                "trial_not_claimed",
                request_id,
                segment=trial.segment,
                reason=repr(error),
            )
            raise refusal_error(Refused(trial.segment, 0.0)) from error
        self._quarantine.merge(trial, self._clock.monotonic_s())
        self._publisher.publish_record(trial)
        self._record_change(trial, "trial", request_id)
        return trial

    def _announce(self, record: QuarantineRecord, source: str) -> None:
        """Publish a record that this entry has created, and write it to the store."""
        self._publisher.publish_record(record)
        self._write_from_s[record.segment] = self._clock.monotonic_s()
        self._record_change(record, source)

    def _write_later(self, record: QuarantineRecord) -> None:
        """Write a record to the store unless another entry does so before."""
        delay_s = _WRITE_DELAY_S * (1.0 + random.random())
        self._write_from_s[record.segment] = self._clock.monotonic_s() + delay_s
        self._write_due.set()

    def _record_change(
        self, record: QuarantineRecord, source: str, request_id: str = ""
    ) -> None:
        self._log.record(
            f"segment_{record.state.value}",
            request_id,
            segment=record.segment,
            sequence=record.sequence,
            failed_trials=record.failed_trials,
            trial_in_s=round(record.until_ms / 1000 - self._clock.wall_s(), 3),
            source=source,
        )
        self._metrics.set_held_segments(len(self._quarantine.held))
        self._write_due.set()
        self._on_change()

    async def _write_records(self) -> None:
        """Write the records that the store lacks, one after the other."""
        while True:
            pause_s = await self._write_due_records()
            self._write_due.clear()
            try:
                async with asyncio.timeout(pause_s):
                    await self._write_due.wait()
            except TimeoutError:
                continue

    async def _write_due_records(self) -> float | None:
        """Write what is due; returns the seconds until the next try, None for none."""
        waits_s = []
        for segment in list(self._write_from_s):
            wait_s = self._write_from_s[segment] - self._clock.monotonic_s()
            if wait_s > 0.0:
                waits_s.append(wait_s)
            elif not await self._write_record(segment):
                waits_s.append(_WRITE_RETRY_S * (0.5 + random.random()))
        return min(waits_s, default=None)

    async def _write_record(self, segment: str) -> bool:
        """Write one record; returns whether the store has it or needs none."""
        record = self._quarantine.record(segment)
        stored = self._stored.get(segment)
        if record is None or not record.is_later_than(
            None if stored is None else stored.record
        ):
            self._write_from_s.pop(segment, None)
            return True
        version = _NO_ROW if stored is None else stored.version
        try:
            await self._rows.write(segment, encode_record(record), version)
        except (ConditionFailed, StoreUnavailable, StoreInDoubt) as error:
            # The feed brings the row that was there instead.
            self._log.record(
                "quarantine_not_written", segment=segment, reason=repr(error)
            )
            return False
        if self._quarantine.record(segment) == record:
            self._write_from_s.pop(segment, None)
        return True

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            expired = self._quarantine.expire(self._clock.wall_s())
            for record in expired:
                self._log.record("segment_forgotten", segment=record.segment)
            if expired:
                self._metrics.set_held_segments(len(self._quarantine.held))
                # All entries drop a record at the same time; one has to remove it.
                await asyncio.sleep(_REMOVAL_SPREAD_S * random.random())
            for record in expired:
                await self._remove_row(record)

    async def _remove_row(self, record: QuarantineRecord) -> None:
        stored = self._stored.get(record.segment)
        if stored is None or stored.record != record:
            return
        try:
            await self._rows.remove(record.segment, stored.version)
        except (ConditionFailed, StoreUnavailable, StoreInDoubt) as error:
            self._log.record(
                "quarantine_not_removed", segment=record.segment, reason=repr(error)
            )


def refusal_error(refused: Refused) -> HoistError:
    """The error for the caller of a prompt that was not sent."""
    return HoistError(
        ErrorKind.PROMPT_QUARANTINED,
        f"segment {refused.segment} of the prompt crashes model engines",
        retry_after_s=max(_MIN_RETRY_AFTER_S, refused.retry_after_s),
    )
