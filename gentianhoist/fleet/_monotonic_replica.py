"""A process's replica of a versioned value, whose version never decreases."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

__all__ = ["MonotonicReplica", "Versioned"]


class Versioned(Protocol):
    """A value that carries a version."""

    @property
    def version(self) -> int:
        """Version of the value, at least 1."""


_T = TypeVar("_T", bound=Versioned)


class MonotonicReplica(Generic[_T]):
    """The newest version of a value that this process has seen."""

    def __init__(self) -> None:
        self._current: _T | None = None

    @property
    def current(self) -> _T | None:
        """Newest value, or None before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Version of the newest value; 0 before the first."""
        return self._current.version if self._current else 0

    def update_if_newer(self, value: _T) -> bool:
        """Replace the current value if the given one is newer.

        Args:
            value: Candidate value, in any order of arrival.

        Returns:
            Whether the value was newer and is now current.
        """
        if value.version <= self.version:
            return False
        self._current = value
        return True
