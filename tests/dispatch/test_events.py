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


@pytest.mark.usefixtures("heap_of_its_own")
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

    # Guards against: the time for blank lines grows with the square of their number.
    @pytest.mark.parametrize("line", [b"\n", b"\r\n", b"\r", b"\na", b":\n\n"])
    def test_tiny_lines_do_not_stop_the_entry(self, line):
        reader = EventReader()
        began_s = time.process_time()
        reader.feed(line * (64_000 // len(line)))
        assert time.process_time() - began_s < PAUSE_GOAL_S

    def test_blank_lines_without_an_event_have_a_limit(self):
        reader = EventReader()
        with pytest.raises(ValueError):
            for _ in range(1_000):
                assert not reader.feed(b"\n" * 1_000)

    # Guards against: bytes between two events are lost, or count as an event.
    def test_blank_lines_belong_to_the_event_after_them(self):
        reader = EventReader()
        data = b"\n\n\r\n\nid: 1\n\n\n\n\nid\r\n\r\n\n"
        events = reader.feed(data)
        assert [event.id for event in events] == [b"1", b""]
        assert b"".join(event.data for event in events) + reader.incomplete == data

    def test_an_event_with_many_digits_is_read(self):
        (event,) = EventReader().feed(b"id: %b\n\n" % (b"9" * 100_000))
        assert len(event.id) == 100_000

    # Guards against: a stream is resumed at an id that another one replaced.
    @pytest.mark.parametrize("separator", [b"\n", b"\r\n", b"\r", b"\ndata: x\n"])
    def test_the_last_id_of_an_event_counts(self, separator):
        (event,) = EventReader().feed(b"id: 1" + separator + b"id: 2\n\n")
        assert event.id == b"2"
