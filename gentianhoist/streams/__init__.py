"""Whole answers: numbered streams, assembled in order and kept until acknowledged."""

from gentianhoist.streams._buffer import FrameBuffer
from gentianhoist.streams.core import (
    AttemptRefused,
    Complete,
    Corrupt,
    Deliver,
    Drop,
    StreamAssembler,
    text_digest,
)

__all__ = [
    "Complete",
    "Corrupt",
    "Deliver",
    "Drop",
    "AttemptRefused",
    "FrameBuffer",
    "StreamAssembler",
    "text_digest",
]
