"""Replays of the recorded traces give the recorded results and keep their bounds."""

from pathlib import Path

import msgspec
import pytest

from gentianhoist.replay import ReplayMismatch, Trace, load_trace, replay_trace

_TRACES = sorted((Path(__file__).parents[1] / "traces").glob("*.jsonl"))


def test_traces_are_found():
    assert len(_TRACES) >= 2


@pytest.mark.parametrize("path", _TRACES, ids=lambda path: path.stem)
def test_replay_matches_trace(path):
    trace = load_trace(path)
    assert replay_trace(trace) == len(trace.steps)


@pytest.mark.parametrize("path", _TRACES, ids=lambda path: path.stem)
def test_changed_answer_is_reported(path):
    trace = load_trace(path)
    steps = [
        msgspec.structs.replace(step, answer=["changed"]) if index == 5 else step
        for index, step in enumerate(trace.steps)
    ]
    with pytest.raises(ReplayMismatch):
        replay_trace(Trace(trace.header, steps))


def test_violated_bound_is_reported():
    trace = load_trace(next(path for path in _TRACES if "gate" in path.stem))
    strict_setup = msgspec.structs.replace(trace.header.setup, most_running=1)
    header = msgspec.structs.replace(trace.header, setup=strict_setup)
    with pytest.raises(ReplayMismatch):
        replay_trace(Trace(header, trace.steps))
