"""Places one prompt on engines, with commitments and KV cache reservations."""

from __future__ import annotations

import asyncio
import itertools

from gentianhoist.admission import RefuseNow, ServeNow
from gentianhoist.dispatch._context import DispatchContext
from gentianhoist.dispatch._engine_candidates import (
    EngineCandidates,
    all_candidates,
    shortlisted_candidates,
)
from gentianhoist.dispatch._kv_reserver import KvReserver, ReservedPlacement
from gentianhoist.dispatch._placement_constraints import PlacementConstraints
from gentianhoist.dispatch._prompt_estimates import PromptEstimates
from gentianhoist.dispatch._request import Request
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.fleet import BackendServer
from gentianhoist.placement import (
    GANG,
    ONE_ENGINE,
    STOP_REFUSAL,
    Candidate,
    Commitment,
    Demand,
    Placement,
    PlacementRefused,
    QueuedRequest,
    RefusalCause,
    UnplacedReason,
    place,
    should_wait,
    suits_one_engine,
)
from gentianhoist.ratelimits import expected_wait_s

__all__ = ["PromptPlacer"]

# Prefill time above which an unplaced prompt is retried at the longer interval.
_LONG_PREFILL_THRESHOLD_S = 0.15
_SHORT_PREFILL_RETRY_INTERVAL_S = 0.01
_LONG_PREFILL_RETRY_INTERVAL_S = 0.1
# Delay before other engines are tried after a refused KV reservation.
_RESERVE_RETRY_DELAY_S = 0.05
_MAX_LOGGED_SEGMENTS = 8
_FULL_RETRY_AFTER_S = 0.5
# Fraction of an engine's KV cache from which on a prompt may fit on few engines.
_LARGE_KV_RATIO = 0.3
# Longest time that a prompt waits for the rate limits of the engines.
_MAX_RATE_LIMITED_WAIT_S = 1.0
_ERROR_KINDS = {
    RefusalCause.CAPACITY: ErrorKind.OVERLOADED,
    RefusalCause.RATE_LIMITED: ErrorKind.BACKEND_RATE_LIMITED,
    RefusalCause.STOPPING: ErrorKind.LEAVING,
}
_commitment_numbers = itertools.count()


