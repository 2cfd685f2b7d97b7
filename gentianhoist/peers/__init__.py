"""What entries tell each other: the work that they send, and tables of the store."""

from gentianhoist.peers._messages import (
    Batch,
    CommitmentAdded,
    CommitmentEnded,
    StreamStarted,
)
from gentianhoist.peers._tables import PeerTableExchange
from gentianhoist.peers.core import (
    CommitmentPublisher,
    NullCommitmentPublisher,
    PeerLink,
)

__all__ = [
    "CommitmentAdded",
    "Batch",
    "CommitmentPublisher",
    "CommitmentEnded",
    "StreamStarted",
    "NullCommitmentPublisher",
    "PeerLink",
    "PeerTableExchange",
]
