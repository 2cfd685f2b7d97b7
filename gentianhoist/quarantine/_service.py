"""Keeps requests that crash servers from them, together with the other entries."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from gentianhoist.clocks import Clock
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.fleet import BackendServer, FeedRow
from gentianhoist.quarantine._admission import (
    Admitted,
    Refused,
    TrialDue,
    TrialResult,
)
from gentianhoist.quarantine._evidence import EngineLoss, is_request_key
from gentianhoist.quarantine._interfaces import (
    DecisionRecorder,
    QuarantineMetrics,
    QuarantinePublisher,
    QuarantineRows,
    ServerProbe,
)
from gentianhoist.quarantine._loss_monitor import SETTLE_S, LossMonitor
from gentianhoist.quarantine._record_store import RecordStore
from gentianhoist.quarantine._records import QuarantineRecord
from gentianhoist.quarantine.core import KeyQuarantine

__all__ = ["RequestQuarantine", "refusal_error"]

_MS_PER_S = 1000.0
_MIN_RETRY_AFTER_S = 1.0
_EXPIRY_INTERVAL_S = 5.0
_REMOVAL_SPREAD_S = 10.0


class RequestQuarantine:
    """One entry's part in the quarantine: evidence, records and trials.

    Evidence and new records go to the other entries at once. Records are kept in the
    store too, where one entry at a time claims the trial of a key.

    Args:
        quarantine: Decides which keys are held.
        publisher: Publishes to the other entries.
        rows: Records in the store.
        probe: Tells a server that crashed from a connection that was lost.
        clock: The entry's clock.
        log: Receives one record for each decision.
        metrics: Counters and gauges of the entry.
        on_change: Called when keys were held or released.
    """

    def __init__(
        self,
        quarantine: KeyQuarantine,
        publisher: QuarantinePublisher,
        rows: QuarantineRows,
        probe: ServerProbe,
        clock: Clock,
        log: DecisionRecorder,
        metrics: QuarantineMetrics,
        on_change: Callable[[], None],
    ) -> None:
        self._quarantine = quarantine
        self._publisher = publisher
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._on_change = on_change
        self._losses = LossMonitor(
            probe, clock, log, metrics, self._add_loss, self._evaluate
        )
        self._store = RecordStore(rows, quarantine.record, clock, log)
        self._evaluation: asyncio.TimerHandle | None = None
        self._has_own_evidence = False
        self._expiry_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to write records to the store, and to drop old ones."""
        self._store.start()
        self._expiry_task = asyncio.get_running_loop().create_task(self._expire())

    async def close(self) -> None:
        """Stop all tasks."""
        if self._evaluation is not None:
            self._evaluation.cancel()
        if self._expiry_task is not None:
            self._expiry_task.cancel()
            await asyncio.gather(self._expiry_task, return_exceptions=True)
        await self._losses.close()
        await self._store.close()

    # Requests.

    def refusal(self, keys: tuple[str, ...]) -> Refused | None:
        """Why a request may not be sent now, or None. No trial begins here.

        Args:
            keys: Keys of the request.
        """
        match self._quarantine.admission(keys, self._clock.wall_s()):
            case Refused() as refused:
                return refused
            case TrialDue(replaces=record):
                return Refused(record.key, 0.0)
        return None

    async def admit(
        self, request_id: str, keys: tuple[str, ...]
    ) -> QuarantineRecord | None:
        """Let a request pass, as the trial of a held key if one is due.

        Args:
            request_id: Id of the request, for the log.
            keys: Keys of the request.

        Returns:
            The record of the trial, to be passed to `end_trial`, or None.

        Raises:
            HoistError: If the request may not be sent.
        """
        admission = self._quarantine.admission(keys, self._clock.wall_s())
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
            result: How its request ended.
        """
        record = self._quarantine.end_trial(trial, result, self._clock.wall_s())
        if record is not None:
            self._announce(record, "trial")

    async def report_lost_connection(
        self,
        server: BackendServer,
        keys: tuple[str, ...],
        sent_s: float,
        *,
        may_repeat: bool,
    ) -> None:
        """Report that a connection was lost at the beginning of an answer.

        Waits, within a limit, for the decision that follows if there are earlier
        losses that speak against the request, so that its repeat takes it into account.

        Args:
            server: The server.
            keys: Keys of the request.
            sent_s: Time on the monotonic clock when it was sent to the server.
            may_repeat: Whether a repeat may follow.
        """
        wait = may_repeat and self._quarantine.is_suspected(keys)
        await self._losses.report(server, keys, sent_s, wait=wait)

    def report_completed(
        self, keys: tuple[str, ...], sent_s: float, *, is_trial: bool
    ) -> None:
        """Report a request that was answered to its end.

        Args:
            keys: Keys of the request.
            sent_s: Time on the monotonic clock when it was sent to the server.
            is_trial: Whether the request was a trial.
        """
        is_refutation = self._complete(keys, sent_s)
        if is_refutation or is_trial:
            self._publisher.publish_completed(keys, sent_s)

    # Messages of other entries, and rows of the store.

    @property
    def records(self) -> list[QuarantineRecord]:
        """All records, for entries that have just started."""
        return self._quarantine.records

    def receive_loss(self, loss: EngineLoss) -> None:
        """Take a loss that another entry has published."""
        self._quarantine.add_loss(loss)
        self._evaluate_soon()

    def receive_completed(self, keys: Iterable[str], sent_s: float) -> None:
        """Take a completed request that another entry has published."""
        self._complete(keys, sent_s)

    def receive_record(self, record: QuarantineRecord) -> None:
        """Take a record that another entry has published."""
        if self._merge(record, "entry"):
            self._store.write_later(record)

    def replace_rows(self, rows: Iterable[FeedRow]) -> None:
        """Take all rows of the store, and write what it lacks.

        A store that was restored from a copy has lost the latest records.
        """
        for record in self._store.replace(rows):
            self._merge(record, "store")
        self._store.write_missing(self._quarantine.records)

    def change_rows(self, rows: Iterable[FeedRow]) -> None:
        """Take changed rows of the store."""
        for record in self._store.change(rows):
            self._merge(record, "store")

    def _merge(self, record: QuarantineRecord, source: str) -> bool:
        if not self._quarantine.merge(record, self._clock.monotonic_s()):
            return False
        self._record_change(record, source)
        return True

    # Evidence.

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
            self._evaluation = loop.call_later(SETTLE_S, self._evaluate)

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
                self._store.write_later(record)
                self._record_change(record, "evidence")

    def _complete(self, keys: Iterable[str], sent_s: float) -> bool:
        """Record a completed request; returns whether it refutes any evidence."""
        refuted, released = self._quarantine.complete(
            keys, sent_s, self._clock.wall_s()
        )
        for record in released:
            self._announce(record, "evidence")
        return bool(refuted)

    # Records.

    async def _claim_trial(self, request_id: str, due: TrialDue) -> QuarantineRecord:
        """Claim a trial in the store, which lets one entry at a time do so."""
        trial = due.record
        reason = await self._store.claim(trial, due.replaces)
        if reason is not None:
            self._log.record(
                "trial_not_claimed", request_id, key=trial.key, reason=reason
            )
            raise refusal_error(Refused(trial.key, 0.0))
        self._quarantine.merge(trial, self._clock.monotonic_s())
        self._publisher.publish_record(trial)
        self._record_change(trial, "trial", request_id)
        return trial

    def _announce(self, record: QuarantineRecord, source: str) -> None:
        """Publish a record that this entry has created, and write it to the store."""
        self._publisher.publish_record(record)
        self._store.write_soon(record)
        self._record_change(record, source)

    def _record_change(
        self, record: QuarantineRecord, source: str, request_id: str = ""
    ) -> None:
        self._log.record(
            f"{_kind(record)}_{record.state.value}",
            request_id,
            key=record.key,
            sequence=record.sequence,
            failed_trials=record.failed_trials,
            trial_in_s=round(record.until_ms / _MS_PER_S - self._clock.wall_s(), 3),
            source=source,
        )
        self._count_held()
        self._on_change()

    def _count_held(self) -> None:
        held = self._quarantine.held
        requests = sum(map(is_request_key, held))
        self._metrics.set_held(segments=len(held) - requests, requests=requests)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            expired = self._quarantine.expire(self._clock.wall_s())
            if not expired:
                continue
            self._count_held()
            # All entries drop a record at the same time; one has to remove it.
            await asyncio.sleep(_REMOVAL_SPREAD_S * random.random())
            for record in expired:
                self._log.record(f"{_kind(record)}_forgotten", key=record.key)
                await self._store.remove(record)


def refusal_error(refused: Refused) -> HoistError:
    """The error for the caller of a request that was not sent."""
    kind = ErrorKind.PROMPT_QUARANTINED
    if is_request_key(refused.key):
        kind = ErrorKind.REQUEST_QUARANTINED
    return HoistError(
        kind,
        refused.reason,
        retry_after_s=max(_MIN_RETRY_AFTER_S, refused.retry_after_s),
    )


def _kind(record: QuarantineRecord) -> str:
    """Beginning of the names of decisions on a record."""
    return "request" if is_request_key(record.key) else "segment"
