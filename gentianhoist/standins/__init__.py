"""Stand-ins for the external systems, with faults that can be injected over HTTP.

A stand-in replaces a model engine, a plain service or the platform's services in tests
and in the demo. It implements the published protocol of the system that it replaces, so
that the same clients are used as with the real one.
"""

from gentianhoist.standins._engine_simulator import (
    EngineProfile,
    EngineSimulator,
    StreamSpec,
    expected_texts,
)
from gentianhoist.standins._table_model import MemoryTable, TableModel
from gentianhoist.standins.engine import EngineFaults, EngineStandin
from gentianhoist.standins.platform import PlatformFaults, PlatformStandin
from gentianhoist.standins.service import ServiceFaults, ServiceStandin

__all__ = [
    "EngineFaults",
    "EngineSimulator",
    "EngineProfile",
    "EngineStandin",
    "MemoryTable",
    "PlatformFaults",
    "PlatformStandin",
    "ServiceFaults",
    "ServiceStandin",
    "StreamSpec",
    "TableModel",
    "expected_texts",
]
