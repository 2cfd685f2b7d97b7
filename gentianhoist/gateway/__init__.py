"""Entry process for an external platform, reached through a platform adapter."""

from gentianhoist.gateway._adapter import GatewayAdapter, GatewaySettings, OperatorView
from gentianhoist.gateway.core import Gateway

__all__ = ["GatewayAdapter", "Gateway", "GatewaySettings", "OperatorView"]
