"""The sidecar process, one beside each backend server."""

from gentianhoist.sidecar.core import Sidecar

__all__ = ["Sidecar"]
