"""The entry: the thin instance behind the platform's balancer."""

from gentianhoist.entry.core import Entry

__all__ = ["Entry"]
