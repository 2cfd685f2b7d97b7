"""msgpack as the encoding of gRPC messages, so that the build needs no generator."""

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
    """Encode one message."""
    return _ENCODER.encode(message)


def decode(data: bytes, message_type: Any) -> Any:
    """Decode one message and check it against its type.

    Raises:
        msgspec.ValidationError: If the data is not such a message.
    """
    return _decoder(message_type).decode(data)


class MsgpackCodec(CodecBase):
    """Codec that grpclib calls for each message."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode one message."""
        return encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode one message."""
        return decode(data, message_type)
