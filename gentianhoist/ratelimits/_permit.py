"""Right to send one request to backend servers that may have a rate limit."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from gentianhoist.fleet import BackendServer

__all__ = ["SendPermit", "TokenSource"]


class TokenSource(Protocol):
    """Takes the tokens of servers with a rate limit."""

    def take(self, server: BackendServer) -> bool:
        """Take a token; returns whether the server has a limit."""
        ...

    def give_back(self, server: BackendServer) -> None:
        """Give back a token."""
        ...


class SendPermit:
    """Tokens for one request, one of each server that works on it.

    Args:
        source: Takes the tokens.
        servers: The servers; tokens of those with a limit are taken at once.
    """

    def __init__(self, source: TokenSource, servers: Sequence[BackendServer]) -> None:
        self._source = source
        self._untaken: list[BackendServer] = []
        self._taken: list[BackendServer] = []
        for server in servers:
            is_limited = source.take(server)
            (self._taken if is_limited else self._untaken).append(server)

    def use(self) -> None:
        """Spend the tokens, since the request is being sent.

        A server may have named a limit since the tokens were taken; the request counts
        against it all the same.
        """
        untaken, self._untaken = self._untaken, []
        for server in untaken:
            self._source.take(server)
        self._taken = []

    def release(self) -> None:
        """Give back the tokens, unless they are spent; idempotent."""
        taken, self._taken = self._taken, []
        self._untaken = []
        for server in taken:
            self._source.give_back(server)
