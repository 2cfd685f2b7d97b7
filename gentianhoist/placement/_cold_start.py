"""An entry's part of what a cold backend server bears."""

from __future__ import annotations

from collections import deque

__all__ = ["ColdStartBudget"]

_WINDOW_S = 1.0


class ColdStartBudget:
    """Counts an entry's own requests to cold servers in a sliding second.

    The entries don't talk about it: each keeps to its part for the largest number of
    entries that may be there, so that the bound holds whatever they hear.

    Args:
        phase: A number from 0 to 1 that differs between entries, so that parts of less
            than one request a second don't all begin in the same one.
    """

    def __init__(self, phase: float = 0.0) -> None:
        self._phase = phase
        self._sent: dict[str, deque[float]] = {}
        self._first_asked_s: dict[str, float] = {}

    def can_send(
        self, server_id: str, requests_per_s: float, entries: int, now_s: float
    ) -> bool:
        """Whether one more request may be sent to a cold server.

        Args:
            server_id: The server.
            requests_per_s: What it bears from all entries together.
            entries: The largest number of entries that may be there.
            now_s: The time on the entry's clock.
        """
        part = requests_per_s * _WINDOW_S / entries
        sent = self._sent.get(server_id)
        if sent is None:
            asked_s = self._first_asked_s.setdefault(server_id, now_s)
            return part >= 1.0 or now_s - asked_s >= self._phase * _WINDOW_S / part
        # A part of less than one request is one in a longer time.
        window_s = _WINDOW_S if part >= 1.0 else _WINDOW_S / part
        while sent and sent[0] <= now_s - window_s:
            sent.popleft()
        return len(sent) < max(1, int(part))

    def record_sent(self, server_id: str, now_s: float) -> None:
        """Take note of a request sent to a cold server."""
        self._sent.setdefault(server_id, deque()).append(now_s)

    def keep_only(self, server_ids: set[str]) -> None:
        """Forget servers that are gone."""
        for known in (self._sent, self._first_asked_s):
            for gone in known.keys() - server_ids:
                del known[gone]
