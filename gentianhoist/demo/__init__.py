"""The whole path in one process, on embedded stand-ins, over real HTTP."""

from gentianhoist.demo._fleet import EmbeddedFleet, FleetPlan, find_free_ports
from gentianhoist.demo.core import run_demo

__all__ = ["EmbeddedFleet", "FleetPlan", "find_free_ports", "run_demo"]
