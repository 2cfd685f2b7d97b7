"""Buffer of the tokens that an entry has not yet acknowledged to the sidecar."""

from __future__ import annotations

import xxhash


class RetransmissionBuffer:
    """Retransmission buffer of one attempt's unacknowledged tokens.

    Args:
        start: Offset of the attempt's first token.

    Example:
        >>> buffer = RetransmissionBuffer(0)
        >>> buffer.append(["a", "b", "c"])
        >>> buffer.acknowledge(2)
        >>> buffer.tokens_from(2)
        ('c',)
    """

    def __init__(self, start: int) -> None:
        self._first_offset = start
        self._texts: list[str] = []
        self._size_chars = 0
        self._digest = xxhash.xxh64()

    @property
    def first_offset(self) -> int:
        """Offset of the first buffered token."""
        return self._first_offset

    @property
    def end_offset(self) -> int:
        """Offset after the last appended token."""
        return self._first_offset + len(self._texts)

    @property
    def size_chars(self) -> int:
        """Size of the buffered text, in code points."""
        return self._size_chars

    @property
    def digest(self) -> int:
        """XXH64 digest of all tokens of the attempt, acknowledged ones included."""
        return self._digest.intdigest()

    def append(self, texts: list[str]) -> None:
        """Append the next tokens."""
        self._texts.extend(texts)
        for text in texts:
            self._digest.update(text.encode())
            self._size_chars += len(text)

    def acknowledge(self, offset: int) -> None:
        """Discard the tokens before an offset; an older offset has no effect."""
        acknowledged = min(max(0, offset - self._first_offset), len(self._texts))
        self._size_chars -= sum(len(text) for text in self._texts[:acknowledged])
        del self._texts[:acknowledged]
        self._first_offset += acknowledged

    def tokens_from(self, offset: int) -> tuple[str, ...]:
        """The tokens from an offset to the end.

        Raises:
            IndexError: If the token at the offset has been discarded.
        """
        if offset < self._first_offset:
            raise IndexError(offset)
        return tuple(self._texts[offset - self._first_offset :])
