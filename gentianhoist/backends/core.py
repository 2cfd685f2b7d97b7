"""Requests, stream items and errors of the engine client."""

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
    """Request to start a stream, the JSON body of the engine's ``POST /v1/streams``.

    Attributes:
        stream_id: Identifier of the stream, chosen by the sidecar.
        prompt: Text of the prompt.
        prompt_tokens: Tokens to prefill: the prompt and what is already generated.
        max_tokens: Offset after the last token wanted.
        start: Offset of the first token wanted.
        priority: Scheduling priority; lower goes first.
        labels: Hashes of the prompt's prefixes with their lengths in tokens.
        generated: The answer before ``start``, which the stream continues.
        sampling: Sampling parameters, as JSON.
        hold: Whether the engine keeps the prompt's KV cache and generates nothing.
        imported: Whether the engine imports the prompt's KV cache, which another engine
            has exported, instead of computing it.
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
    """Consecutive tokens of a stream.

    Attributes:
        offset: Offset of the first token, from the start of the answer.
        texts: Text of each token.
    """

    offset: int
    texts: list[str]


@dataclass(frozen=True)
class EngineStreamEnd:
    """End of a stream.

    Attributes:
        reason: ``length`` if the answer is complete, otherwise the cause of failure.
        end_offset: Offset after the last token.
    """

    reason: str
    end_offset: int


EngineStream = AsyncIterator[EngineTokens | EngineStreamEnd]


class EngineRefused(Exception):
    """The engine refused a request, or no connection for a stream could be opened.

    A stream that the engine does not know can't be resumed, which is a refusal with
    status 404. A connection that is not opened in time raises `EngineReadTimeout`, and
    one that fails for another request raises `EngineConnectionError`.

    Args:
        status: HTTP status; 503 if no connection for a stream could be opened.
        message: Body of the response, or the connection error.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class EngineConnectionError(Exception):
    """The connection failed; the engine may have run or be running the request."""


class EngineReadTimeout(EngineConnectionError):
    """No data of a stream came in time; the stream may continue in the engine.

    Raised after the read timeout, or if the connection is not opened in time. The
    message is the path of the request.
    """
