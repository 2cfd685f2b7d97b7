"""What one backend server bears: slow start, queue, KV reservations, speeds."""

from gentianhoist.capacity._fair_shares import FairShares
from gentianhoist.capacity._slow_start import SlowStart
from gentianhoist.capacity._speed import SpeedEstimate
from gentianhoist.capacity._work import (
    AdmissionPolicy,
    Decision,
    Refuse,
    Start,
    Wait,
    Work,
    WorkClass,
    classify,
)
from gentianhoist.capacity.core import AdmissionController

__all__ = [
    "Decision",
    "AdmissionController",
    "FairShares",
    "AdmissionPolicy",
    "Refuse",
    "SlowStart",
    "SpeedEstimate",
    "Start",
    "Wait",
    "Work",
    "WorkClass",
    "classify",
]
