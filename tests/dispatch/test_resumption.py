"""Which events are passed on, over generated streams, cuts and resumed parts."""

from hypothesis import given
from hypothesis import strategies as st

from gentianhoist.dispatch._events import EventReader, StreamEvent
from gentianhoist.dispatch._resumption import EventSequence

# Increasing ids, some followed by events without one.
STEPS = st.lists(st.tuples(st.integers(1, 5), st.integers(0, 2)), max_size=8)
NO_EVENT = "the stream ended without an event"
EQUAL_STEPS = st.tuples(st.integers(1, 9), st.integers(4, 9))


def read(steps: list[tuple[int, int]]) -> list[StreamEvent]:
    lines = []
    id_ = 0
    for step, without_id in steps:
        id_ += step
        lines.append(b"id: %d\n\n" % id_)
        lines += [b"data: %d.%d\n\n" % (id_, number) for number in range(without_id)]
    return EventReader().feed(b"".join(lines))


def pass_on(parts: list[list[StreamEvent]]) -> tuple[list[StreamEvent], str | None]:
    """Return the events passed on, and the fault of the last part."""
    sequence = EventSequence(None, may_resume=True)
    accepted: list[StreamEvent] = []
    fault = None
    for part in parts:
        sequence.begin_part()
        checked = sequence.check(part)
        accepted += checked.accepted
        fault = checked.fault or sequence.end_fault(has_stated_end=True)
    return accepted, fault


class TestEventSequence:
    @given(STEPS, st.data())
    def test_stream_with_repeats_is_whole(self, steps, data):
        stream = read(steps)
        cuts = [i + 1 for i, event in enumerate(stream) if event.id is not None]
        cut = data.draw(st.sampled_from([0, *cuts]))
        begin = data.draw(st.sampled_from([i - 1 for i in cuts if i <= cut] or [0]))
        assert pass_on([stream[:cut], stream[begin:]]) == (
            stream,
            None if stream else NO_EVENT,
        )

    @given(st.integers(1, 9), st.lists(st.integers(0, 2), min_size=1), st.data())
    def test_stream_that_goes_on_is_whole(self, step, without_id, data):
        stream = read([(step, number) for number in without_id])
        cuts = [i + 1 for i, event in enumerate(stream) if event.id is not None]
        # A resumed part that begins without an id could be a repeat.
        cut = data.draw(
            st.sampled_from([0, *(i - 1 for i in cuts if i > 1 and i - 1 in cuts)])
        )
        assert pass_on([stream[:cut], stream[cut:]]) == (stream, None)

    @given(STEPS, st.data())
    def test_stream_is_resumed_only_after_an_event_with_an_id(self, steps, data):
        stream = read(steps)
        cut = data.draw(st.integers(0, len(stream)))
        sequence = EventSequence(None, may_resume=True)
        sequence.begin_part()
        assert sequence.check(stream[:cut]).accepted == stream[:cut]
        assert sequence.can_resume == (cut == 0 or stream[cut - 1].id is not None)

    @given(st.integers(4, 9), st.data())
    def test_part_that_lacks_events_is_refused(self, length, data):
        stream = read([(1, 0)] * length)
        cut = data.draw(st.integers(2, length - 2))
        begin = data.draw(st.integers(cut + 1, length - 1))
        accepted, fault = pass_on([stream[:cut], stream[begin:]])
        assert accepted == stream[:cut]
        assert fault is not None

    # An id may count tokens, of which the events of another server hold more.
    @given(st.tuples(st.integers(2, 9), st.integers(4, 9)), st.integers(1, 99))
    def test_ids_that_count_something_else_need_only_increase(self, equal, next_step):
        step, length = equal
        stream = read([(step, 0)] * length + [(next_step, 0)])
        assert pass_on([stream[:-1], stream[-1:]]) == (stream, None)

    @given(EQUAL_STEPS, st.data())
    def test_part_that_ends_before_its_beginning_is_refused(
        self, step_and_length, data
    ):
        step, length = step_and_length
        stream = read([(step, 0)] * length)
        end = data.draw(st.integers(1, length - 1))
        accepted, fault = pass_on([stream, stream[:end]])
        assert accepted == stream
        assert fault is not None

    def test_ids_too_long_for_numbers_are_passed_on(self):
        events = EventReader().feed(b"id: %b\n\n" % (b"9" * 10_000) * 2)
        sequence = EventSequence(None, may_resume=True)
        sequence.begin_part()
        assert sequence.check(events).accepted == events
        assert not sequence.can_resume
