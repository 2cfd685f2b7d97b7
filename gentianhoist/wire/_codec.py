"""msgpack encoding of gRPC messages, which needs no code generator in the build."""

from __future__ import annotations

from functools import cache
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

_ENCODER = msgspec.msgpack.Encoder()


@cache
def _decoder(message_type: Any) -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(message_type)


def encode(message: Any) -> bytes:
    """Encode a message as msgpack."""
    return _ENCODER.encode(message)


def decode(data: bytes, message_type: Any) -> Any:
    """Decode a msgpack message and validate it against a type.

    Args:
        data: The encoded message.
        message_type: Type of the message, or a union of tagged message types.

    Returns:
        The message.

    Raises:
        msgspec.DecodeError: If the data is not msgpack.
        msgspec.ValidationError: If the data does not match the type.
    """
    return _decoder(message_type).decode(data)


class MsgpackCodec(CodecBase):
    """grpclib codec that encodes messages as msgpack."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message; its type is ignored."""
        return encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a message and validate it against its type."""
        return decode(data, message_type)
