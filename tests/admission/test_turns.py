"""Entries that see the same free slots at the same time."""

import random

from gentianhoist.admission._turns import EndedRequests, FreeSlotTurns

_NONE_ENDED = EndedRequests()


def _taken(entries: int, free: int, waiting: int, seed: int) -> int:
    rng = random.Random(seed)
    taken = 0
    for _ in range(entries):
        turns = FreeSlotTurns(rng)
        others = (entries - 1) * waiting
        taken += sum(
            turns.take("a", free, waiting, others, _NONE_ENDED, 1.0)
            for _ in range(waiting)
        )
    return taken


class TestFreeSlotTurns:
    def test_entries_together_take_about_the_free_slots(self):
        """Thirty entries took one slot, and their requests queued at the engine."""
        taken = [_taken(30, 5, 4, seed) for seed in range(200)]
        assert 4.0 <= sum(taken) / len(taken) <= 6.0
        assert max(taken) <= 15

    def test_entry_without_competitors_takes_all(self):
        turns = FreeSlotTurns(random.Random(1))
        assert all(turns.take("a", 3, 5, 0, _NONE_ENDED, 1.0) for _ in range(3))

    def test_each_interval_gives_new_turns(self):
        """A slot must not stay idle since an entry had no luck once."""
        turns = FreeSlotTurns(random.Random(1))
        taken = sum(
            turns.take("a", 1, 1, 9, _NONE_ENDED, step * 0.02) for step in range(500)
        )
        assert 30 <= taken <= 70

    def test_entry_uses_its_own_slot_at_once(self):
        """Waiting for a turn would leave each freed slot idle for an interval."""
        turns = FreeSlotTurns(random.Random(1))
        turns.take("a", 0, 1, 1_000, EndedRequests(5, 5), 1.0)
        ended = EndedRequests(7, 5)
        results = [turns.take("a", 0, 5, 1_000, ended, 1.02) for _ in range(4)]
        assert results == [True, True, False, False]

    def test_slot_of_another_entry_is_left_to_it_for_an_interval(self):
        turns = FreeSlotTurns(random.Random(1))
        turns.take("a", 0, 1, 1, EndedRequests(0, 10), 1.0)
        turns.take("a", 0, 1, 1, EndedRequests(0, 10), 1.02)
        ended = EndedRequests(0, 20)
        assert not any(turns.take("a", 10, 10, 1, ended, 1.04) for _ in range(9))
        turns.take("a", 10, 10, 1, ended, 1.06)
        assert any(turns.take("a", 10, 10, 1, ended, 1.08) for _ in range(9))
