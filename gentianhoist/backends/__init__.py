"""HTTP clients of the backend servers: model engines and plain services."""

from gentianhoist.backends._engine import EngineClient
from gentianhoist.backends._service import ServiceClient
from gentianhoist.backends.core import (
    EngineConnectionError,
    EngineReadTimeout,
    EngineRefused,
    EngineStream,
    EngineStreamEnd,
    EngineTokens,
    StreamRequest,
)

__all__ = [
    "EngineConnectionError",
    "EngineClient",
    "EngineStreamEnd",
    "EngineRefused",
    "EngineReadTimeout",
    "EngineStream",
    "EngineTokens",
    "ServiceClient",
    "StreamRequest",
]
