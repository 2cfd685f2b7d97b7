"""Places one prompt on engines, with its commitments and its tickets."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from gentianhoist.dispatch._ports import Reservation
from gentianhoist.dispatch._request import Request
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.fleet import BackendServer, EngineProfile
from gentianhoist.placement import (
    Candidate,
    Commitment,
    Demand,
    Placement,
    Refused,
    Unplaced,
    Waiting,
    place,
    should_wait,
)

if TYPE_CHECKING:
    from gentianhoist.dispatch._sending import Sender
    from gentianhoist.dispatch.core import Dispatcher

__all__ = ["Placer", "Reserved"]

_BASE_VALUE = 1.0
_TOKENS_PER_VALUE = 10_000
_SHORT_URGENCY = 3
_LONG_URGENCY = 6
_LONG_TOKENS = 30_000
_MIN_STEP_S = 0.001
_RENEW_RATIO = 0.4
# Engines that read a long prompt together, for the time that it takes at the least.
_USUAL_ENGINES = 4
_LONG_READ_S = 0.15
# How long before a caller leaves in silence its first event is expected.
_SILENCE_MARGIN_S = 0.3
_SHORT_RETRY_S = 0.01
_LONG_RETRY_S = 0.1
# Time after which other engines are tried where memory wasn't granted.
_RESERVE_AGAIN_S = 0.05
_numbers = itertools.count()


@dataclass
class Reserved:
    """Engines that a prompt has.

    Attributes:
        id: Id of its commitments.
        placement: The engines.
        urgency: Its rank at the engine.
        helpers: Engines that read parts, each with its ticket or nothing.
        own_ticket: Ticket at the first engine, if it has one.
        holders: Engines that hold a ticket of it, or may have been given one.
        renewal: Renews the tickets.
        first_is_gone: Called when the engine that answers is found to be gone, while
            the request may go on at another.
    """

    id: str
    placement: Placement
    urgency: int
    helpers: tuple[tuple[BackendServer, str | None], ...] = ()
    own_ticket: str | None = None
    holders: list[BackendServer] = field(default_factory=list)
    renewal: asyncio.Task[None] | None = None
    first_is_gone: Callable[[], None] | None = None


class Placer:
    """Finds engines for one prompt, now or when there is room.

    Args:
        dispatcher: What decides, and what all requests share.
        request: The request.
        sender: Knows which servers may be asked.
    """

    def __init__(
        self, dispatcher: Dispatcher, request: Request, sender: Sender
    ) -> None:
        self._dispatcher = dispatcher
        self._state = dispatcher.state
        self._request = request
        self._sender = sender
        self._loop = asyncio.get_running_loop()

    async def place(self) -> Reserved:
        """Find engines, wait for them if need be, and reserve what has to be.

        Raises:
            HoistError: If there is no room in time.
        """
        while True:
            id_ = f"{self._dispatcher.peers.entry}.{next(_numbers)}"
            reserved = await self._commit(id_)
            try:
                granted = await self._take_tickets(reserved)
            except BaseException:
                self.release(reserved)
                raise
            if granted:
                return reserved
            self.release(reserved)
            await asyncio.sleep(_RESERVE_AGAIN_S)

    def first_event(self, reserved: Reserved, after_s: float) -> None:
        """Take note of the first event of the stream."""
        now_s = self._dispatcher.clock.elapsed_s()
        self._state.ledger.first_event(reserved.id, now_s)
        self._dispatcher.peers.publish_first_event(reserved.id)
        expected_s = reserved.placement.first_event_s
        ratio = after_s / max(0.02, expected_s)
        server = reserved.placement.first
        self._state.evidence.of(server.incarnation).succeeded(now_s, ratio)
        self._dispatcher.pump.wake()

    def release(self, reserved: Reserved) -> None:
        """Give everything back; safe to call more than once."""
        self._end(reserved.id)
        if reserved.renewal is not None:
            reserved.renewal.cancel()
            reserved.renewal = None
        for server in reserved.holders:
            self._dispatcher.background(
                self._dispatcher.orders.release(server, reserved.id)
            )
        reserved.holders = []

    def _end(self, id_: str) -> None:
        self._state.ledger.end(id_)
        self._dispatcher.peers.publish_ended(id_)
        self._dispatcher.pump.wake()

    async def _commit(self, id_: str) -> Reserved:
        """Engines for the prompt, with the commitments that the others hear of."""
        try:
            placement = await self._engines(id_)
        except BaseException:
            self._end(id_)
            raise
        reserved = Reserved(id_, placement, self._urgency())
        self._log(reserved)
        return reserved

    async def _engines(self, id_: str) -> Placement:
        if self._state.queue.passable:
            placement = self._try(id_)
            if not isinstance(placement, Unplaced):
                return placement
        item = self._waiting(id_)
        if self._state.queue.full:
            raise self._no_room(Refused("too many requests wait", 0.5))
        self._state.queue.join(item)
        self._dispatcher.pump.wake()
        self._dispatcher.log.record(
            "waiting", self._request.call.id, queue=len(self._state.queue)
        )
        try:
            result = await item.result
        finally:
            self._state.queue.leave(item)
        if isinstance(result, Refused):
            raise self._no_room(result)
        return result

    def _waiting(self, id_: str) -> Waiting:
        demand = self._demand()
        profile = self._profile()
        now_s = self._dispatcher.clock.elapsed_s()
        long = profile.read_s(demand.prompt_tokens) > _LONG_READ_S
        return Waiting(
            demand,
            now_s + max(0.0, self._slack_s(demand)),
            self._request.priority,
            lambda: self._try(id_),
            self._loop.create_future(),
            self._request.organisation_name,
            _LONG_RETRY_S if long else _SHORT_RETRY_S,
        )

    def _slack_s(self, demand: Demand) -> float:
        """Seconds that it can wait before its caller leaves or its time is over."""
        read_s = self._profile().read_s(demand.prompt_tokens)
        first_s = read_s / _USUAL_ENGINES
        now_s = self._loop.time()
        silence_s = self._request.silence_ends_s - now_s - _SILENCE_MARGIN_S
        end_s = self._request.left_s(now_s) - self._write_s(demand)
        return min(silence_s, end_s) - first_s

    def _try(self, id_: str) -> Placement | Unplaced:
        """Choose engines on the loads of this moment, and commit them."""
        now_s = self._dispatcher.clock.elapsed_s()
        demand = self._demand()
        rule = self._state.policy.rule
        placement = place(
            rule,
            demand,
            self._candidates(),
            self._profile(),
            now_s,
            self._state.rng,
        )
        if placement is None:
            return Unplaced.NO_ROOM
        if should_wait(rule, demand, placement, self._slack_s(demand)):
            return Unplaced.WORTH_WAITING
        for commitment in self._commitments(id_, demand, placement, now_s):
            self._state.ledger.add(commitment, now_s)
            self._dispatcher.peers.publish_added(commitment, now_s)
        self._state.queue.charge(
            self._request.organisation_name, demand.kv_tokens, now_s
        )
        return placement

    def _candidates(self) -> list[Candidate]:
        now_s = self._dispatcher.clock.elapsed_s()
        group = self._sender.group
        found = []
        for server in self._sender.candidates():
            evidence = self._state.evidence.of(server.incarnation)
            found.append(
                Candidate(
                    server,
                    self._state.ledger.load(server.id),
                    max(1.0, evidence.slowness),
                    evidence.penalty(now_s),
                    self._state.stream_order(server.id),
                    self._state.may_start_cold(server, group, now_s),
                )
            )
        return found

    def _commitments(
        self, id_: str, demand: Demand, placement: Placement, now_s: float
    ) -> list[Commitment]:
        expires_s = now_s + max(0.0, self._request.left_s(self._loop.time())) + 1.0
        first_kv = demand.kv_tokens
        if placement.helper_kv_tokens:
            first_kv = placement.helper_kv_tokens
        own = Commitment(
            id_,
            placement.first.id,
            False,
            placement.part_read_s,
            self._write_s(demand),
            first_kv,
            demand.pause_goal_s,
            demand.value,
            now_s + demand.goal_left_s,
            expires_s,
        )
        parts = [
            own._replace(
                server_id=helper.id,
                helper=True,
                kv_tokens=placement.helper_kv_tokens,
            )
            for helper in placement.helpers
        ]
        return [own, *parts]

    async def _take_tickets(self, reserved: Reserved) -> bool:
        """Reserve the helpers' memory, if the prompt needs it."""
        placement = reserved.placement
        tokens = placement.helper_kv_tokens
        if not tokens:
            reserved.helpers = tuple((server, None) for server in placement.helpers)
            return True
        hold_s = self._state.policy.hold_s
        engines = [placement.first, *placement.helpers]
        reserved.holders = engines
        results = await asyncio.gather(
            *(
                self._dispatcher.orders.reserve(server, reserved.id, tokens, hold_s)
                for server in engines
            )
        )
        without = [
            server.id
            for server, result in zip(engines, results, strict=True)
            if result is not Reservation.HELD
        ]
        if without:
            self._request.avoid.update(without)
            self._dispatcher.log.record(
                "reservation_refused",
                self._request.call.id,
                servers=without,
                tokens=tokens,
            )
            return False
        reserved.helpers = tuple((server, reserved.id) for server in placement.helpers)
        reserved.own_ticket = reserved.id
        reserved.renewal = self._loop.create_task(self._renew(reserved, tokens))
        return True

    async def _renew(self, reserved: Reserved, tokens: int) -> None:
        """Renew the tickets; an engine that lost power shows by not answering."""
        hold_s = self._state.policy.hold_s
        orders = self._dispatcher.orders
        while True:
            await asyncio.sleep(hold_s * _RENEW_RATIO)
            results = await asyncio.gather(
                *(
                    orders.reserve(server, reserved.id, tokens, hold_s)
                    for server in reserved.holders
                )
            )
            if results[0] is not Reservation.GONE or Reservation.HELD not in results:
                # Where none answers, it is this entry that is cut off.
                continue
            server = reserved.holders[0]
            again = await orders.reserve(server, reserved.id, tokens, hold_s)
            if again is not Reservation.GONE:
                continue
            self._dispatcher.log.record(
                "first_engine_gone", self._request.call.id, server=server.id
            )
            if reserved.first_is_gone is not None:
                reserved.first_is_gone()

    def _demand(self) -> Demand:
        call = self._request.call
        waited_s = self._loop.time() - call.received_s
        return Demand(
            call.prompt_tokens,
            call.answer_tokens,
            self._request.route.goal_s - waited_s,
            self._request.route.pause_goal_s,
            _BASE_VALUE + call.prompt_tokens / _TOKENS_PER_VALUE,
        )

    def _write_s(self, demand: Demand) -> float:
        return demand.answer_tokens * max(_MIN_STEP_S, self._profile().step_s)

    def _profile(self) -> EngineProfile:
        profile = self._sender.group.engine
        if profile is None:
            raise HoistError(
                ErrorKind.NO_BACKEND_SERVER,
                "the route's group has no model engines",
                retry_after_s=0.5,
            )
        return profile

    def _urgency(self) -> int:
        long = self._request.call.prompt_tokens >= _LONG_TOKENS
        return _LONG_URGENCY if long else _SHORT_URGENCY

    def _no_room(self, refused: Refused) -> HoistError:
        if self._request.may_have_run:
            return HoistError(ErrorKind.BACKEND_FAILED, refused.reason)
        spread = 0.5 + self._state.rng.random()
        return HoistError(
            ErrorKind.OVERLOADED,
            refused.reason,
            retry_after_s=refused.retry_after_s * spread,
        )

    def _log(self, reserved: Reserved) -> None:
        placement = reserved.placement
        now_s = self._dispatcher.clock.elapsed_s()
        load = self._state.ledger.load(placement.first.id)
        self._dispatcher.log.record(
            "placed",
            self._request.call.id,
            server=placement.first.id,
            helpers=[server.id for server in placement.helpers],
            part_read_s=round(placement.part_read_s, 4),
            expected_first_event_s=round(placement.first_event_s, 4),
            own_loss=round(placement.own_loss, 3),
            damage=round(placement.damage, 3),
            tickets_tokens=placement.helper_kv_tokens,
            streams=len(load.writers),
            backlog_s=round(load.backlog_s(now_s), 4),
            directory_age_s=round(self._state.directory.age_s(now_s), 3),
            configuration=self._request.version,
        )
