"""Token streams: reassembly in order, and buffering until acknowledged.

Tokens have consecutive offsets, so a new attempt can resume the output where the last
one was cut.
"""

from gentianhoist.streams._buffer import RetransmissionBuffer
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
    "RetransmissionBuffer",
    "StreamAssembler",
    "text_digest",
]
