"""An entry on somebody else's platform: the tasks, put together."""

from gentianhoist.gateway.core import (
    Boundary,
    Gateway,
    GatewaySettings,
    OperatorView,
)

__all__ = ["Boundary", "Gateway", "GatewaySettings", "OperatorView"]
