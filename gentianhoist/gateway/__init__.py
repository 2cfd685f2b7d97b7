"""Entry process for an external platform, reached through a platform adapter."""

from gentianhoist.gateway.core import (
    Gateway,
    GatewayAdapter,
    GatewaySettings,
    OperatorView,
)

__all__ = ["GatewayAdapter", "Gateway", "GatewaySettings", "OperatorView"]
