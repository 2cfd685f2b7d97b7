"""Cancellation of engine streams that belong to no attempt and no reservation."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from gentianhoist.backends import EngineClient, EngineConnectionError
from gentianhoist.capacity import AdmissionController
from gentianhoist.events import EventKind, EventRing

_RECONCILE_PERIOD_S = 0.5
_NOT_READY_PERIOD_S = 0.05


class OrphanStreamReconciler:
    """Reconciles the sidecar's streams with the engine's, and cancels the orphans.

    An orphan is a stream in the engine that belongs to no attempt and no reservation.
    A request to cancel may be lost, so it is repeated until the engine no longer lists
    the stream, and the KV cache of a stream passed to `add` counts as used until then.
    After a restart the sidecar serves only once the engine has no streams left of an
    earlier incarnation of the sidecar.

    Args:
        client: Client of the engine.
        admission: Admission controller, which accounts for the engine's KV cache.
        events: Event ring that records when the engine becomes ready or unreachable.
        is_owned: Returns whether a stream belongs to an attempt or a reservation.
    """

    def __init__(
        self,
        client: EngineClient,
        admission: AdmissionController,
        events: EventRing,
        is_owned: Callable[[str], bool],
    ) -> None:
        self._client = client
        self._admission = admission
        self._events = events
        self._is_owned = is_owned
        self._orphans: set[str] = set()
        self._is_ready = False
        self._task: asyncio.Task[None] | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the engine responds; at first contact, only without orphans.

        The same holds at the first contact after an outage of the engine. Orphans that
        come up later leave the engine ready.
        """
        return self._is_ready

    async def start(self) -> None:
        """Start to reconcile in the background."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop, after a last request to cancel each orphan."""
        if self._task is not None:
            self._task.cancel()
        await self._cancel_all()

    def add(self, stream_id: str, tokens: int) -> None:
        """Add a stream that has lost its owner, to be cancelled until it is gone.

        Args:
            stream_id: Identifier of the stream in the engine.
            tokens: KV cache to reserve for it until then, in tokens.
        """
        self._orphans.add(stream_id)
        self._admission.hold(stream_id, tokens)

    async def _run(self) -> None:
        while True:
            try:
                engine_stream_ids = set(await self._client.list_streams())
            except EngineConnectionError as error:
                self._set_ready(False, f"the engine does not respond: {error}")
            else:
                self._reconcile(engine_stream_ids)
                if not self._orphans:
                    self._set_ready(
                        True, "the engine responds and has no orphan streams"
                    )
            await self._cancel_all()
            is_not_ready = not self._is_ready
            await asyncio.sleep(
                _NOT_READY_PERIOD_S if is_not_ready else _RECONCILE_PERIOD_S
            )

    def _set_ready(self, is_ready: bool, cause: str) -> None:
        if is_ready != self._is_ready:
            self._events.record(EventKind.BACKEND_COLD, cause)
        self._is_ready = is_ready

    def _reconcile(self, engine_stream_ids: set[str]) -> None:
        for stream_id in self._orphans - engine_stream_ids:
            self._admission.free(stream_id)
        self._orphans &= engine_stream_ids
        self._orphans |= {
            stream_id
            for stream_id in engine_stream_ids
            if not self._is_owned(stream_id)
        }

    async def _cancel_all(self) -> None:
        for stream_id in list(self._orphans):
            with contextlib.suppress(EngineConnectionError):
                await self._client.cancel_stream(stream_id)
