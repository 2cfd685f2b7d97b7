"""Recording of admission decisions as traces, and their replay as regression tests."""

from gentianhoist.replay.core import (
    Recorder,
    ReplayMismatch,
    Trace,
    load_trace,
    replay_trace,
)

__all__ = ["Recorder", "ReplayMismatch", "Trace", "load_trace", "replay_trace"]
