"""Reserves KV cache on the engines of a placement, and keeps the leases."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from gentianhoist.dispatch._context import DispatchContext
from gentianhoist.dispatch._interfaces import ReservationStatus
from gentianhoist.dispatch._request import Request
from gentianhoist.fleet import BackendServer
from gentianhoist.placement import Placement
from gentianhoist.ratelimits import SendPermit

__all__ = ["KvReserver", "ReservedPlacement"]

_RENEWAL_INTERVAL_RATIO = 0.4


@dataclass
class ReservedPlacement:
    """A placement of one prompt with its commitments and KV reservations.

    Attributes:
        id: Id of the commitments and of the KV reservations.
        placement: The chosen engines.
        urgency: Scheduling rank at the engine, 0 first.
        permit: Tokens of the engines' rate limits.
        helpers: Engines that prefill a share of the prompt, each with the id of its KV
            reservation, or None without one.
        decode_reservation_id: Id of the KV reservation at the decode engine, if any.
        reservation_holders: Engines that hold a KV reservation of this prompt, or may
            hold one because the request was sent; the decode engine first.
        renewal_task: Task that renews the leases of the reservations.
        on_decode_engine_lost: Called when the decode engine is found unreachable, while
            the request may resume on another engine.
    """

    id: str
    placement: Placement
    urgency: int
    permit: SendPermit
    helpers: tuple[tuple[BackendServer, str | None], ...] = ()
    decode_reservation_id: str | None = None
    reservation_holders: list[BackendServer] = field(default_factory=list)
    renewal_task: asyncio.Task[None] | None = None
    on_decode_engine_lost: Callable[[], None] | None = None


class KvReserver:
    """Reserves, renews and releases the KV cache of one prompt.

    Args:
        context: What all requests share.
        request: The admitted request.
    """

    def __init__(self, context: DispatchContext, request: Request) -> None:
        self._context = context
        self._state = context.state
        self._request = request
        self._loop = asyncio.get_running_loop()

    def release(self, reserved: ReservedPlacement) -> None:
        """Release the reservations; idempotent."""
        if reserved.renewal_task is not None:
            reserved.renewal_task.cancel()
            reserved.renewal_task = None
        for server in reserved.reservation_holders:
            self._context.run_in_background(
                self._context.kv_reservations.release(server, reserved.id)
            )
        reserved.reservation_holders = []

    async def reserve(self, reserved: ReservedPlacement) -> bool:
        """Reserve KV cache if the free KV cache of one engine is too small.

        Returns:
            Whether all engines granted their reservation, or none was needed.
        """
        placement = reserved.placement
        tokens = placement.reserved_kv_tokens_per_engine
        if not tokens:
            reserved.helpers = tuple((server, None) for server in placement.helpers)
            return True
        lease_s = self._state.policy.kv_lease_s
        engines = [placement.decode_engine, *placement.helpers]
        reserved.reservation_holders = engines
        results = await asyncio.gather(
            *(
                self._context.kv_reservations.reserve(
                    server, reserved.id, tokens, lease_s
                )
                for server in engines
            )
        )
        refused_ids = [
            server.id
            for server, result in zip(engines, results, strict=True)
            if result is not ReservationStatus.HELD
        ]
        if refused_ids:
            self._request.excluded_ids.update(refused_ids)
            self._context.log.record(
                "reservation_refused",
                self._request.call.id,
                servers=refused_ids,
                tokens=tokens,
            )
            return False
        reserved.helpers = tuple((server, reserved.id) for server in placement.helpers)
        reserved.decode_reservation_id = reserved.id
        reserved.renewal_task = self._loop.create_task(
            self._renew_reservations(reserved, tokens)
        )
        return True

    async def _renew_reservations(
        self, reserved: ReservedPlacement, tokens: int
    ) -> None:
        """Renew the KV reservations, and abandon an unreachable decode engine.

        An engine that lost power sends nothing that would end the stream, so it is
        detected here: when it is unreachable twice in a row.
        """
        lease_s = self._state.policy.kv_lease_s
        kv_reservations = self._context.kv_reservations
        while True:
            await asyncio.sleep(lease_s * _RENEWAL_INTERVAL_RATIO)
            results = await asyncio.gather(
                *(
                    kv_reservations.reserve(server, reserved.id, tokens, lease_s)
                    for server in reserved.reservation_holders
                )
            )
            if (
                results[0] is not ReservationStatus.UNREACHABLE
                or ReservationStatus.HELD not in results
            ):
                # Only an unreachable decode engine is abandoned. If no reservation was
                # renewed, this entry itself may be partitioned.
                continue
            server = reserved.reservation_holders[0]
            again = await kv_reservations.reserve(server, reserved.id, tokens, lease_s)
            if again is not ReservationStatus.UNREACHABLE:
                continue
            self._context.log.record(
                "first_engine_gone", self._request.call.id, server=server.id
            )
            if reserved.on_decode_engine_lost is not None:
                reserved.on_decode_engine_lost()
