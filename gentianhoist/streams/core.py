"""Putting the frames of one answer together.

The assembler passes on only the next offset of the current attempt. Everything else
is late or crossed and is dropped.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from gentianhoist.wire import Chunk, Frame, Last, Refused

__all__ = [
    "Complete",
    "Corrupt",
    "Deliver",
    "Drop",
    "AttemptRefused",
    "StreamAssembler",
    "text_digest",
]


@dataclass(frozen=True)
class Deliver:
    """Pass these tokens on to the caller."""

    texts: tuple[str, ...]


@dataclass(frozen=True)
class Complete:
    """The answer is whole."""

    count: int
    finish_reason: str


@dataclass(frozen=True)
class Drop:
    """The frame is late, crossed or repeated."""

    reason: str


@dataclass(frozen=True)
class Corrupt:
    """The answer is over, but it isn't the one that was sent."""

    reason: str


@dataclass(frozen=True)
class AttemptRefused:
    """The attempt ended without a whole answer."""

    refusal: Refused


Step = Deliver | Complete | Drop | Corrupt | AttemptRefused


def text_digest(texts: Iterable[str]) -> int:
    """Digest of consecutive tokens.

    Example:
        >>> text_digest(["a", "b"]) == text_digest(["ab"])
        True
    """
    digest = xxhash.xxh64()
    for text in texts:
        digest.update(text.encode())
    return digest.intdigest()


class StreamAssembler:
    """Assembles the answer to one request over all of its attempts.

    Args:
        request_id: The request.
    """

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        self._attempt = 0
        self._next_offset = 0
        self._texts: list[str] = []
        self._digest = xxhash.xxh64()
        self._dropped_frames = 0

    @property
    def attempt(self) -> int:
        """Number of the current attempt, 0 before the first."""
        return self._attempt

    @property
    def next_offset(self) -> int:
        """Offset of the next token."""
        return self._next_offset

    @property
    def text(self) -> str:
        """The answer so far."""
        return "".join(self._texts)

    @property
    def dropped_frames(self) -> int:
        """Frames dropped so far."""
        return self._dropped_frames

    def begin_attempt(self) -> int:
        """Start a new attempt from the next offset; older ones are dropped from now.

        Returns:
            Its number.
        """
        self._attempt += 1
        self._digest = xxhash.xxh64()
        return self._attempt

    def feed(self, frame: Frame) -> Step:
        """Take one frame.

        Args:
            frame: The frame, from any attempt of any request.

        Returns:
            What to do about it.
        """
        if frame.request_id != self._request_id:
            return self._drop("another request's")
        if frame.attempt != self._attempt:
            return self._drop("another attempt's")
        match frame:
            case Chunk(offset=offset, texts=texts):
                return self._feed_chunk(offset, texts)
            case Last(count=count, digest=digest, finish_reason=reason):
                return self._feed_last(count, digest, reason)
            case Refused():
                return AttemptRefused(frame)
            case _:
                return Deliver(())

    def _feed_chunk(self, offset: int, texts: tuple[str, ...]) -> Step:
        if offset > self._next_offset:
            return self._drop("ahead of the next offset")
        fresh = texts[self._next_offset - offset :]
        if not fresh:
            return self._drop("already delivered")
        self._next_offset += len(fresh)
        self._texts.extend(fresh)
        for text in fresh:
            self._digest.update(text.encode())
        return Deliver(fresh)

    def _feed_last(self, count: int, digest: int, reason: str) -> Step:
        if count > self._next_offset:
            return self._drop("tokens before the last frame are missing")
        if count < self._next_offset:
            return Corrupt(f"{self._next_offset} tokens where {count} were sent")
        if digest != self._digest.intdigest():
            return Corrupt("the digest differs")
        return Complete(count, reason)

    def _drop(self, reason: str) -> Drop:
        self._dropped_frames += 1
        return Drop(reason)
