"""Which prefixes a backend server probably has in its cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from gentianhoist.routing._prefix import PrefixHash

_CAPACITY_MARKS = 4096
_MAX_AGE_S = 300.0


class PrefixCacheIndex:
    """An ageing, bounded map of one backend server's cached prefixes.

    It is a hint: events come late and get lost, so a wrong entry only costs an
    estimate.

    Args:
        capacity_marks: Marks kept at the most.
        max_age_s: Seconds after which a mark is no longer believed.
    """

    def __init__(
        self, capacity_marks: int = _CAPACITY_MARKS, max_age_s: float = _MAX_AGE_S
    ) -> None:
        self._capacity = capacity_marks
        self._max_age_s = max_age_s
        self._seen: OrderedDict[int, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._seen)

    def add(self, names: Iterable[int], now_s: float) -> None:
        """Take note of marks that are cached."""
        for name in names:
            self._seen[name] = now_s
            self._seen.move_to_end(name)
        while len(self._seen) > self._capacity:
            self._seen.popitem(last=False)

    def remove(self, names: Iterable[int]) -> None:
        """Take note of marks that were dropped."""
        for name in names:
            self._seen.pop(name, None)

    def clear(self) -> None:
        """Forget everything, as after a restart."""
        self._seen.clear()

    def cached_tokens(self, marks: tuple[PrefixHash, ...], now_s: float) -> int:
        """Tokens of the longest cached prefix."""
        for mark in reversed(marks):
            seen_s = self._seen.get(mark.digest)
            if seen_s is not None and now_s - seen_s <= self._max_age_s:
                return mark.tokens
        return 0
