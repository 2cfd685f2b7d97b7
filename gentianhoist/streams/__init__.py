"""Whole answers: numbered streams, assembled in order and kept until acknowledged."""

from gentianhoist.streams._buffer import FrameBuffer
from gentianhoist.streams.core import (
    Complete,
    Corrupt,
    Deliver,
    Drop,
    Ended,
    StreamAssembler,
    text_digest,
)

__all__ = [
    "Complete",
    "Corrupt",
    "Deliver",
    "Drop",
    "Ended",
    "FrameBuffer",
    "StreamAssembler",
    "text_digest",
]
