"""What a request asks of the engine, for the gate that decides on it."""

from __future__ import annotations

from gentianhoist.capacity import Work, classify
from gentianhoist.routing import PrefixHash
from gentianhoist.settings import LimitSettings
from gentianhoist.sidecar._attempt import engine_stream_id
from gentianhoist.sidecar._cache_events import CacheEventFollower
from gentianhoist.sidecar._kv_reservations import KvReservationLedger
from gentianhoist.wire import RunRequest

__all__ = ["WorkEstimator", "request_prefix_hashes"]


class WorkEstimator:
    """Sizes requests by what the engine has cached and reserved.

    Args:
        limits: Bounds of the length classes.
        cache_events: Prefixes that the engine has.
        kv_reservations: Reservations that stand.
    """

    def __init__(
        self,
        limits: LimitSettings,
        cache_events: CacheEventFollower,
        kv_reservations: KvReservationLedger,
    ) -> None:
        self._limits = limits
        self._cache_events = cache_events
        self._kv_reservations = kv_reservations

    def estimate(self, request: RunRequest, now_s: float) -> Work:
        """The work of a request.

        Args:
            request: The request; one that resumes counts what it has generated.
            now_s: The time on the sidecar's clock.
        """
        generated = request.offset
        prompt_tokens = request.prompt_tokens + generated
        cached = self._cache_events.cached_tokens(request_prefix_hashes(request))
        uncached = max(1, prompt_tokens - cached)
        # The memory of work on a reservation is counted there.
        reserved = self._kv_reservations.is_active(request.hold)
        return Work(
            request_id=engine_stream_id(request),
            organisation=request.organisation,
            weight=request.weight,
            prompt_tokens=0 if reserved else prompt_tokens,
            uncached_tokens=uncached,
            answer_tokens=0 if reserved else request.max_tokens - generated,
            work_class=classify(
                uncached, self._limits.short_tokens, self._limits.long_tokens
            ),
            arrived_s=now_s,
            deadline_s=now_s + request.deadline_left_s,
            priority=request.priority,
        )


def request_prefix_hashes(request: RunRequest) -> tuple[PrefixHash, ...]:
    """The prefixes that a request names."""
    return tuple(PrefixHash(name, tokens) for name, tokens in request.prefix_marks)
