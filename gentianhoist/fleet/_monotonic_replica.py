"""A process's copy of something that has versions; it never goes back."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

__all__ = ["MonotonicReplica", "Versioned"]


class Versioned(Protocol):
    """A value with a version."""

    @property
    def version(self) -> int:
        """Its version, from 1 on."""


_T = TypeVar("_T", bound=Versioned)


class MonotonicReplica(Generic[_T]):
    """The newest version that was taken."""

    def __init__(self) -> None:
        self._current: _T | None = None

    @property
    def current(self) -> _T | None:
        """The newest version, or nothing before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Its version, 0 before the first."""
        return self._current.version if self._current else 0

    def update_if_newer(self, value: _T) -> bool:
        """Take a version if it is newer; whether it was."""
        if value.version <= self.version:
            return False
        self._current = value
        return True
