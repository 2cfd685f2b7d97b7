"""Exchange between entries: commitments, quarantine evidence, copies of tables."""

from gentianhoist.peers._messages import (
    CommitmentAdded,
    CommitmentEnded,
    FirstEventReceived,
    RateLimitUsed,
)
from gentianhoist.peers._publishers import (
    CommitmentPublisher,
    NullCommitmentPublisher,
    QuarantineListener,
    RateLimitListener,
)
from gentianhoist.peers._registry import Batch, MessageKind, Sender
from gentianhoist.peers._tables import PeerTableExchange
from gentianhoist.peers.core import PeerLink

__all__ = [
    "Batch",
    "CommitmentAdded",
    "CommitmentEnded",
    "CommitmentPublisher",
    "NullCommitmentPublisher",
    "MessageKind",
    "PeerLink",
    "PeerTableExchange",
    "QuarantineListener",
    "RateLimitListener",
    "RateLimitUsed",
    "Sender",
    "FirstEventReceived",
]
