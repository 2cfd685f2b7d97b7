"""Speeds of one engine, learnt from what it did."""

from __future__ import annotations

_WEIGHT = 0.05
_MIN_PREFILL_TOKENS = 256
_SLOW_RATIO = 2.0
_SLOW_PREFILLS = 2


class SpeedEstimate:
    """Moving averages of an engine's speeds.

    Args:
        prefill_tokens_per_s: First estimate of the prefill speed.
        decode_step_s: First estimate of the seconds between two tokens.
    """

    def __init__(self, prefill_tokens_per_s: float, decode_step_s: float) -> None:
        self._first_decode_step_s = decode_step_s
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._decode_step_s = decode_step_s
        self._slow_prefills = 0

    @property
    def looks_cold(self) -> bool:
        """Whether prompts take far longer than they did, one after another."""
        return self._slow_prefills >= _SLOW_PREFILLS

    @property
    def prefill_tokens_per_s(self) -> float:
        """Prefill speed of a prompt that has the engine for itself."""
        return self._prefill_tokens_per_s

    @property
    def decode_step_s(self) -> float:
        """Seconds between two tokens of a stream."""
        return self._decode_step_s

    @property
    def slowness_ratio(self) -> float:
        """Present time between tokens against the first estimate."""
        return self._decode_step_s / self._first_decode_step_s

    def prefilled(self, tokens: int, took_s: float) -> None:
        """Take note of a prompt that was prefilled alone."""
        if tokens < _MIN_PREFILL_TOKENS or took_s <= 0:
            return
        observed = tokens / took_s
        slow = observed * _SLOW_RATIO < self._prefill_tokens_per_s
        self._slow_prefills = self._slow_prefills + 1 if slow else 0
        self._prefill_tokens_per_s += _WEIGHT * (observed - self._prefill_tokens_per_s)

    def turned_cold(self) -> None:
        """The engine is known to be cold: slow prompts are no news any more."""
        self._slow_prefills = 0

    def decoded(self, tokens: int, took_s: float) -> None:
        """Take note of tokens generated one after the other."""
        if tokens <= 0 or took_s <= 0:
            return
        observed_s = took_s / tokens
        self._decode_step_s += _WEIGHT * (observed_s - self._decode_step_s)
