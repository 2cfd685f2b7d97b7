"""The sidecar process, one beside each backend server.

Sidecars take requests from entries, the processes that accept callers' requests.
"""

from gentianhoist.sidecar.core import Sidecar

__all__ = ["Sidecar"]
