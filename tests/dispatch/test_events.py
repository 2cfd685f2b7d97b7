"""Splitting of event streams, whatever the sizes of the parts in which they arrive."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentianhoist.dispatch._events import EventReader

# Longest pause of a short stream, which other streams of the entry have to meet.
PAUSE_GOAL_S = 0.25
TERMINATORS = st.sampled_from([b"\n\n", b"\r\n\r\n"])
EVENTS = st.lists(st.tuples(st.integers(0, 99), TERMINATORS), max_size=6)


def split(data: bytes, sizes: list[int]) -> list[bytes]:
    parts = []
    for size in sizes:
        parts.append(data[:size])
        data = data[size:]
    return [*parts, data]


class TestEventReader:
    @given(EVENTS, st.lists(st.integers(0, 9), max_size=40), st.binary(max_size=3))
    def test_parts_of_any_size_give_the_same_events(self, events, sizes, rest):
        rest = rest.replace(b"\n", b"")
        lines = [b"id: %d\ndata: x%b" % item for item in events]
        reader = EventReader()
        received = []
        for part in split(b"".join(lines) + rest, sizes):
            received += reader.feed(part)
        assert [event.data for event in received] == lines
        assert [event.id for event in received] == [b"%d" % id_ for id_, _ in events]
        assert reader.incomplete == rest

    def test_event_without_an_end_does_not_stop_the_entry(self):
        # Guards against: each part of an endless event is searched from the beginning,
        # which takes seconds.
        reader = EventReader()
        began_s = time.process_time()
        with pytest.raises(ValueError):
            while True:
                reader.feed(b"data: x\n" * 100)
        assert time.process_time() - began_s < PAUSE_GOAL_S
