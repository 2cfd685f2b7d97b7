"""The sidecar: the one process beside each backend server."""

from gentianhoist.sidecar.core import Sidecar

__all__ = ["Sidecar"]
