"""The callers' interface: bodies and answers in the OpenAI conventions."""

from __future__ import annotations

import re
import time
from typing import Any, NamedTuple

import msgspec

from gentianhoist.exceptions import ErrorKind, HoistError

_FIELD = re.compile(r"`\$\.?([^`]*)`")


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
        """The sampling parameters as JSON."""
        chosen = {
            name: value
            for name in ("temperature", "top_p", "seed")
            if (value := getattr(self, name)) is not None
        }
        return msgspec.json.encode(chosen).decode()


class CompletionBody(_Body):
    """Body of ``POST /v1/completions``."""

    prompt: str | list[str]


class ChatBody(_Body):
    """Body of ``POST /v1/chat/completions``."""

    messages: list[_ChatMessage]
    max_completion_tokens: int | None = None


class GenerationRequest(NamedTuple):
    """What a body asks for.

    Attributes:
        model: Name of the model.
        prompt: The prompt as one text.
        max_tokens: Tokens of the answer at the most, or nothing for the default.
        stream: Whether the answer is streamed.
        include_usage: Whether the stream ends with the usage.
        sampling: Sampling parameters, as JSON.
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
    """Check a caller's body.

    Args:
        data: The body.
        chat: Whether it is a chat completion's.

    Returns:
        What it asks for.

    Raises:
        HoistError: Naming the field that is wrong.
    """
    body = decode_body(data, ChatBody if chat else CompletionBody)
    prompt = _chat_prompt(body) if isinstance(body, ChatBody) else _prompt(body)
    if not prompt:
        raise _invalid("messages" if chat else "prompt", "must not be empty")
    limit = body.max_tokens
    if isinstance(body, ChatBody) and body.max_completion_tokens is not None:
        limit = body.max_completion_tokens
    if limit is not None and limit < 1:
        raise _invalid("max_tokens", "must be at least 1")
    if body.n != 1:
        raise _invalid("n", "only one answer a request is supported")
    options = body.stream_options or {}
    return GenerationRequest(
        body.model,
        prompt,
        limit,
        body.stream,
        bool(options.get("include_usage")),
        body.sampling(),
        chat,
    )


def decode_body(data: bytes, model: type) -> Any:
    """Decode a JSON body.

    Raises:
        HoistError: Naming the field that is wrong.
    """
    try:
        return msgspec.json.decode(data, type=model)
    except msgspec.ValidationError as error:
        message = str(error)
        found = _FIELD.search(message)
        unknown = re.search(r"unknown field `([^`]*)`", message)
        missing = re.search(r"required field `([^`]*)`", message)
        named = unknown or missing or found
        raise _invalid(named.group(1) if named else "", message) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _invalid("", f"the body is not JSON: {error}") from error


def _invalid(field: str, message: str) -> HoistError:
    return HoistError(ErrorKind.INVALID_REQUEST, message, field=field)


def _prompt(body: CompletionBody) -> str:
    if isinstance(body.prompt, str):
        return body.prompt
    if len(body.prompt) != 1:
        raise _invalid("prompt", "only one prompt a request is supported")
    return body.prompt[0]


def _chat_prompt(body: ChatBody) -> str:
    lines = []
    for message in body.messages:
        content = message.content
        if isinstance(content, list):
            if any(part.type != "text" for part in content):
                raise _invalid("messages", "only text content is supported")
            content = "".join(part.text for part in content)
        lines.append(f"{message.role}: {content}\n")
    return "".join(lines)


class ResponseBuilder:
    """Shapes the answer to one request.

    Args:
        request_id: The request.
        generation: What was asked.
        prompt_tokens: Tokens of the prompt.
    """

    def __init__(
        self, request_id: str, generation: GenerationRequest, prompt_tokens: int
    ) -> None:
        self._request_id = request_id
        self._generation = generation
        self._prompt_tokens = prompt_tokens
        self._created_s = int(time.time())

    def complete_body(self, text: str, tokens: int) -> bytes:
        """The whole answer as one body."""
        if self._generation.is_chat:
            choice = {"message": {"role": "assistant", "content": text}}
        else:
            choice = {"text": text}
        body = self._frame("chat.completion", choice, "length")
        body["usage"] = self._usage(tokens)
        return msgspec.json.encode(body)

    def chunk_event(self, text: str, *, first: bool) -> bytes:
        """One server-sent event with consecutive tokens."""
        return _event(self._frame("chat.completion.chunk", self._delta(text, first)))

    def final_events(self, tokens: int) -> bytes:
        """The server-sent events that end a stream."""
        delta: dict[str, Any] = (
            {"delta": {}} if self._generation.is_chat else {"text": ""}
        )
        end = _event(self._frame("chat.completion.chunk", delta, "length"))
        if self._generation.include_usage:
            usage = self._frame("chat.completion.chunk", delta)
            usage["choices"] = []
            usage["usage"] = self._usage(tokens)
            end += _event(usage)
        return end + b"data: [DONE]\n\n"

    def _delta(self, text: str, first: bool) -> dict[str, Any]:
        if not self._generation.is_chat:
            return {"text": text}
        role = {"role": "assistant"} if first else {}
        return {"delta": {**role, "content": text}}

    def _frame(
        self, chat_object: str, choice: dict[str, Any], finish: str | None = None
    ) -> dict[str, Any]:
        return {
            "id": self._request_id,
            "object": chat_object if self._generation.is_chat else "text_completion",
            "created": self._created_s,
            "model": self._generation.model,
            "choices": [
                {"index": 0, "logprobs": None, "finish_reason": finish, **choice}
            ],
        }

    def _usage(self, tokens: int) -> dict[str, int]:
        return {
            "prompt_tokens": self._prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": self._prompt_tokens + tokens,
        }


def _event(content: dict[str, Any]) -> bytes:
    return b"data: " + msgspec.json.encode(content) + b"\n\n"


def encode_error(error: HoistError, request_id: str) -> bytes:
    """The body of an error answer."""
    return msgspec.json.encode({
        "error": {
            "message": error.message,
            "type": error.answer.type,
            "param": error.field or None,
            "code": error.kind,
            "not_run": True if error.not_run == "true" else "unknown",
            "retryable": error.answer.retryable,
            "retry_after_s": error.retry_after_s,
            "request_id": request_id,
        }
    })
