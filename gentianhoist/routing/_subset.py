"""Deterministic subsetting: a bounded set of backend servers for each entry."""

from __future__ import annotations

from collections.abc import Iterable

from gentianhoist.hashing import rendezvous_weight


def choose_subset(entry: str, names: Iterable[str], size: int) -> frozenset[str]:
    """Choose the backend servers that one entry connects to, by rendezvous hashing.

    A backend server that joins or leaves changes at most one member of each entry's
    subset.

    Args:
        entry: Name of the entry.
        names: Names of all backend servers of a group.
        size: Maximum size of the subset.

    Returns:
        The chosen names.

    Example:
        >>> len(choose_subset("entry-1", [f"s{i}" for i in range(50)], 24))
        24
    """
    ranked = sorted(
        names, key=lambda name: rendezvous_weight(entry, name), reverse=True
    )
    return frozenset(ranked[:size])
