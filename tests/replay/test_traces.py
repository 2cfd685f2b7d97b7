"""Recorded traces give the answers and keep the bounds that they state."""

from pathlib import Path

import msgspec
import pytest

from gentianhoist.replay import ReplayMismatch, Trace, load_trace, replay_trace

_TRACES = sorted((Path(__file__).parents[1] / "traces").glob("*.jsonl"))


def test_there_are_traces():
    assert len(_TRACES) >= 2


@pytest.mark.parametrize("path", _TRACES, ids=lambda path: path.stem)
def test_trace_gives_what_it_states(path):
    trace = load_trace(path)
    assert replay_trace(trace) == len(trace.steps)


@pytest.mark.parametrize("path", _TRACES, ids=lambda path: path.stem)
def test_changed_answer_is_found(path):
    trace = load_trace(path)
    steps = [
        msgspec.structs.replace(step, answer=["changed"]) if number == 5 else step
        for number, step in enumerate(trace.steps)
    ]
    with pytest.raises(ReplayMismatch):
        replay_trace(Trace(trace.header, steps))


def test_missed_bound_is_found():
    trace = load_trace(next(path for path in _TRACES if "gate" in path.stem))
    tight = msgspec.structs.replace(trace.header.setup, most_running=1)
    header = msgspec.structs.replace(trace.header, setup=tight)
    with pytest.raises(ReplayMismatch):
        replay_trace(Trace(header, trace.steps))
