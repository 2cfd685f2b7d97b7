"""Estimate of the prompt prefixes that a backend server has in its prefix cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from gentianhoist.routing._prefix import PrefixHash

_MAX_HASHES = 4096
_MAX_AGE_S = 300.0


class PrefixCacheIndex:
    """Index, with expiry, of the prefix hashes cached by one backend server.

    Cache events may be late or lost, so the index is only a hint: a wrong hash makes
    an estimate worse and nothing else.

    Args:
        max_hashes: Maximum number of hashes; the least recently added are evicted
            first.
        max_age_s: Seconds after which a hash no longer counts as cached.
    """

    def __init__(
        self, max_hashes: int = _MAX_HASHES, max_age_s: float = _MAX_AGE_S
    ) -> None:
        self._max_hashes = max_hashes
        self._max_age_s = max_age_s
        self._added_s: OrderedDict[int, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._added_s)

    def add(self, digests: Iterable[int], now_s: float) -> None:
        """Add prefix hashes that the backend server has cached, or refresh them.

        Args:
            digests: The hashes.
            now_s: Monotonic time, on the same clock as in `cached_tokens`.
        """
        for digest in digests:
            self._added_s[digest] = now_s
            self._added_s.move_to_end(digest)
        while len(self._added_s) > self._max_hashes:
            self._added_s.popitem(last=False)

    def remove(self, digests: Iterable[int]) -> None:
        """Remove prefix hashes that the backend server has evicted."""
        for digest in digests:
            self._added_s.pop(digest, None)

    def clear(self) -> None:
        """Remove all hashes, as after a restart of the backend server."""
        self._added_s.clear()

    def cached_tokens(self, prefix_hashes: tuple[PrefixHash, ...], now_s: float) -> int:
        """Length of the longest prefix that is probably cached.

        Args:
            prefix_hashes: Prefixes of a prompt, shortest first.
            now_s: Monotonic time, on the same clock as in `add`.

        Returns:
            Tokens of that prefix; 0 if none is cached.
        """
        for prefix in reversed(prefix_hashes):
            added_s = self._added_s.get(prefix.digest)
            if added_s is not None and now_s - added_s <= self._max_age_s:
                return prefix.tokens
        return 0
