"""Reassembly of a request's output from the frames of its attempts.

The assembler delivers only tokens of the current attempt from the next expected offset
on. All other frames, such as late, duplicated or out-of-order ones, are dropped.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from gentianhoist.wire import Chunk, Completed, Failed, Frame

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
    """Result of `feed`: deliver these tokens to the caller."""

    texts: tuple[str, ...]


@dataclass(frozen=True)
class Complete:
    """Result of `feed`: the output is complete.

    Attributes:
        count: Number of tokens of the whole output.
        finish_reason: Reason for which the engine ended it.
    """

    count: int
    finish_reason: str


@dataclass(frozen=True)
class Drop:
    """Result of `feed`: the frame is dropped, for the given reason."""

    reason: str


@dataclass(frozen=True)
class Corrupt:
    """Result of `feed`: the output ended, but differs from the one that was sent."""

    reason: str


@dataclass(frozen=True)
class AttemptRefused:
    """Result of `feed`: the backend server refused the attempt or ended it early."""

    refusal: Failed


FeedResult = Deliver | Complete | Drop | Corrupt | AttemptRefused


def text_digest(texts: Iterable[str]) -> int:
    """XXH64 digest of the texts of consecutive tokens.

    Example:
        >>> text_digest(["a", "b"]) == text_digest(["ab"])
        True
    """
    digest = xxhash.xxh64()
    for text in texts:
        digest.update(text.encode())
    return digest.intdigest()


class StreamAssembler:
    """Reassembles the output of one request from the frames of all its attempts.

    Args:
        request_id: Identifier of the request.
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
        """Number of the current attempt; 0 before the first."""
        return self._attempt

    @property
    def next_offset(self) -> int:
        """Offset of the next expected token."""
        return self._next_offset

    @property
    def text(self) -> str:
        """Text delivered so far."""
        return "".join(self._texts)

    @property
    def dropped_frames(self) -> int:
        """Number of frames dropped so far."""
        return self._dropped_frames

    def begin_attempt(self) -> int:
        """Start a new attempt at the next offset; frames of older ones are dropped.

        Returns:
            Number of the new attempt.
        """
        self._attempt += 1
        self._digest = xxhash.xxh64()
        return self._attempt

    def feed(self, frame: Frame) -> FeedResult:
        """Process one frame.

        Args:
            frame: A frame of any attempt of any request.

        Returns:
            What the caller must do.
        """
        if frame.request_id != self._request_id:
            return self._drop("frame of another request")
        if frame.attempt != self._attempt:
            return self._drop("frame of another attempt")
        match frame:
            case Chunk(offset=offset, texts=texts):
                return self._feed_chunk(offset, texts)
            case Completed(end_offset=count, digest=digest, finish_reason=reason):
                return self._feed_last(count, digest, reason)
            case Failed():
                return AttemptRefused(frame)
            case _:
                return Deliver(())

    def _feed_chunk(self, offset: int, texts: tuple[str, ...]) -> FeedResult:
        if offset > self._next_offset:
            return self._drop("offset is beyond the next expected offset")
        new_texts = texts[self._next_offset - offset :]
        if not new_texts:
            return self._drop("tokens are already delivered")
        self._next_offset += len(new_texts)
        self._texts.extend(new_texts)
        for text in new_texts:
            self._digest.update(text.encode())
        return Deliver(new_texts)

    def _feed_last(self, count: int, digest: int, reason: str) -> FeedResult:
        if count > self._next_offset:
            return self._drop("tokens before the last frame are missing")
        if count < self._next_offset:
            return Corrupt(
                f"{self._next_offset} tokens were received, but {count} were sent"
            )
        if digest != self._digest.intdigest():
            return Corrupt("digest of the tokens differs from the one sent")
        return Complete(count, reason)

    def _drop(self, reason: str) -> Drop:
        self._dropped_frames += 1
        return Drop(reason)
