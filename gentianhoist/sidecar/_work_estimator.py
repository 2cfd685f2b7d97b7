"""Estimate of the engine capacity that a request needs, for admission control."""

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
    """Estimates the work of requests from the engine's prefix cache and reservations.

    Args:
        limits: Bounds of the length classes.
        cache_events: Estimate of the prefixes that the engine has cached.
        kv_reservations: Active KV cache reservations.
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
        """Estimate the work of a request.

        Args:
            request: The request. Tokens that earlier attempts have generated count as
                part of the prompt, since they must be prefilled again.
            now_s: Monotonic time of this machine, in seconds.

        Returns:
            The work, with its length class and with its deadline on the same clock.
        """
        generated_tokens = request.offset
        prompt_tokens = request.prompt_tokens + generated_tokens
        cached_tokens = self._cache_events.cached_tokens(request_prefix_hashes(request))
        uncached_tokens = max(1, prompt_tokens - cached_tokens)
        # A reservation already accounts for the KV cache of the work that uses it.
        is_reserved = self._kv_reservations.is_active(request.reservation_id)
        return Work(
            request_id=engine_stream_id(request),
            organisation=request.organisation,
            weight=request.weight,
            prompt_tokens=0 if is_reserved else prompt_tokens,
            uncached_tokens=uncached_tokens,
            max_output_tokens=0
            if is_reserved
            else request.max_tokens - generated_tokens,
            work_class=classify(
                uncached_tokens, self._limits.short_tokens, self._limits.long_tokens
            ),
            arrived_s=now_s,
            deadline_s=now_s + request.deadline_left_s,
            priority=request.priority,
        )


def request_prefix_hashes(request: RunRequest) -> tuple[PrefixHash, ...]:
    """Prefix hashes that a request carries, shortest prefix first."""
    return tuple(PrefixHash(digest, tokens) for digest, tokens in request.prefix_hashes)
