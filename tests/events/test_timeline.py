"""One order over all processes, also where wall clocks differ."""

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


def _ring(name: str, ahead_s: float) -> tuple[EventRing, HybridClock]:
    clock = HybridClock(ManualClock(1_000.0 + ahead_s))
    return EventRing(clock, name, "zone-a", capacity=100), clock


@given(
    ahead=st.lists(st.floats(-5, 5), min_size=3, max_size=3),
    hops=st.lists(st.integers(0, 2), min_size=1, max_size=20),
)
def test_cause_stands_before_effect(ahead, hops):
    """A message carries the time; what follows from it is later."""
    rings = [_ring(f"p{index}", skew) for index, skew in enumerate(ahead)]
    last = None
    for number, hop in enumerate(hops):
        ring, clock = rings[hop]
        if last is not None:
            clock.receive(last)
        ring.record(EventKind.REQUEST_ROUTED, str(number))
        last = clock.last
    merged = merge_events([ring.snapshot() for ring, _ in rings], EventFilter())
    assert [event.cause for event in merged] == [str(n) for n in range(len(hops))]


def test_filters_and_forms():
    ring, _ = _ring("p0", 0.0)
    ring.record(EventKind.REQUEST_ROUTED, "<b>", "r1")
    ring.record(EventKind.REQUEST_FINISHED, "done", "r2")
    events = merge_events([ring.snapshot(), ring.snapshot()], EventFilter("r1"))
    assert len(events) == 1
    assert "&lt;b&gt;" in render_html(events)
    assert '"request_id":"r1"' in render_json_lines(events)
    assert "request_routed" in render_text(events)
    assert merge_events([ring.snapshot()], EventFilter(instance="other")) == []


def test_ring_is_bounded():
    ring, _ = _ring("p0", 0.0)
    for number in range(300):
        ring.record(EventKind.REQUEST_ROUTED, str(number))
    assert len(ring.snapshot()) == 100
