"""What one backend server bears: slow start, queue, KV reservations, speeds."""

from gentianhoist.capacity._fair_shares import FairShares
from gentianhoist.capacity._slow_start import SlowStart
from gentianhoist.capacity._speed import SpeedEstimate
from gentianhoist.capacity._work import (
    Decision,
    GatePolicy,
    Refuse,
    Start,
    Wait,
    Work,
    WorkClass,
    classify,
)
from gentianhoist.capacity.core import EngineGate

__all__ = [
    "Decision",
    "EngineGate",
    "FairShares",
    "GatePolicy",
    "Refuse",
    "SlowStart",
    "SpeedEstimate",
    "Start",
    "Wait",
    "Work",
    "WorkClass",
    "classify",
]
