"""Order of merged events while wall clocks differ, filters, and output formats."""

from hypothesis import given
from hypothesis import strategies as st

from gentianhoist.clocks import HybridClock, ManualClock
from gentianhoist.events import (
    EventFilter,
    EventKind,
    EventRing,
    merge_events,
    render_html,
    render_json_lines,
    render_text,
)


def _make_ring(name: str, clock_skew_s: float) -> tuple[EventRing, HybridClock]:
    clock = HybridClock(ManualClock(1_000.0 + clock_skew_s))
    return EventRing(clock, name, "zone-a", capacity=100), clock


@given(
    clock_skews_s=st.lists(st.floats(-5, 5), min_size=3, max_size=3),
    processes=st.lists(st.integers(0, 2), min_size=1, max_size=20),
)
def test_causes_precede_effects(clock_skews_s, processes):
    """Guards against a timeline that shows an effect before its cause.

    Sorting by wall time alone does that when the receiver's wall clock is behind the
    sender's. Each event here follows from a message with the previous one's timestamp.
    """
    rings = [
        _make_ring(f"p{index}", skew_s) for index, skew_s in enumerate(clock_skews_s)
    ]
    last = None
    for number, process in enumerate(processes):
        ring, clock = rings[process]
        if last is not None:
            clock.receive(last)
        ring.record(EventKind.REQUEST_ROUTED, str(number))
        last = clock.last
    merged = merge_events([ring.snapshot() for ring, _ in rings], EventFilter())
    assert [event.cause for event in merged] == [str(n) for n in range(len(processes))]


def test_filters_and_output_formats():
    ring, _ = _make_ring("p0", 0.0)
    ring.record(EventKind.REQUEST_ROUTED, "<b>", "r1")
    ring.record(EventKind.REQUEST_FINISHED, "done", "r2")
    events = merge_events([ring.snapshot(), ring.snapshot()], EventFilter("r1"))
    assert len(events) == 1
    assert "&lt;b&gt;" in render_html(events)
    assert '"request_id":"r1"' in render_json_lines(events)
    assert "request_routed" in render_text(events)
    assert merge_events([ring.snapshot()], EventFilter(instance="other")) == []


def test_ring_capacity_is_bounded():
    ring, _ = _make_ring("p0", 0.0)
    for number in range(300):
        ring.record(EventKind.REQUEST_ROUTED, str(number))
    assert len(ring.snapshot()) == 100
