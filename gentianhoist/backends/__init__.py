"""Clients of the backend servers: model engines and plain services."""

from gentianhoist.backends._engine import EngineClient
from gentianhoist.backends._service import ServiceClient
from gentianhoist.backends.core import (
    EngineBroken,
    EngineEnded,
    EngineRefused,
    EngineSilent,
    EngineStream,
    EngineTokens,
    StreamOrder,
)

__all__ = [
    "EngineBroken",
    "EngineClient",
    "EngineEnded",
    "EngineRefused",
    "EngineSilent",
    "EngineStream",
    "EngineTokens",
    "ServiceClient",
    "StreamOrder",
]
