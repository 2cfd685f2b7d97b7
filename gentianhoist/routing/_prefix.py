"""Prefixes of a prompt, named by hashes at fixed places."""

from __future__ import annotations

from typing import NamedTuple

import xxhash

_BYTES_PER_TOKEN = 4
_FINE_TOKENS = 256
_FINE_MARKS = 16
_COARSE_TOKENS = 4096
_HASH_BITS = 63


class PrefixHash(NamedTuple):
    """One prefix.

    Attributes:
        digest: Hash of its text.
        tokens: Its length.
    """

    digest: int
    tokens: int


def count_tokens(text: str) -> int:
    """Estimate of the tokens in a text, at least 1.

    Example:
        >>> count_tokens("four")
        1
    """
    return max(1, -(-len(text.encode()) // _BYTES_PER_TOKEN))


def _mark_places(tokens: int) -> list[int]:
    fine = range(
        _FINE_TOKENS, min(tokens, _FINE_TOKENS * _FINE_MARKS) + 1, _FINE_TOKENS
    )
    coarse = range(2 * _COARSE_TOKENS, tokens + 1, _COARSE_TOKENS)
    return [*fine, *coarse]


def prefix_hashes(prompt: str) -> tuple[PrefixHash, ...]:
    """Marks of a prompt's prefixes, shortest first.

    They are dense in the first 4,096 tokens, where prompts share instructions, and
    sparse after that, so that a million tokens have a few hundred marks.

    Args:
        prompt: The prompt.

    Returns:
        The marks.
    """
    data = prompt.encode()
    digest = xxhash.xxh64()
    marks = []
    begin = 0
    for tokens in _mark_places(len(data) // _BYTES_PER_TOKEN):
        end = tokens * _BYTES_PER_TOKEN
        digest.update(data[begin:end])
        begin = end
        marks.append(PrefixHash(digest.intdigest() >> (64 - _HASH_BITS), tokens))
    return tuple(marks)
