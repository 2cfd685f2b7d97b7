"""Pauses that backend servers have named to this entry, without any I/O."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from gentianhoist.fleet import BackendServer

__all__ = ["ServerPauses"]

# A server that names more is asked again after this time.
_MAX_PAUSE_S = 60.0
# Pauses of many servers begin together; they are prolonged at random so that they don't
# end together.
_MAX_JITTER_RATIO = 0.1
_MAX_JITTER_S = 0.3
# After a pause, one request shows whether the server takes others again. Without a
# response another one may be sent after this time.
_PROBE_TIMEOUT_S = 1.0
# Interval between two such requests to one server group, which grows with each refusal.
_MIN_PROBE_INTERVAL_S = 0.05
_MAX_PROBE_INTERVAL_S = 0.6
_PROBE_INTERVAL_RATIO = 1.5
# Without retries, a server is left alone for so long after its pause while others take
# requests. Without this limit an entry that gets no retries would never use it again.
_MAX_UNPROBED_S = 5.0


@dataclass
class _Pause:
    """Pause of one incarnation of a server.

    Attributes:
        until_s: End of the pause.
        probe_s: When the request was sent that shows whether it is over, None before.
    """

    until_s: float
    probe_s: float | None = None

    @property
    def next_send_s(self) -> float:
        """Earliest time of the next request."""
        if self.probe_s is None:
            return self.until_s
        return self.probe_s + _PROBE_TIMEOUT_S


@dataclass
class _ProbePace:
    """Pace of the first requests after pauses to one server group.

    Attributes:
        interval_s: Interval between two of them.
        next_s: Earliest time of the next one.
    """

    interval_s: float = _MIN_PROBE_INTERVAL_S
    next_s: float = float("-inf")

    def record_refusal(self) -> None:
        """Slow down, as the servers still refuse."""
        self.interval_s = min(
            _MAX_PROBE_INTERVAL_S, self.interval_s * _PROBE_INTERVAL_RATIO
        )

    def record_success(self, now_s: float) -> None:
        """Go on quickly, as a server takes requests again."""
        self.interval_s = _MIN_PROBE_INTERVAL_S
        self.next_s = min(self.next_s, now_s + self.interval_s)


class ServerPauses:
    """Aggregate of the pauses that servers have named to this entry.

    A pause binds one incarnation of a server, and this entry only. Every `now_s` is the
    current time on the entry's clock, in seconds.

    Args:
        rng: Source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pauses: dict[tuple[str, str, int], _Pause] = {}
        self._paces: dict[str, _ProbePace] = {}

    def __len__(self) -> int:
        return len(self._pauses)

    def begin(self, server: BackendServer, pause_s: float, now_s: float) -> float:
        """Record that a server has named a pause.

        Args:
            server: The server.
            pause_s: Seconds that it has named, greater than 0.

        Returns:
            Seconds for which it gets no requests.
        """
        pause = self._pauses.get(server.incarnation)
        if pause is not None and pause.probe_s is not None:
            self._pace(server).record_refusal()
        named_s = min(pause_s, _MAX_PAUSE_S)
        jitter_s = min(_MAX_JITTER_S, _MAX_JITTER_RATIO * named_s)
        until_s = now_s + named_s + jitter_s * self._rng.random()
        if pause is not None:
            # An earlier response still binds if it has named a later end.
            until_s = max(until_s, pause.until_s)
        self._pauses[server.incarnation] = _Pause(until_s)
        return until_s - now_s

    def record_answered(
        self, server: BackendServer, sent_s: float, now_s: float
    ) -> bool:
        """Record a response without a pause.

        Args:
            server: The server.
            sent_s: When its request was sent.

        Returns:
            Whether it shows that a pause is over.
        """
        pause = self._pauses.get(server.incarnation)
        if pause is None or sent_s < pause.until_s:
            return False
        del self._pauses[server.incarnation]
        self._pace(server).record_success(now_s)
        return True

    def may_send(self, server: BackendServer, now_s: float) -> bool:
        """Whether a server may get a request now."""
        pause = self._pauses.get(server.incarnation)
        if pause is None:
            return True
        return now_s >= max(pause.next_send_s, self._pace(server).next_s)

    def available(
        self,
        servers: Iterable[BackendServer],
        now_s: float,
        *,
        may_be_refused: bool = True,
    ) -> list[BackendServer]:
        """Return those servers that may be chosen for one request.

        Of those whose pause has just ended there is one at most, so that a prompt on
        several engines doesn't depend on many that may refuse.

        Args:
            servers: The servers.
            may_be_refused: Whether the request can be sent again after a refusal. If
                not, servers whose pause has just ended are left out while there are
                others.
        """
        if not self._pauses:
            return list(servers)
        available, untried = [], []
        for server in servers:
            if server.incarnation not in self._pauses:
                available.append(server)
            elif self.may_send(server, now_s):
                untried.append(server)
        if not may_be_refused and available:
            untried = [item for item in untried if self._is_long_over(item, now_s)]
        if untried:
            available.append(self._rng.choice(untried))
        return available

    def record_sent(self, server: BackendServer, now_s: float) -> None:
        """Record a request that is being sent to a server."""
        pause = self._pauses.get(server.incarnation)
        if pause is not None:
            pause.probe_s = now_s
            pace = self._pace(server)
            pace.next_s = now_s + pace.interval_s

    def wait_s(self, servers: Iterable[BackendServer], now_s: float) -> float | None:
        """Return the time until one of some servers may get a request.

        Args:
            servers: The servers.

        Returns:
            Seconds, None if one has not named a pause, or there are none.
        """
        waits_s = []
        for server in servers:
            pause = self._pauses.get(server.incarnation)
            if pause is None:
                return None
            waits_s.append(max(pause.next_send_s, self._pace(server).next_s) - now_s)
        return max(0.0, min(waits_s)) if waits_s else None

    def keep_only(self, incarnations: set[tuple[str, str, int]]) -> None:
        """Remove all other incarnations."""
        for removed in self._pauses.keys() - incarnations:
            del self._pauses[removed]

    def _is_long_over(self, server: BackendServer, now_s: float) -> bool:
        return now_s - self._pauses[server.incarnation].until_s > _MAX_UNPROBED_S

    def _pace(self, server: BackendServer) -> _ProbePace:
        return self._paces.setdefault(server.group, _ProbePace())
