"""Reservations of the engine's memory by gangs, each under a lease."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from gentianhoist.capacity import AdmissionController
from gentianhoist.clocks import Clock
from gentianhoist.exceptions import ErrorKind
from gentianhoist.store import HttpPlatform, StoreUnavailable
from gentianhoist.wire import HoldReply, HoldRequest, exported_object


@dataclass
class _Hold:
    tokens: int
    until_s: float
    streams: set[str] = field(default_factory=set)
    objects: set[str] = field(default_factory=set)


class KvReservationLedger:
    """Keeps the ledger of reservations, and frees those whose lease is over.

    Args:
        admission: Has the memory's ledger.
        platform: Has the exported memory.
        clock: This machine's clocks.
        on_orphan: Told each stream that the engine still holds for nobody, with its
            memory in tokens.
    """

    def __init__(
        self,
        admission: AdmissionController,
        platform: HttpPlatform,
        clock: Clock,
        on_orphan: Callable[[str, int], None],
    ) -> None:
        self._admission = admission
        self._platform = platform
        self._clock = clock
        self._on_orphan = on_orphan
        self._holds: dict[str, _Hold] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._holds)

    def is_active(self, name: str) -> bool:
        """Whether a reservation stands."""
        return name in self._holds

    def owns_stream(self, stream_id: str) -> bool:
        """Whether a stream in the engine belongs to a reservation."""
        return any(stream_id in hold.streams for hold in self._holds.values())

    def reserve(self, request: HoldRequest) -> HoldReply:
        """Reserve memory, at once or not at all; waiting could block two gangs."""
        if request.hold not in self._holds:
            if not self._admission.hold(request.hold, request.tokens):
                return HoldReply(False, ErrorKind.OVERLOADED, "the memory is taken")
            self._holds[request.hold] = _Hold(request.tokens, 0.0)
        return self.renew(request)

    def renew(self, request: HoldRequest) -> HoldReply:
        """Renew a lease; a reservation that is lost stays lost."""
        hold = self._holds.get(request.hold)
        if hold is None:
            return HoldReply(False, ErrorKind.FENCED, "the reservation is lost")
        hold.until_s = self._clock.elapsed_s() + request.lease_s
        return HoldReply(True)

    def release(self, name: str) -> HoldReply:
        """Free a reservation and what the engine holds for it."""
        hold = self._holds.pop(name, None)
        if hold is not None:
            self._admission.free(name)
            for place, stream_id in enumerate(sorted(hold.streams)):
                self._on_orphan(stream_id, 0 if place else hold.tokens)
            for found in hold.objects:
                self._spawn(self._delete(found))
        return HoldReply(False)

    def release_expired(self) -> None:
        """Free every reservation whose lease is over."""
        now_s = self._clock.elapsed_s()
        for name in [name for name, h in self._holds.items() if h.until_s <= now_s]:
            self.release(name)

    def attach_stream(self, name: str, stream_id: str) -> None:
        """A stream in the engine now belongs to a reservation."""
        hold = self._holds.get(name)
        if hold is not None:
            hold.streams.add(stream_id)

    def clear(self) -> None:
        """The engine has lost its memory, and with it every reservation."""
        # The exports stay: the parts are recovered from them elsewhere, and whoever
        # imports one deletes it in the end.
        self._holds.clear()

    async def store_export(self, name: str, data: bytes) -> None:
        """Keep a part's memory in the object store, to recover it elsewhere."""
        hold = self._holds.get(name)
        if hold is None:
            return
        try:
            await self._platform.put_object(exported_object(name), data)
        except StoreUnavailable:
            return
        hold.objects.add(exported_object(name))

    async def claim_export(self, name: str, object_name: str) -> bool:
        """Whether exported memory can be fetched; the reservation then owns it.

        Args:
            name: Name of the reservation.
            object_name: Name of the object.
        """
        hold = self._holds.get(name)
        if hold is not None:
            hold.objects.add(object_name)
        try:
            return bool(await self._platform.get_object(object_name))
        except StoreUnavailable:
            return False

    def _spawn(self, coroutine) -> None:  # type: ignore[no-untyped-def]
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _delete(self, name: str) -> None:
        try:
            await self._platform.delete_object(name)
        except StoreUnavailable:
            return
