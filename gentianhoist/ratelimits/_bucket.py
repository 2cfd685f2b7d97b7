"""Token bucket that several entries fill and empty alike."""

from __future__ import annotations

import math
import random

__all__ = ["SharedBucket"]

# The bucket holds one token and as many more as arrive in this time, one at least.
_BURST_S = 0.25
_MIN_EXTRA_TOKENS = 1.0
# Tokens that other entries have taken beyond the limit are made up for up to this time.
_MAX_DEBT_S = 4.0
_MIN_DEBT_TOKENS = 2.0
# Time in which another entry learns that a token was taken, with a margin.
_NOTICE_S = 0.01
# Part of the difference to the copy of another entry that is taken over at once.
_ALIGNMENT_RATIO = 0.25


class SharedBucket:
    """One entry's copy of the token bucket of a rate limit that all entries share.

    Each entry subtracts the tokens that it takes, and those that others report to have
    taken. So that entries which wait for the same token don't take it at the same
    moment, each waits for a random time once the token is there, drawn anew after each
    token that is taken. The times have a truncated exponential distribution, under
    which the expected number of entries that act before they hear of the first one
    hardly grows with the number of entries.

    Args:
        now_s: Current time on the entry's clock, in seconds. The bucket starts empty.
        rng: Source of randomness.
    """

    def __init__(self, now_s: float, rng: random.Random) -> None:
        self._rng = rng
        self._tokens_per_s = 0.0
        self._entries = 1
        self._level = 0.0
        self._updated_s = now_s
        self._extra_tokens = 0.0

    @property
    def tokens_per_s(self) -> float:
        """Rate at which tokens arrive."""
        return self._tokens_per_s

    @property
    def tokens(self) -> float:
        """Tokens at the last change; negative if entries took more than there were."""
        return self._level

    def configure(self, tokens_per_s: float, entries: int, now_s: float) -> None:
        """Set the rate at which tokens arrive, and the number of entries that share it.

        Args:
            tokens_per_s: Tokens per second, more than 0.
            entries: Number of entries, 1 at least.
            now_s: Current time on the entry's clock.
        """
        if tokens_per_s == self._tokens_per_s and entries == self._entries:
            return
        self._refill(now_s)
        self._tokens_per_s = tokens_per_s
        self._entries = entries
        self._draw_delay()

    def can_take(self, now_s: float) -> bool:
        """Whether this entry may take a token now."""
        self._refill(now_s)
        return self._level >= 1.0 + self._extra_tokens

    def next_take_s(self, now_s: float) -> float:
        """Time from which this entry may take a token if no other does before."""
        self._refill(now_s)
        missing = max(0.0, 1.0 + self._extra_tokens - self._level)
        return now_s + missing / self._tokens_per_s

    def take(self, tokens: int, now_s: float) -> None:
        """Subtract tokens that this entry or another one takes; negative to add.

        Args:
            tokens: Number of tokens.
            now_s: Current time on the entry's clock.
        """
        self._refill(now_s)
        max_debt = max(_MIN_DEBT_TOKENS, _MAX_DEBT_S * self._tokens_per_s)
        self._level = min(self._capacity, max(-max_debt, self._level - tokens))
        self._draw_delay()

    def align(self, tokens: float, now_s: float) -> None:
        """Approach the copy of another entry, if that has fewer tokens.

        Otherwise the entry that came to know the limit first would be ahead for good.

        Args:
            tokens: Tokens in the other copy, a short time ago.
            now_s: Current time on the entry's clock.
        """
        self._refill(now_s)
        excess = self._level - tokens - _NOTICE_S * self._tokens_per_s
        self._level -= _ALIGNMENT_RATIO * max(0.0, excess)

    @property
    def _capacity(self) -> float:
        return 1.0 + max(_MIN_EXTRA_TOKENS, _BURST_S * self._tokens_per_s)

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(now_s, self._updated_s)
        arrived = elapsed_s * self._tokens_per_s
        self._level = min(self._capacity, self._level + arrived)

    def _draw_delay(self) -> None:
        """Draw the time to wait once a token is there, as the tokens that arrive."""
        if self._entries < 2:
            self._extra_tokens = 0.0
            return
        longest = _NOTICE_S * self._entries * self._tokens_per_s
        longest = min(longest, self._capacity - 1.0)
        drawn = 1.0 + math.log(1.0 - self._rng.random()) / math.log(self._entries)
        self._extra_tokens = longest * max(0.0, drawn)
