"""An entry's share of the request rate that a cold backend server can take."""

from __future__ import annotations

from collections import deque

__all__ = ["ColdStartBudget"]

_WINDOW_S = 1.0


class ColdStartBudget:
    """Limits an entry's requests to each cold server, in a sliding window of a second.

    Entries don't coordinate: each one divides the server's rate by an assumed number of
    entries, set above the known number. So the total stays within the rate even if
    messages between entries are lost or further entries are just starting.

    Args:
        phase: Number from 0 to 1 that differs between entries, so that entries with a
            share below one request per second don't all send in the same second.
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
            server_id: Identifier of the server.
            requests_per_s: Rate that it can take from all entries together.
            entries: Assumed number of entries, set above the known number.
            now_s: Current time on the entry's clock, in seconds.
        """
        share = requests_per_s * _WINDOW_S / entries
        sent = self._sent.get(server_id)
        if sent is None:
            first_asked_s = self._first_asked_s.setdefault(server_id, now_s)
            return (
                share >= 1.0 or now_s - first_asked_s >= self._phase * _WINDOW_S / share
            )
        # A share below one request per window becomes one request per longer window.
        window_s = _WINDOW_S if share >= 1.0 else _WINDOW_S / share
        while sent and sent[0] <= now_s - window_s:
            sent.popleft()
        return len(sent) < max(1, int(share))

    def record_sent(self, server_id: str, now_s: float) -> None:
        """Record a request that was sent to a cold server."""
        self._sent.setdefault(server_id, deque()).append(now_s)

    def keep_only(self, server_ids: set[str]) -> None:
        """Remove all servers except the given ones."""
        for by_server in (self._sent, self._first_asked_s):
            for removed in by_server.keys() - server_ids:
                del by_server[removed]
