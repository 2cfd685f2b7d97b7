"""Order in which entries claim a slot that has become free.

While all engines are full, each slot that becomes free is seen by every entry at the
same moment. If all of them claimed it at once, the engine would get many requests for
one slot, and the requests would wait there. So the entries take turns, one after the
other and again from the first, in an order that each of them derives from the ended
request. A claim is heard before the turn of the next entry begins.

Nothing is sent for this. An entry that is lost, or has nothing to send, only lets its
turn pass.
"""

from __future__ import annotations

from collections.abc import Collection

from gentianhoist.hashing import rendezvous_weight
from gentianhoist.placement import EndedCommitment

__all__ = ["SlotTurns", "is_scarce"]

_TURN_S = 0.01
# End of a turn, in which no claim is made, since one reaches the other entries only
# after batching, the way to another zone, and the wake-up of a busy process.
_CLAIM_DELAY_S = 0.004
_MAX_CACHED_POSITIONS = 2048


def is_scarce(free_slots: int, entries: int) -> bool:
    """Whether entries that choose at the same moment may choose the same slots.

    Args:
        free_slots: Free slots on all engines together.
        entries: Number of entries that may claim one.
    """
    return entries > 1 and free_slots < entries


class SlotTurns:
    """Times at which this entry may claim a slot.

    Args:
        host: IP address of this entry.

    Example:
        >>> turns = SlotTurns("10.0.0.1")
        >>> turns.set_others(["10.0.0.2", "10.0.0.3"])
        >>> ended = EndedCommitment("10.0.0.2-ab.17", at_s=5.0)
        >>> [turns.may_claim(ended, 5.002 + 0.01 * turn) for turn in range(4)]
        [False, False, True, False]
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._others: frozenset[str] = frozenset()
        self._positions: dict[str, int] = {}

    @property
    def entries(self) -> int:
        """Number of entries that take turns, this one included."""
        return 1 + len(self._others)

    def set_others(self, hosts: Collection[str]) -> None:
        """Set the other entries that may claim slots, by their IP addresses."""
        others = frozenset(hosts) - {self._host}
        if others != self._others:
            self._others = others
            self._positions.clear()

    def may_claim(self, ended: EndedCommitment | None, now_s: float) -> bool:
        """Whether it is this entry's turn to claim a slot.

        Args:
            ended: Request that has left the slot, None if that isn't known.
            now_s: Current time on the entry's clock, in seconds.
        """
        if ended is None or not self._others:
            return True
        turn, elapsed_s = divmod(now_s - ended.at_s, _TURN_S)
        if elapsed_s > _TURN_S - _CLAIM_DELAY_S:
            return False
        return turn % self.entries == self._position(ended.id)

    def _position(self, ended_id: str) -> int:
        """Place of this entry in the order for a slot, from 0."""
        position = self._positions.get(ended_id)
        if position is None:
            if len(self._positions) >= _MAX_CACHED_POSITIONS:
                self._positions.clear()
            own_weight = rendezvous_weight(ended_id, self._host)
            position = self._positions[ended_id] = sum(
                rendezvous_weight(ended_id, host) > own_weight for host in self._others
            )
        return position
