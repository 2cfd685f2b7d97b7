"""Rendezvous hashing: choices that processes make alike, without messages."""

from __future__ import annotations

import xxhash

__all__ = ["rendezvous_weight"]


def rendezvous_weight(seed: str, name: str) -> int:
    """Weight of a name under a seed in rendezvous hashing; the highest is chosen."""
    return xxhash.xxh64_intdigest(f"{seed}\0{name}".encode())
