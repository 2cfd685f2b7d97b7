"""Tokens that a sidecar keeps until the entry has acknowledged them."""

from __future__ import annotations

import xxhash


class FrameBuffer:
    """The unacknowledged tokens of one attempt.

    Args:
        start: Offset of the attempt's first token.

    Example:
        >>> buffer = FrameBuffer(0)
        >>> buffer.append(["a", "b", "c"])
        >>> buffer.acknowledge(2)
        >>> buffer.tokens_from(2)
        ('c',)
    """

    def __init__(self, start: int) -> None:
        self._first = start
        self._texts: list[str] = []
        self._size_bytes = 0
        self._digest = xxhash.xxh64()

    @property
    def first_offset(self) -> int:
        """Offset of the first token that is kept."""
        return self._first

    @property
    def end_offset(self) -> int:
        """Offset after the last token."""
        return self._first + len(self._texts)

    @property
    def size_bytes(self) -> int:
        """Bytes of text kept."""
        return self._size_bytes

    @property
    def digest(self) -> int:
        """Digest of all tokens of the attempt, acknowledged ones included."""
        return self._digest.intdigest()

    def append(self, texts: list[str]) -> None:
        """Add the next tokens."""
        self._texts.extend(texts)
        for text in texts:
            self._digest.update(text.encode())
            self._size_bytes += len(text)

    def acknowledge(self, offset: int) -> None:
        """Forget the tokens before an offset; an old offset changes nothing."""
        done = min(max(0, offset - self._first), len(self._texts))
        self._size_bytes -= sum(len(text) for text in self._texts[:done])
        del self._texts[:done]
        self._first += done

    def tokens_from(self, offset: int) -> tuple[str, ...]:
        """The tokens from an offset on.

        Raises:
            IndexError: If tokens from there on were acknowledged and forgotten.
        """
        if offset < self._first:
            raise IndexError(offset)
        return tuple(self._texts[offset - self._first :])
