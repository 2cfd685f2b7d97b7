"""A bounded subset of backend servers for each entry."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rendezvous_weight(seed: str, name: str) -> int:
    """Weight of a name in rendezvous hashing; the highest wins."""
    return xxhash.xxh64_intdigest(f"{seed}\0{name}".encode())


def choose_subset(entry: str, names: Iterable[str], size: int) -> frozenset[str]:
    """The backend servers that one entry talks to.

    A server that joins or leaves changes at most one place in each entry's subset.

    Args:
        entry: Name of the entry.
        names: All backend servers of a group.
        size: How many to choose at the most.

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
