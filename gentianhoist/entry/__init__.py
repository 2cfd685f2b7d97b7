"""The entry: the process behind the load balancer that routes callers' requests."""

from gentianhoist.entry.core import Entry

__all__ = ["Entry"]
