"""Order in which entries claim a slot that has become free.

While all engines are full, each slot that becomes free is seen by every entry at the
same moment. If all of them claimed it at once, the engine would get many requests for
one slot, and the requests would wait there. So the entries take turns: an order that
each of them derives from the ended request gives each entry the earliest time of its
claim. A claim is heard before the turn of the next entry begins.

Nothing is sent for this. An entry that is lost, or has nothing to send, only lets its
turn pass.
"""

from __future__ import annotations

from collections.abc import Collection

from gentianhoist.hashing import rendezvous_weight
from gentianhoist.placement import EndedCommitment

__all__ = ["SlotTurns", "is_scarce"]

# Time in which a claim reaches the other entries: batching, the way to another
# availability zone, and the wake-up of a busy process.
_TURN_S = 0.008
_MAX_CACHED_DELAYS = 2048


def is_scarce(free_slots: int, entries: int) -> bool:
    """Whether entries that choose at the same moment may choose the same slots.

    Args:
        free_slots: Free slots on all engines together.
        entries: Number of entries that may claim one.
    """
    return entries > 1 and free_slots < entries


class SlotTurns:
    """Earliest time at which this entry may claim a slot.

    Args:
        host: IP address of this entry.

    Example:
        >>> turns = SlotTurns("10.0.0.1")
        >>> turns.set_others(["10.0.0.2", "10.0.0.3"])
        >>> ended = EndedCommitment("10.0.0.2-ab.17", at_s=5.0)
        >>> turns.may_claim(ended, 5.0), turns.may_claim(ended, 5.1)
        (False, True)
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._others: frozenset[str] = frozenset()
        self._delays_s: dict[str, float] = {}

    @property
    def entries(self) -> int:
        """Number of entries that take turns, this one included."""
        return 1 + len(self._others)

    def set_others(self, hosts: Collection[str]) -> None:
        """Set the other entries that may claim slots, by their IP addresses."""
        others = frozenset(hosts) - {self._host}
        if others != self._others:
            self._others = others
            self._delays_s.clear()

    def may_claim(self, ended: EndedCommitment | None, now_s: float) -> bool:
        """Whether this entry's turn for a slot has begun.

        Args:
            ended: Request that has left the slot, None if that isn't known.
            now_s: Current time on the entry's clock, in seconds.
        """
        return ended is None or now_s >= ended.at_s + self._delay_s(ended.id)

    def _delay_s(self, ended_id: str) -> float:
        delay_s = self._delays_s.get(ended_id)
        if delay_s is None:
            if len(self._delays_s) >= _MAX_CACHED_DELAYS:
                self._delays_s.clear()
            delay_s = self._delays_s[ended_id] = _TURN_S * self._position(ended_id)
        return delay_s

    def _position(self, ended_id: str) -> int:
        """Number of entries whose turn comes before this one's."""
        own_weight = rendezvous_weight(ended_id, self._host)
        return sum(
            rendezvous_weight(ended_id, host) > own_weight for host in self._others
        )
