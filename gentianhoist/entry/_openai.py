"""Request and response bodies of the OpenAI-compatible API."""

from __future__ import annotations

import re
import time
from typing import Any, NamedTuple

import msgspec

from gentianhoist.exceptions import DECODE_ERRORS, ErrorKind, HoistError

_FIELD_PATH = re.compile(r"`\$\.?([^`]*)`")


class _TextPart(msgspec.Struct):
    type: str
    text: str = ""


class _ChatMessage(msgspec.Struct):
    role: str
    content: str | list[_TextPart]


class _Body(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    model: str
    stream: bool = False
    stream_options: dict[str, Any] | None = None
    max_tokens: int | None = None
    n: int = 1
    temperature: float | None = None
    top_p: float | None = None
    seed: int | None = None
    user: str | None = None

    def sampling(self) -> str:
        """Return the sampling parameters that the caller set, as a JSON object."""
        given = {
            name: value
            for name in ("temperature", "top_p", "seed")
            if (value := getattr(self, name)) is not None
        }
        return msgspec.json.encode(given).decode()


class CompletionBody(_Body):
    """Body of ``POST /v1/completions``."""

    prompt: str | list[str]


class ChatBody(_Body):
    """Body of ``POST /v1/chat/completions``."""

    messages: list[_ChatMessage]
    max_completion_tokens: int | None = None


class GenerationRequest(NamedTuple):
    """A validated request for a completion or chat completion.

    Attributes:
        model: Name of the model.
        prompt: The prompt; the messages of a chat are joined into one text.
        max_tokens: Maximum number of output tokens, or None for the default.
        stream: Whether to stream the response as server-sent events.
        include_usage: Whether the stream ends with the token usage.
        sampling: Sampling parameters as a JSON object.
        is_chat: Whether it is a chat completion.
    """

    model: str
    prompt: str
    max_tokens: int | None
    stream: bool
    include_usage: bool
    sampling: str
    is_chat: bool


def parse_generation(data: bytes, *, chat: bool) -> GenerationRequest:
    """Parse and validate the body of a generation request.

    Args:
        data: The body, JSON.
        chat: Whether the body is one of a chat completion.

    Returns:
        The validated request.

    Raises:
        HoistError: If the body is invalid; its ``field`` names the offending field.
    """
    body = decode_body(data, ChatBody if chat else CompletionBody)
    prompt = (
        _chat_prompt(body) if isinstance(body, ChatBody) else _completion_prompt(body)
    )
    if not prompt:
        raise _invalid_field("messages" if chat else "prompt", "must not be empty")
    max_tokens = body.max_tokens
    if isinstance(body, ChatBody) and body.max_completion_tokens is not None:
        max_tokens = body.max_completion_tokens
    if max_tokens is not None and max_tokens < 1:
        raise _invalid_field("max_tokens", "must be at least 1")
    if body.n != 1:
        raise _invalid_field("n", "only one choice per request is supported")
    options = body.stream_options or {}
    return GenerationRequest(
        body.model,
        prompt,
        max_tokens,
        body.stream,
        bool(options.get("include_usage")),
        body.sampling(),
        chat,
    )


def decode_body(data: bytes, model: type) -> Any:
    """Decode a JSON body into a msgspec type.

    Args:
        data: The body.
        model: Type to decode into.

    Raises:
        HoistError: If the body is invalid; its ``field`` names the offending field.
    """
    try:
        return msgspec.json.decode(data, type=model)
    except msgspec.ValidationError as error:
        message = str(error)
        path = _FIELD_PATH.search(message)
        unknown = re.search(r"unknown field `([^`]*)`", message)
        missing = re.search(r"required field `([^`]*)`", message)
        match = unknown or missing or path
        raise _invalid_field(match.group(1) if match else "", message) from error
    except (*DECODE_ERRORS, UnicodeDecodeError) as error:
        raise _invalid_field("", f"the body is not valid JSON: {error}") from error


def _invalid_field(field: str, message: str) -> HoistError:
    return HoistError(ErrorKind.INVALID_REQUEST, message, field=field)


def _completion_prompt(body: CompletionBody) -> str:
    if isinstance(body.prompt, str):
        return body.prompt
    if len(body.prompt) != 1:
        raise _invalid_field("prompt", "only one prompt per request is supported")
    return body.prompt[0]


def _chat_prompt(body: ChatBody) -> str:
    lines = []
    for message in body.messages:
        content = message.content
        if isinstance(content, list):
            if any(part.type != "text" for part in content):
                raise _invalid_field("messages", "only text content is supported")
            content = "".join(part.text for part in content)
        lines.append(f"{message.role}: {content}\n")
    return "".join(lines)


class ResponseBuilder:
    """Builds the response to one generation request, as one body or as events.

    Args:
        request_id: Identifier of the request, which is the ``id`` of the response.
        generation: The request.
        prompt_tokens: Number of tokens in the prompt, for the usage.
    """

    def __init__(
        self, request_id: str, generation: GenerationRequest, prompt_tokens: int
    ) -> None:
        self._request_id = request_id
        self._generation = generation
        self._prompt_tokens = prompt_tokens
        self._created_s = int(time.time())

    def complete_body(self, text: str, tokens: int) -> bytes:
        """Return the complete response as one body.

        Args:
            text: The generated text.
            tokens: Number of generated tokens.
        """
        if self._generation.is_chat:
            choice = {"message": {"role": "assistant", "content": text}}
        else:
            choice = {"text": text}
        body = self._make_object("chat.completion", choice, "length")
        body["usage"] = self._make_usage(tokens)
        return msgspec.json.encode(body)

    def chunk_event(self, text: str, *, first: bool) -> bytes:
        """Return one server-sent event with consecutive tokens.

        Args:
            text: Text of the tokens.
            first: Whether this is the first event of the stream.
        """
        return _sse_event(
            self._make_object("chat.completion.chunk", self._make_choice(text, first))
        )

    def final_events(self, tokens: int) -> bytes:
        """Return the server-sent events that end a stream.

        Args:
            tokens: Number of generated tokens.
        """
        delta: dict[str, Any] = (
            {"delta": {}} if self._generation.is_chat else {"text": ""}
        )
        end = _sse_event(self._make_object("chat.completion.chunk", delta, "length"))
        if self._generation.include_usage:
            usage = self._make_object("chat.completion.chunk", delta)
            usage["choices"] = []
            usage["usage"] = self._make_usage(tokens)
            end += _sse_event(usage)
        return end + b"data: [DONE]\n\n"

    def _make_choice(self, text: str, first: bool) -> dict[str, Any]:
        if not self._generation.is_chat:
            return {"text": text}
        role = {"role": "assistant"} if first else {}
        return {"delta": {**role, "content": text}}

    def _make_object(
        self,
        chat_object_type: str,
        choice: dict[str, Any],
        finish_reason: str | None = None,
    ) -> dict[str, Any]:
        return {
            "id": self._request_id,
            "object": chat_object_type
            if self._generation.is_chat
            else "text_completion",
            "created": self._created_s,
            "model": self._generation.model,
            "choices": [
                {"index": 0, "logprobs": None, "finish_reason": finish_reason, **choice}
            ],
        }

    def _make_usage(self, tokens: int) -> dict[str, int]:
        return {
            "prompt_tokens": self._prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": self._prompt_tokens + tokens,
        }


def _sse_event(content: dict[str, Any]) -> bytes:
    return b"data: " + msgspec.json.encode(content) + b"\n\n"


def encode_error(error: HoistError, request_id: str) -> bytes:
    """Return the JSON body of an error response.

    Args:
        error: The error.
        request_id: Identifier of the failed request.
    """
    return msgspec.json.encode({
        "error": {
            "message": error.message,
            "type": error.response.type,
            "param": error.field or None,
            "code": error.kind,
            "not_run": True if error.not_run == "true" else "unknown",
            "retryable": error.response.retryable,
            "retry_after_s": error.retry_after_s,
            "request_id": request_id,
        }
    })
