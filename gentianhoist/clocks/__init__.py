"""Clocks: wall time, monotonic time and hybrid logical timestamps."""

from gentianhoist.clocks._hybrid import HybridClock, HybridTime
from gentianhoist.clocks.core import Clock, ManualClock, SystemClock

__all__ = ["Clock", "HybridClock", "HybridTime", "ManualClock", "SystemClock"]
