"""Clocks: one that runs through a pause, and hybrid logical time stamps."""

from gentianhoist.clocks._hybrid import HybridClock, HybridTime
from gentianhoist.clocks.core import Clock, ManualClock, SystemClock

__all__ = ["Clock", "HybridClock", "HybridTime", "ManualClock", "SystemClock"]
