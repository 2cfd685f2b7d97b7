"""An entry on somebody else's platform: the tasks, put together."""

from gentianhoist.gateway.core import (
    Gateway,
    GatewayAdapter,
    GatewaySettings,
    OperatorView,
)

__all__ = ["GatewayAdapter", "Gateway", "GatewaySettings", "OperatorView"]
