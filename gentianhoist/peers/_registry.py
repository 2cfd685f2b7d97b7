"""Registry of the kinds of messages that entries exchange."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from typing import Any, Generic, NamedTuple, TypeVar, Union

import msgspec

from gentianhoist.clocks import Clock

__all__ = ["Batch", "MessageKind", "MessageRegistry", "Sender"]

_log = logging.getLogger(__name__)

# Messages that can't be used are logged at most this often: an entry of another
# version may send many of them.
_MIN_LOG_INTERVAL_S = 5.0

Message = TypeVar("Message")


class Sender(NamedTuple):
    """The entry that sent a message.

    Attributes:
        host: Its IP address.
        incarnation: Name of this run of its process, new at each start.
    """

    host: str
    incarnation: str


def _no_messages(host: str) -> Sequence[Any]:
    return ()


def _no_repeats() -> Sequence[Any]:
    return ()


def _no_fault(message: Any) -> str | None:
    return None


class MessageKind(NamedTuple):
    """How an entry handles one type of message.

    Attributes:
        type: Type of the messages: a `msgspec.Struct` with a tag of its own.
        receive: Called with a message, its sender, and the current time in seconds.
        snapshot: Returns the messages that an entry needs which has just started,
            given by its IP address.
        repeats: Returns the messages that are sent again from time to time, since the
            datagrams that brought them first may have been lost.
        check: Returns the name of a field with an impossible value, or None.
    """

    type: type[msgspec.Struct]
    receive: Callable[[Any, Sender, float], None]
    snapshot: Callable[[str], Sequence[Any]] = _no_messages
    repeats: Callable[[], Sequence[Any]] = _no_repeats
    check: Callable[[Any], str | None] = _no_fault


class Batch(msgspec.Struct, Generic[Message], array_like=True):
    """Content of one datagram; without messages it is only a heartbeat.

    Attributes:
        incarnation: Name of this run of the sending entry's process, new at each start.
        messages: Messages in the order of their events.
    """

    incarnation: str
    messages: list[Message]


class MessageRegistry:
    """Decodes datagrams, and passes each message to the handler of its kind.

    Args:
        clock: The entry's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._kinds: dict[type, MessageKind] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._raw_decoder = msgspec.msgpack.Decoder(Batch[msgspec.Raw])
        self._decoder: msgspec.msgpack.Decoder[Any] | None = None
        self._message_decoder: msgspec.msgpack.Decoder[Any] | None = None
        self._next_log_s = float("-inf")

    def register(self, *kinds: MessageKind) -> None:
        """Add kinds of messages.

        Raises:
            ValueError: If a type was registered before.
        """
        for kind in kinds:
            if kind.type in self._kinds:
                raise ValueError(f"{kind.type.__name__} is registered already")
            self._kinds[kind.type] = kind
        self._decoder = self._message_decoder = None

    def encode(self, incarnation: str, messages: Sequence[Any]) -> bytes:
        """Encode the datagram that carries some messages."""
        return self._encoder.encode(Batch(incarnation, list(messages)))

    def decode(self, data: bytes) -> Batch[Any]:
        """Decode a datagram.

        Messages of a kind that isn't registered are dropped and logged.

        Raises:
            msgspec.DecodeError: If the datagram as a whole is invalid.
        """
        if self._decoder is None:
            union = Union[tuple(self._kinds)]  # type: ignore[valid-type]  # noqa: UP007
            self._decoder = msgspec.msgpack.Decoder(Batch[union])
            self._message_decoder = msgspec.msgpack.Decoder(union)
        try:
            return self._decoder.decode(data)
        except msgspec.ValidationError:
            return self._decode_each(self._raw_decoder.decode(data))

    def deliver(self, message: Any, sender: Sender, now_s: float) -> None:
        """Pass a message to its handler, unless a field is impossible."""
        kind = self._kinds[type(message)]
        field = kind.check(message)
        if field is not None:
            self._log_dropped(f"impossible value of {type(message).__name__}.{field}")
            return
        kind.receive(message, sender, now_s)

    def snapshot(self, host: str) -> list[Any]:
        """Messages for an entry that has just started, given by its IP address."""
        return [item for kind in self._kinds.values() for item in kind.snapshot(host)]

    def repeats(self) -> list[Any]:
        """Messages that are sent again from time to time."""
        return [item for kind in self._kinds.values() for item in kind.repeats()]

    def _decode_each(self, batch: Batch[msgspec.Raw]) -> Batch[Any]:
        assert self._message_decoder is not None
        messages = []
        for raw in batch.messages:
            try:
                messages.append(self._message_decoder.decode(raw))
            except msgspec.ValidationError as error:
                self._log_dropped(str(error))
        return Batch(batch.incarnation, messages)

    def _log_dropped(self, cause: str) -> None:
        now_s = self._clock.monotonic_s()
        if now_s < self._next_log_s:
            return
        self._next_log_s = now_s + _MIN_LOG_INTERVAL_S
        _log.warning("message of an entry dropped", extra={"cause": cause})
