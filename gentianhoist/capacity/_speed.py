"""Estimated prefill and decode speeds of one engine."""

from __future__ import annotations

_SMOOTHING = 0.05
_MIN_PREFILL_TOKENS = 256
_SLOW_RATIO = 2.0
_COLD_SLOW_PREFILLS = 2


class SpeedEstimate:
    """Exponential moving averages of an engine's measured speeds.

    Args:
        prefill_tokens_per_s: Initial estimate of the prefill speed.
        decode_step_s: Initial estimate of the inter-token latency, in seconds.
    """

    def __init__(self, prefill_tokens_per_s: float, decode_step_s: float) -> None:
        self._initial_decode_step_s = decode_step_s
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._decode_step_s = decode_step_s
        self._slow_prefills = 0

    @property
    def looks_cold(self) -> bool:
        """Whether the last prefills were all far slower than the estimate.

        The engine then counts as cold, although it has not reported a restart.
        """
        return self._slow_prefills >= _COLD_SLOW_PREFILLS

    @property
    def prefill_tokens_per_s(self) -> float:
        """Speed of a prefill that shares the engine with no other prefill."""
        return self._prefill_tokens_per_s

    @property
    def decode_step_s(self) -> float:
        """Inter-token latency of a stream, in seconds."""
        return self._decode_step_s

    @property
    def slowness_ratio(self) -> float:
        """Inter-token latency divided by its initial estimate."""
        return self._decode_step_s / self._initial_decode_step_s

    def record_prefill(self, tokens: int, took_s: float) -> None:
        """Update the prefill speed with a prefill that ran without another one.

        Args:
            tokens: Prefilled tokens; short prefills are ignored.
            took_s: Seconds that they took.
        """
        if tokens < _MIN_PREFILL_TOKENS or took_s <= 0:
            return
        observed_per_s = tokens / took_s
        is_slow = observed_per_s * _SLOW_RATIO < self._prefill_tokens_per_s
        self._slow_prefills = self._slow_prefills + 1 if is_slow else 0
        self._prefill_tokens_per_s += _SMOOTHING * (
            observed_per_s - self._prefill_tokens_per_s
        )

    def reset_slow_prefills(self) -> None:
        """Start to count slow prefills anew, once the engine is known to be cold."""
        self._slow_prefills = 0

    def record_decode(self, tokens: int, took_s: float) -> None:
        """Update the inter-token latency with the tokens of one stream.

        Args:
            tokens: Decode steps.
            took_s: Seconds that they took.
        """
        if tokens <= 0 or took_s <= 0:
            return
        observed_s = took_s / tokens
        self._decode_step_s += _SMOOTHING * (observed_s - self._decode_step_s)
