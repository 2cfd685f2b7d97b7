"""Streams that the engine holds and nobody owns: told to go until they are gone."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from gentianhoist.backends import EngineClient, EngineConnectionError
from gentianhoist.capacity import AdmissionController
from gentianhoist.events import EventKind, EventRing

_RECONCILE_S = 0.5
_RECONCILE_AT_FIRST_S = 0.05


class OrphanStreamReconciler:
    """Reconciles the sidecar's ledger with the engine's list of streams.

    The memory of a stream counts as used until the engine no longer lists it, since an
    order to cancel may be lost. After a restart the sidecar serves only once the engine
    holds nothing of its earlier life.

    Args:
        client: Client of the engine.
        admission: Has the memory's ledger.
        events: Where the engine's coming and going is recorded.
        is_owned: Whether a stream belongs to somebody.
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
        self._strays: set[str] = set()
        self._is_ready = False
        self._task: asyncio.Task[None] | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the engine answers and holds nothing of an earlier life."""
        return self._is_ready

    async def start(self) -> None:
        """Start to reconcile."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop, after a last order to each stray."""
        if self._task is not None:
            self._task.cancel()
        await self._cancel_all()

    def add(self, stream_id: str, tokens: int) -> None:
        """Take a stream that nobody owns any more.

        Args:
            stream_id: Its name in the engine.
            tokens: Memory that it has there.
        """
        self._strays.add(stream_id)
        self._admission.hold(stream_id, tokens)

    async def _run(self) -> None:
        while True:
            try:
                listed = set(await self._client.list_streams())
            except EngineConnectionError as error:
                self._note(False, f"no answer: {error}")
            else:
                self._settle(listed)
                if not self._strays:
                    self._note(True, "the engine answers")
            await self._cancel_all()
            at_first = not self._is_ready
            await asyncio.sleep(_RECONCILE_AT_FIRST_S if at_first else _RECONCILE_S)

    def _note(self, reachable: bool, cause: str) -> None:
        if reachable != self._is_ready:
            self._events.record(EventKind.BACKEND_COLD, cause)
        self._is_ready = reachable

    def _settle(self, listed: set[str]) -> None:
        for name in self._strays - listed:
            self._admission.free(name)
        self._strays &= listed
        self._strays |= {name for name in listed if not self._is_owned(name)}

    async def _cancel_all(self) -> None:
        for name in list(self._strays):
            with contextlib.suppress(EngineConnectionError):
                await self._client.cancel_stream(name)
