"""Entries that see the same free slots at the same time."""

import random

from gentianhoist.admission import Standing
from gentianhoist.admission._turns import FreeSlotTurns


def _taken(entries: int, free: int, waiting: int, now_s: float) -> int:
    rng = random.Random(now_s)
    taken = 0
    for _ in range(entries):
        turns = FreeSlotTurns(rng)
        others = (entries - 1) * waiting
        taken += sum(
            turns.take(Standing.OVER_SHARE, free, waiting, others, now_s)
            for _ in range(waiting)
        )
    return taken


class TestFreeSlotTurns:
    def test_entries_together_take_about_the_free_slots(self):
        """Thirty entries took one slot, and their requests queued at the engine."""
        taken = [_taken(30, 5, 4, float(i)) for i in range(200)]
        assert 4.0 <= sum(taken) / len(taken) <= 6.0
        assert max(taken) <= 15

    def test_single_entry_takes_all(self):
        turns = FreeSlotTurns(random.Random(1))
        assert all(turns.take(Standing.LATE, 3, 5, 0, 1.0) for _ in range(3))

    def test_each_interval_gives_new_turns(self):
        """A slot must not stay idle since an entry had no luck once."""
        turns = FreeSlotTurns(random.Random(1))
        taken = sum(
            turns.take(Standing.OVER_SHARE, 1, 1, 9, step * 0.02) for step in range(500)
        )
        assert 30 <= taken <= 70
