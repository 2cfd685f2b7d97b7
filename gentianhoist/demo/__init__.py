"""A demo of the whole system in one process, over HTTP and gRPC on loopback.

The external systems are stand-ins. Tests and benchmarks use `EmbeddedFleet` too.
"""

from gentianhoist.demo._fleet import EmbeddedFleet, FleetPlan, find_free_ports
from gentianhoist.demo.core import run_demo

__all__ = ["EmbeddedFleet", "FleetPlan", "find_free_ports", "run_demo"]
