"""Leased KV cache reservations, for prompts that several engines prefill together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from gentianhoist.capacity import AdmissionController
from gentianhoist.clocks import Clock
from gentianhoist.exceptions import ErrorKind
from gentianhoist.store import HttpPlatform, StoreUnavailable
from gentianhoist.wire import (
    ReservationReply,
    ReservationRequest,
    exported_kv_object_name,
)


@dataclass
class _Reservation:
    tokens: int
    expires_s: float
    stream_ids: set[str] = field(default_factory=set)
    object_names: set[str] = field(default_factory=set)


class KvReservationLedger:
    """Ledger of the KV cache reservations of one engine.

    A reservation owns the engine streams that prefill under it and the exported KV
    cache objects in the object store. Both are freed with it.

    Args:
        admission: Admission controller, which accounts for the engine's KV cache.
        object_store: Object store of the exported KV cache.
        clock: Clocks of this machine.
        on_orphan: Called with each engine stream that a released reservation leaves
            behind, and with the KV cache to account for it, in tokens.
    """

    def __init__(
        self,
        admission: AdmissionController,
        object_store: HttpPlatform,
        clock: Clock,
        on_orphan: Callable[[str, int], None],
    ) -> None:
        self._admission = admission
        self._object_store = object_store
        self._clock = clock
        self._on_orphan = on_orphan
        self._reservations: dict[str, _Reservation] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._reservations)

    def is_active(self, reservation_id: str) -> bool:
        """Whether a reservation with this identifier exists."""
        return reservation_id in self._reservations

    def owns_stream(self, stream_id: str) -> bool:
        """Whether a stream in the engine belongs to a reservation."""
        return any(
            stream_id in reservation.stream_ids
            for reservation in self._reservations.values()
        )

    def reserve(self, request: ReservationRequest) -> ReservationReply:
        """Reserve KV cache at once, or refuse.

        Requests do not queue: two requests that each hold a reservation on one engine
        and wait for the other engine would block each other.

        Args:
            request: Identifier, size and lease of the reservation. An existing
                reservation with that identifier is renewed.

        Returns:
            Whether the reservation is active, and the reason if it is not.
        """
        if request.reservation_id not in self._reservations:
            if not self._admission.hold(request.reservation_id, request.tokens):
                return ReservationReply(
                    False, ErrorKind.OVERLOADED, "not enough free KV cache"
                )
            self._reservations[request.reservation_id] = _Reservation(
                request.tokens, 0.0
            )
        return self.renew(request)

    def renew(self, request: ReservationRequest) -> ReservationReply:
        """Renew the lease of a reservation.

        A reservation that has expired or was lost is not created anew: the KV cache
        that it protected may be gone.

        Args:
            request: Identifier of the reservation and duration of the lease.

        Returns:
            Whether the reservation is active, and the reason if it is not.
        """
        reservation = self._reservations.get(request.reservation_id)
        if reservation is None:
            return ReservationReply(
                False, ErrorKind.FENCED, "the reservation has expired or was lost"
            )
        reservation.expires_s = self._clock.monotonic_s() + request.lease_s
        return ReservationReply(True)

    def release(self, reservation_id: str) -> ReservationReply:
        """Release a reservation with its engine streams and exported objects.

        Args:
            reservation_id: Identifier of the reservation; an unknown one has no effect.

        Returns:
            A reply that the reservation is not active.
        """
        reservation = self._reservations.pop(reservation_id, None)
        if reservation is not None:
            self._admission.free(reservation_id)
            # Only the total is known, so the first stream accounts for all of it.
            for index, stream_id in enumerate(sorted(reservation.stream_ids)):
                self._on_orphan(stream_id, 0 if index else reservation.tokens)
            for object_name in reservation.object_names:
                self._spawn(self._delete(object_name))
        return ReservationReply(False)

    def release_expired(self) -> None:
        """Release every reservation whose lease has expired."""
        now_s = self._clock.monotonic_s()
        for reservation_id in [
            reservation_id
            for reservation_id, reservation in self._reservations.items()
            if reservation.expires_s <= now_s
        ]:
            self.release(reservation_id)

    def attach_stream(self, reservation_id: str, stream_id: str) -> None:
        """Make a reservation the owner of a stream in the engine.

        Args:
            reservation_id: Identifier of the reservation; an unknown one has no effect.
            stream_id: Identifier of the stream.
        """
        reservation = self._reservations.get(reservation_id)
        if reservation is not None:
            reservation.stream_ids.add(stream_id)

    def clear(self) -> None:
        """Forget all reservations, after a restart of the engine lost its KV cache."""
        # The exported objects stay: other engines recover the KV cache from them, and
        # the reservation that imports an object deletes it in the end.
        self._reservations.clear()

    async def store_export(self, reservation_id: str, data: bytes) -> None:
        """Store exported KV cache in the object store, to recover it on another engine.

        A failure of the store is ignored.

        Args:
            reservation_id: Identifier of the reservation; an unknown one has no effect.
            data: The exported KV cache.
        """
        reservation = self._reservations.get(reservation_id)
        if reservation is None:
            return
        try:
            await self._object_store.put_object(
                exported_kv_object_name(reservation_id), data
            )
        except StoreUnavailable:
            return
        reservation.object_names.add(exported_kv_object_name(reservation_id))

    async def claim_export(self, reservation_id: str, object_name: str) -> bool:
        """Make a reservation the owner of exported KV cache, and check that it exists.

        The fetched data is discarded; only its presence counts.

        Args:
            reservation_id: Identifier of the reservation.
            object_name: Name of the object, deleted on release of the reservation.

        Returns:
            Whether the object can be fetched and is not empty.
        """
        reservation = self._reservations.get(reservation_id)
        if reservation is not None:
            reservation.object_names.add(object_name)
        try:
            return bool(await self._object_store.get_object(object_name))
        except StoreUnavailable:
            return False

    def _spawn(self, coroutine) -> None:  # type: ignore[no-untyped-def]
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _delete(self, object_name: str) -> None:
        try:
            await self._object_store.delete_object(object_name)
        except StoreUnavailable:
            return
