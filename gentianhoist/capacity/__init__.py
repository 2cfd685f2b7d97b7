"""Capacity of one backend server: admission control and what it is based on.

These are an adaptive limit of streams, KV cache reservations, speed estimates and fair
shares of the organisations.
"""

from gentianhoist.capacity._concurrency_limit import AdaptiveConcurrencyLimit
from gentianhoist.capacity._fair_shares import FairShares
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
    "AdaptiveConcurrencyLimit",
    "SpeedEstimate",
    "Start",
    "Wait",
    "Work",
    "WorkClass",
    "classify",
]
