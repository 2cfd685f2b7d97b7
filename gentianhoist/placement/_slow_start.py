"""An entry's part of what a cold backend server bears."""

from __future__ import annotations

from collections import deque

__all__ = ["ColdStartBudget"]

_WINDOW_S = 1.0


class ColdStartBudget:
    """Counts an entry's own requests to cold servers in a sliding second.

    The entries don't talk about it: each keeps to its part for the largest number of
    entries that may be there, so that the bound holds whatever they hear.
    """

    def __init__(self) -> None:
        self._sent: dict[str, deque[float]] = {}

    def allows(
        self, server_id: str, requests_per_s: float, entries: int, now_s: float
    ) -> bool:
        """Whether one more request may be sent to a cold server.

        Args:
            server_id: The server.
            requests_per_s: What it bears from all entries together.
            entries: The largest number of entries that may be there.
            now_s: The time on the entry's clock.
        """
        sent = self._sent.get(server_id)
        if sent is None:
            return True
        while sent and sent[0] <= now_s - _WINDOW_S:
            sent.popleft()
        return len(sent) < max(1, int(requests_per_s / entries))

    def sent(self, server_id: str, now_s: float) -> None:
        """Take note of a request sent to a cold server."""
        self._sent.setdefault(server_id, deque()).append(now_s)

    def keep_only(self, server_ids: set[str]) -> None:
        """Forget servers that are gone."""
        for gone in self._sent.keys() - server_ids:
            del self._sent[gone]
