"""Hashes of a prompt's prefixes, taken at fixed lengths."""

from __future__ import annotations

from typing import NamedTuple

import xxhash

_BYTES_PER_TOKEN = 4
_FINE_STEP_TOKENS = 256
_FINE_COUNT = 16
_COARSE_STEP_TOKENS = 4096
# Hashes fit a signed 64-bit integer.
_HASH_BITS = 63


class PrefixHash(NamedTuple):
    """Hash of one prefix of a prompt.

    Attributes:
        digest: Hash of the prefix's text, in 63 bits.
        tokens: Length of the prefix, in estimated tokens.
    """

    digest: int
    tokens: int


def estimate_tokens(text: str) -> int:
    """Estimate the number of tokens of a text from its bytes, at least 1.

    Example:
        >>> estimate_tokens("four")
        1
    """
    return max(1, -(-len(text.encode()) // _BYTES_PER_TOKEN))


def _prefix_lengths(tokens: int) -> list[int]:
    fine = range(
        _FINE_STEP_TOKENS,
        min(tokens, _FINE_STEP_TOKENS * _FINE_COUNT) + 1,
        _FINE_STEP_TOKENS,
    )
    coarse = range(2 * _COARSE_STEP_TOKENS, tokens + 1, _COARSE_STEP_TOKENS)
    return [*fine, *coarse]


def prefix_hashes(prompt: str) -> tuple[PrefixHash, ...]:
    """Hash the prefixes of a prompt.

    Prefix lengths are dense in the first 4,096 tokens, where prompts share
    instructions, and sparse after that, so that a million tokens have a few hundred
    hashes.

    Args:
        prompt: Text of the prompt.

    Returns:
        The hashes, shortest prefix first.
    """
    data = prompt.encode()
    hasher = xxhash.xxh64()
    hashes = []
    begin = 0
    for tokens in _prefix_lengths(len(data) // _BYTES_PER_TOKEN):
        end = tokens * _BYTES_PER_TOKEN
        hasher.update(data[begin:end])
        begin = end
        hashes.append(PrefixHash(hasher.intdigest() >> (64 - _HASH_BITS), tokens))
    return tuple(hashes)
