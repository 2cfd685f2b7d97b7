"""Recorded traces of decisions, replayed against their stated outcomes."""

from gentianhoist.replay.core import (
    Recorder,
    ReplayMismatch,
    Trace,
    load_trace,
    replay_trace,
)

__all__ = ["Recorder", "ReplayMismatch", "Trace", "load_trace", "replay_trace"]
