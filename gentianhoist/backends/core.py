"""What a sidecar says to its engine, and what it hears from it."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass

import msgspec

__all__ = [
    "EngineConnectionError",
    "EngineStreamEnd",
    "EngineRefused",
    "EngineReadTimeout",
    "EngineStream",
    "EngineTokens",
    "StreamRequest",
]


class StreamRequest(msgspec.Struct, frozen=True):
    """An order to start a stream, as the engine's protocol has it.

    Attributes:
        stream_id: Name of the stream.
        prompt: The prompt.
        prompt_tokens: Its tokens.
        max_tokens: Offset after the last token wanted.
        start: Offset of the first token wanted.
        priority: Lower goes first.
        labels: Names of the prompt's prefixes with their lengths in tokens.
        generated: The answer before ``start``, which the stream goes on from.
        sampling: Sampling parameters, as JSON.
        hold: Whether the engine keeps the prompt's memory and generates nothing.
        imported: Whether that memory is imported and not computed.
    """

    stream_id: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    start: int = 0
    priority: int = 0
    labels: tuple[tuple[int, int], ...] = ()
    generated: str = ""
    sampling: str = "{}"
    hold: bool = False
    imported: bool = False


@dataclass(frozen=True)
class EngineTokens:
    """Consecutive tokens."""

    offset: int
    texts: list[str]


@dataclass(frozen=True)
class EngineStreamEnd:
    """The stream is over.

    Attributes:
        reason: ``length`` if the answer is whole, else why it isn't.
        end_offset: Offset after the last token.
    """

    reason: str
    end_offset: int


EngineStream = AsyncIterator[EngineTokens | EngineStreamEnd]


class EngineRefused(Exception):
    """The engine did not take the work.

    Args:
        status: HTTP status.
        message: What it said.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class EngineConnectionError(Exception):
    """The connection broke; the stream may go on in the engine."""


class EngineReadTimeout(EngineConnectionError):
    """The connection says nothing; the stream may go on in the engine."""
