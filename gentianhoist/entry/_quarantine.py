"""Quarantine of requests that crash servers, on the product's own interface."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from hashlib import blake2b

from gentianhoist.clocks import Clock
from gentianhoist.entry._jobs import CompletionJob
from gentianhoist.events import EventKind, EventRing
from gentianhoist.fleet import BackendServer, FeedRow
from gentianhoist.quarantine import (
    EngineLoss,
    KeyQuarantine,
    QuarantineRecord,
    RequestQuarantine,
    decode_record,
    encode_record,
    request_key,
)
from gentianhoist.store import (
    Check,
    Put,
    StoreUnavailable,
    StoreVersion,
    TableClient,
    Transaction,
    join_version,
    new_transaction_id,
    split_version,
)
from gentianhoist.telemetry import Metrics
from gentianhoist.wire import CallRequest, LossNotice, QuarantineUpdate

__all__ = ["JobQuarantine", "call_keys", "job_keys"]

_ROW_PREFIX = "quarantine/"
_MAX_ROWS = 256
_POLL_INTERVAL_S = 2.0
_CONTENT_KEY_BYTES = 16
# Prefixes of a prompt by which it may be held, the shortest first.
_MAX_PREFIXES = 32
# Losses and records in one heartbeat.
_MAX_LOSSES = 32
_MAX_RECORDS = 64
# A loss is repeated in heartbeats for this time, as one of them may be lost.
_LOSS_REPEAT_S = 5.0


def job_keys(job: CompletionJob) -> tuple[str, ...]:
    """Keys under which the quarantine may hold a generation.

    They are the hashes of its prefixes, which other prompts share, and a digest of what
    its repeats have in common.
    """
    prefixes = (f"{item.digest:x}" for item in job.prefix_hashes[:_MAX_PREFIXES])
    parts = (job.model, job.organisation, job.prompt)
    return (*prefixes, _content_key(*(part.encode() for part in parts)))


def call_keys(request: CallRequest) -> tuple[str, ...]:
    """Key under which the quarantine may hold a call, whatever its idempotency key."""
    names = (request.service, request.operation, request.organisation)
    return (_content_key(*(name.encode() for name in names), request.body),)


def _content_key(*parts: bytes) -> str:
    digest = blake2b(digest_size=_CONTENT_KEY_BYTES)
    for part in parts:
        # The length keeps two splits of the same bytes apart.
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return request_key(digest.hexdigest())


class JobQuarantine:
    """One entry's part in the quarantine: shared in heartbeats, kept in the table.

    Args:
        table: Client of the table service.
        clock: Clocks of this machine.
        events: Receives each decision.
        metrics: Receives counters and gauges.
        on_news: Called when the other entries should hear of something.
    """

    def __init__(
        self,
        table: TableClient,
        clock: Clock,
        events: EventRing,
        metrics: Metrics,
        on_news: Callable[[], None],
    ) -> None:
        self._table = table
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._on_news = on_news
        self._own_losses: list[EngineLoss] = []
        self._poll: asyncio.Task[None] | None = None
        self.requests = RequestQuarantine(
            KeyQuarantine(),
            self,
            _QuarantineTable(table),
            _ReportedLosses(),
            clock,
            self,
            self,
            lambda: None,
        )

    async def start(self) -> None:
        """Start to follow the table, and to write records there."""
        self.requests.start()
        self._poll = asyncio.create_task(self._follow_table())

    async def close(self) -> None:
        """Stop all tasks."""
        if self._poll is not None:
            self._poll.cancel()
            await asyncio.gather(self._poll, return_exceptions=True)
        await self.requests.close()

    # Exchange with the other entries.

    def update(self) -> QuarantineUpdate | None:
        """What a heartbeat to another entry carries, None if there is nothing."""
        now_s = self._clock.monotonic_s()
        self._own_losses = [
            loss for loss in self._own_losses if now_s - loss.lost_s < _LOSS_REPEAT_S
        ]
        losses = tuple(
            LossNotice(loss.engine, now_s - loss.lost_s, tuple(sorted(loss.prompts)))
            for loss in self._own_losses
        )
        latest = sorted(self.requests.records, key=lambda record: -record.until_ms)
        records = tuple(encode_record(record) for record in latest[:_MAX_RECORDS])
        return QuarantineUpdate(losses, records) if losses or records else None

    def apply(self, update: QuarantineUpdate) -> None:
        """Take what a heartbeat of another entry carries."""
        now_s = self._clock.monotonic_s()
        for notice in update.losses:
            loss = EngineLoss(
                notice.engine, now_s - notice.age_s, frozenset(notice.prompts)
            )
            self.requests.receive_loss(loss)
        for record in update.records:
            self.requests.receive_record(decode_record(record))

    def publish_loss(self, loss: EngineLoss) -> None:
        """Publish the loss of an engine."""
        self._own_losses = [*self._own_losses, loss][-_MAX_LOSSES:]
        self._on_news()

    def publish_completed(self, segments: Iterable[str], sent_s: float) -> None:
        """Do nothing: the record of a release tells the others, with its reason."""

    def publish_record(self, record: QuarantineRecord) -> None:
        """Publish a new record with the next heartbeats."""
        self._on_news()

    # Log and metrics of the quarantine.

    def record(self, decision: str, request_id: str = "", **details: object) -> None:
        """Record a decision as an event."""
        text = ", ".join(f"{name}={value}" for name, value in details.items())
        self._events.record(EventKind.QUARANTINE, f"{decision}: {text}", request_id)

    def record_lost_engine(self, is_down: bool) -> None:
        """Count a loss of an engine."""
        self._metrics.increment("lost_engines", int(is_down))

    def set_held(self, *, segments: int, requests: int) -> None:
        """Set the number of keys that are held or tried."""
        self._metrics.set_gauge("held_keys", segments + requests)

    async def _follow_table(self) -> None:
        while True:
            try:
                rows = await self._table.scan(_ROW_PREFIX, _MAX_ROWS)
            except StoreUnavailable as error:
                self.record("quarantine_not_read", cause=repr(error))
            else:
                self.requests.replace_rows(
                    FeedRow(
                        row.key.removeprefix(_ROW_PREFIX),
                        row.value,
                        split_version(row.version),
                    )
                    for row in rows
                )
            await asyncio.sleep(_POLL_INTERVAL_S)


class _QuarantineTable:
    """Rows of the quarantine in the table service."""

    def __init__(self, table: TableClient) -> None:
        self._table = table

    async def write(self, key: str, value: bytes, version: StoreVersion) -> None:
        key = _ROW_PREFIX + key
        check = Check(key, join_version(version))
        puts = (Put(key, value),)
        await self._table.transact(
            Transaction(new_transaction_id(), (check,), puts=puts)
        )

    async def remove(self, key: str, version: StoreVersion) -> None:
        key = _ROW_PREFIX + key
        check = Check(key, join_version(version))
        await self._table.transact(
            Transaction(new_transaction_id(), (check,), deletes=(key,))
        )


class _ReportedLosses:
    """Stands for a probe: a sidecar reports only crashes of its engine."""

    async def is_down(self, server: BackendServer) -> bool:
        return True