class PromptPlacer:
    """Finds engines for one prompt, at once or after waiting in the queue.

    Args:
        context: DispatchContext with the state that all requests share.
        request: The admitted request.
        constraints: Limits the choice of engines.
    """

    def __init__(
        self,
        context: DispatchContext,
        request: Request,
        constraints: PlacementConstraints,
    ) -> None:
        self._context = context
        self._state = context.state
        self._request = request
        self._constraints = constraints
        self._estimates = PromptEstimates(context, request, constraints)
        self._is_arrival_counted = False
        self._kv = KvReserver(context, request)
        self._permit = context.rate_limits.permit(())
        self._loop = asyncio.get_running_loop()

    async def place(self) -> ReservedPlacement:
        """Choose engines, wait for capacity if needed, and reserve KV cache.

        Returns:
            The placement, to be passed to `release` later.

        Raises:
            HoistError: If no engine has capacity in time.
        """
        while True:
            self._constraints.raise_if_quarantined()
            id_ = f"{self._context.peers.incarnation}.{next(_commitment_numbers)}"
            reserved = await self._acquire_placement(id_)
            try:
                granted = await self._kv.reserve(reserved)
            except BaseException:
                self.release(reserved)
                raise
            if granted:
                return reserved
            self.release(reserved)
            await asyncio.sleep(_RESERVE_RETRY_DELAY_S)

    def has_place_without(self, server: BackendServer) -> bool:
        """Whether the prompt finds a place at once if an engine is given up.

        Args:
            server: The engine that it was sent to.
        """
        now_s = self._context.clock.monotonic_s()
        if not self._state.queue.can_bypass(self._request.organisation_name, now_s):
            return False
        demand = self._estimates.demand()
        servers = [
            other for other in self._constraints.servers() if other.id != server.id
        ]
        engines = self._engine_candidates(demand, servers, now_s)
        if not any(item.is_within_rate_limit for item in engines.candidates):
            return False
        placement = self._choose_engines(demand, servers, engines, now_s)
        return placement is not None and not should_wait(
            self._state.policy.placement_rule,
            demand,
            placement,
            self._estimates.slack_until_stop_s(demand),
        )

    def record_first_event(self, reserved: ReservedPlacement, after_s: float) -> None:
        """Record the first event of the stream.

        Args:
            reserved: The placement.
            after_s: Seconds from the send to the event.
        """
        now_s = self._context.clock.monotonic_s()
        self._state.ledger.record_first_event(reserved.id, now_s)
        self._context.peers.publish_first_event(reserved.id)
        expected_s = reserved.placement.expected_ttft_s
        # The floor keeps the ratio meaningful when almost no wait is expected.
        ratio = after_s / max(0.02, expected_s)
        server = reserved.placement.decode_engine
        self._state.server_health.record_success(server.incarnation, now_s, ratio)
        self._context.queue_scheduler.request_scan()

    def release(self, reserved: ReservedPlacement) -> None:
        """Release commitments and KV reservations; idempotent."""
        self._end_commitments(reserved.id)
        self._kv.release(reserved)
        reserved.permit.release()

    def _end_commitments(self, id_: str) -> None:
        self._state.ledger.remove(id_, self._context.clock.monotonic_s())
        self._context.peers.publish_ended(id_)
        self._context.queue_scheduler.request_scan()

    async def _acquire_placement(self, id_: str) -> ReservedPlacement:
        """Choose engines and publish the commitments to the other entries."""
        try:
            self._constraints.raise_if_all_pause()
            item = self._queue_item(id_)
            placement = await self._place_or_wait(id_, item)
        except BaseException:
            self._end_commitments(id_)
            self._permit.release()
            raise
        reserved = ReservedPlacement(
            id_, placement, self._estimates.urgency, self._permit
        )
        self._log_placed(reserved, item)
        return reserved

    async def _place_or_wait(self, id_: str, item: QueuedRequest) -> Placement:
        ahead = self._state.queue.rate_limited(item.group)
        now_s = self._context.clock.monotonic_s()
        may_place_now = self._is_admitted(item)
        if may_place_now and self._state.queue.can_bypass(item.organisation, now_s):
            placement = UnplacedReason.RATE_LIMITED
            if not ahead:
                placement = self._try_place(id_, is_rate_limited=False)
            if isinstance(placement, Placement):
                return placement
            if placement is UnplacedReason.RATE_LIMITED:
                self._limit_wait(item, ahead)
        if self._state.queue.is_full:
            raise self._refusal_error(self._full_refusal(item))
        self._state.queue.add(item)
        self._context.queue_scheduler.request_scan()
        self._context.admission.publish()
        self._context.log.record(
            "waiting", self._request.call.id, queue=len(self._state.queue)
        )
        try:
            result = await item.result
        finally:
            self._state.queue.remove(item)
        if isinstance(result, PlacementRefused):
            self._constraints.raise_if_quarantined()
            self._constraints.raise_if_all_pause()
            raise self._refusal_error(result)
        return result

    def _is_admitted(self, item: QueuedRequest) -> bool:
        """Whether a prompt may be placed now; otherwise it waits.

        Raises:
            HoistError: If it can't be placed before its deadline.
        """
        if not self._is_arrival_counted:
            self._is_arrival_counted = True
            self._context.admission.record_arrival(item.group, item.priority)
        decision = self._context.admission.decide(item, self._request.call.id)
        if isinstance(decision, RefuseNow):
            raise self._refusal_error(
                PlacementRefused(
                    "too many requests wait for engines",
                    decision.retry_after_s,
                    is_spread=True,
                )
            )
        return isinstance(decision, ServeNow)

    def _full_refusal(self, item: QueuedRequest) -> PlacementRefused:
        retry_after_s = self._context.admission.retry_after_s(item)
        return PlacementRefused(
            "the queue for engines is full",
            _FULL_RETRY_AFTER_S if retry_after_s is None else retry_after_s,
            is_spread=retry_after_s is not None,
        )

    def _limit_wait(self, item: QueuedRequest, ahead: int) -> None:
        """Let a prompt wait for rate limits, or refuse it if that would take too long.

        One that may have run can't be refused, so it waits as long as possible.

        Args:
            item: The prompt.
            ahead: Number of prompts that wait for the same engines already.
        """
        now_s = self._context.clock.monotonic_s()
        limits = self._state.rate_limits
        servers = self._constraints.servers()
        wait_s = expected_wait_s(limits, servers, ahead, now_s)
        item.rate_limited_since_s = now_s
        if self._request.may_have_run:
            return
        item.latest_start_s = min(item.latest_start_s, now_s + _MAX_RATE_LIMITED_WAIT_S)
        if now_s + wait_s > item.latest_start_s:
            raise self._refusal_error(
                PlacementRefused(
                    UnplacedReason.RATE_LIMITED.value,
                    wait_s,
                    RefusalCause.RATE_LIMITED,
                )
            )

    def _queue_item(self, id_: str) -> QueuedRequest:
        def try_place(
            is_rate_limited: bool,
        ) -> Placement | UnplacedReason | PlacementRefused:
            return self._try_place(id_, is_rate_limited=is_rate_limited)

        demand = self._estimates.demand()
        now_s = self._context.clock.monotonic_s()
        has_long_prefill = self._estimates.prefill_s(demand) > _LONG_PREFILL_THRESHOLD_S
        return QueuedRequest(
            demand,
            now_s + max(0.0, self._estimates.slack_s(demand)),
            self._request.priority,
            try_place,
            self._loop.create_future(),
            self._request.organisation_name,
            self._request.group_name,
            _LONG_PREFILL_RETRY_INTERVAL_S
            if has_long_prefill
            else _SHORT_PREFILL_RETRY_INTERVAL_S,
            on_time_until_s=now_s + self._estimates.on_time_s(demand),
            service_s=self._estimates.duration_s(
                demand, self._estimates.min_prefill_s(demand)
            ),
            may_have_run=self._request.may_have_run,
        )

    def _try_place(
        self, id_: str, *, is_rate_limited: bool
    ) -> Placement | UnplacedReason | PlacementRefused:
        """Choose engines by their current load and add the commitments.

        Args:
            id_: Id of the commitments.
            is_rate_limited: Whether the prompt waits for the rate limits.
        """
        refused = self._constraints.quarantine_refusal()
        if refused is not None:
            # It was held while the prompt waited in the queue.
            return PlacementRefused(refused.reason, refused.retry_after_s)
        try:
            self._constraints.raise_if_all_pause()
        except HoistError as error:
            # They did while the prompt waited in the queue.
            return PlacementRefused(error.message, error.retry_after_s)
        now_s = self._context.clock.monotonic_s()
        demand = self._estimates.demand()
        rule = self._state.policy.placement_rule
        servers = self._constraints.servers()
        engines = self._engine_candidates(demand, servers, now_s)
        candidates = engines.candidates
        if candidates and not any(item.is_within_rate_limit for item in candidates):
            return UnplacedReason.RATE_LIMITED
        placement = self._choose_engines(demand, servers, engines, now_s)
        if placement is None:
            return UnplacedReason.NO_CAPACITY
        # A token that a prompt leaves goes to the next one, so it can't wait by choice.
        if not is_rate_limited and should_wait(
            rule, demand, placement, self._estimates.slack_until_stop_s(demand)
        ):
            return UnplacedReason.WORTH_WAITING
        remaining_s = self._context.shutdown.remaining_s(self._loop.time())
        if self._estimates.duration_s(demand, placement.expected_ttft_s) > remaining_s:
            return STOP_REFUSAL
        for commitment in self._commitments(id_, demand, placement, now_s):
            self._state.ledger.add(commitment, now_s)
            self._context.peers.publish_added(commitment, now_s)
        self._permit = self._context.rate_limits.permit((
            placement.decode_engine,
            *placement.helpers,
        ))
        self._state.queue.charge(
            self._request.organisation_name, demand.kv_tokens, now_s
        )
        return placement

    def _engine_candidates(
        self, demand: Demand, servers: list[BackendServer], now_s: float
    ) -> EngineCandidates:
        prefill_s = self._estimates.profile.prefill_s(demand.prompt_tokens)
        is_single = suits_one_engine(demand, prefill_s)
        return shortlisted_candidates(
            self._state,
            self._constraints.group,
            servers,
            now_s,
            ONE_ENGINE if is_single else GANG,
        )

    def _choose_engines(
        self,
        demand: Demand,
        servers: list[BackendServer],
        engines: EngineCandidates,
        now_s: float,
    ) -> Placement | None:
        rule = self._state.policy.placement_rule
        profile = self._estimates.profile
        rng = self._state.rng
        fleet_load = engines.fleet_load
        candidates = engines.candidates
        if self._constraints.is_trial:
            # The prompt may crash its engine, and other streams there would be lost.
            idle = _least_loaded(candidates)
            placement = place(rule, demand, idle, profile, now_s, rng, fleet_load)
            if placement is not None:
                return placement
        placement = place(rule, demand, candidates, profile, now_s, rng, fleet_load)
        if placement is None and not engines.is_complete and self._is_large(demand):
            # Only an engine with more requests may have enough KV cache left.
            group = self._constraints.group
            candidates = all_candidates(self._state, group, servers, now_s)
            return place(rule, demand, candidates, profile, now_s, rng, fleet_load)
        return placement

    def _is_large(self, demand: Demand) -> bool:
        return (
            demand.kv_tokens
            > _LARGE_KV_RATIO * self._estimates.profile.kv_capacity_tokens
        )

    def _commitments(
        self, id_: str, demand: Demand, placement: Placement, now_s: float
    ) -> list[Commitment]:
        # The commitment outlives the deadline by 1 s, in case its end is not reported.
        expires_s = now_s + max(0.0, self._request.remaining_s(self._loop.time())) + 1.0
        decode_kv_tokens = demand.kv_tokens
        if placement.reserved_kv_tokens_per_engine:
            decode_kv_tokens = placement.reserved_kv_tokens_per_engine
        decode_commitment = Commitment(
            id_,
            placement.decode_engine.id,
            False,
            placement.share_prefill_s,
            self._estimates.decode_s(demand),
            decode_kv_tokens,
            demand.pause_goal_s,
            demand.value,
            now_s + demand.ttft_budget_s,
            expires_s,
            self._request.organisation_name,
        )
        helper_commitments = [
            decode_commitment._replace(
                server_id=helper.id,
                is_helper=True,
                kv_tokens=placement.reserved_kv_tokens_per_engine,
            )
            for helper in placement.helpers
        ]
        return [decode_commitment, *helper_commitments]

    def _refusal_error(self, refused: PlacementRefused) -> HoistError:
        if self._request.may_have_run:
            return HoistError(ErrorKind.BACKEND_FAILED, refused.reason)
        jitter = 1.0 if refused.is_spread else 0.5 + self._state.rng.random()
        return HoistError(
            _ERROR_KINDS[refused.cause],
            refused.reason,
            retry_after_s=refused.retry_after_s * jitter,
        )

    def _log_placed(self, reserved: ReservedPlacement, item: QueuedRequest) -> None:
        placement = reserved.placement
        now_s = self._context.clock.monotonic_s()
        load = self._state.ledger.load(placement.decode_engine.id)
        self._context.log.record(
            "placed",
            self._request.call.id,
            server=placement.decode_engine.id,
            helpers=[server.id for server in placement.helpers],
            part_read_s=round(placement.share_prefill_s, 4),
            expected_first_event_s=round(placement.expected_ttft_s, 4),
            own_loss=round(placement.own_loss, 3),
            damage=round(placement.selection_cost, 3),
            tickets_tokens=placement.reserved_kv_tokens_per_engine,
            streams=len(load.decoding),
            cold=now_s < placement.decode_engine.cold_until_s,
            segments=self._request.call.shared_segments[:_MAX_LOGGED_SEGMENTS],
            rate_limit_per_s=self._state.rate_limits.limit_per_s(
                placement.decode_engine
            ),
            backlog_s=round(load.backlog_s(now_s), 4),
            directory_age_s=round(self._state.directory.age_s(now_s), 3),
            configuration=self._request.configuration_version,
            **self._context.admission.placed_fields(item),
        )


def _least_loaded(candidates: list[Candidate]) -> list[Candidate]:
    """The candidates with the fewest requests."""
    fewest = min((item.load.requests for item in candidates), default=0)
    return [item for item in candidates if item.load.requests == fewest]
