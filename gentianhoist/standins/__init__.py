"""Stand-ins for the outside systems, with faults that can be switched on over HTTP.

They speak the published protocols of the systems that they stand for, so that the
product meets them through the same clients as the real ones.
"""

from gentianhoist.standins._engine_model import (
    EngineModel,
    EngineProfile,
    StreamSpec,
    expected_texts,
)
from gentianhoist.standins._table_model import MemoryTable, TableModel
from gentianhoist.standins.engine import EngineFaults, EngineStandin
from gentianhoist.standins.platform import PlatformFaults, PlatformStandin
from gentianhoist.standins.service import ServiceFaults, ServiceStandin

__all__ = [
    "EngineFaults",
    "EngineModel",
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
