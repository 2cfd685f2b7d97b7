"""What entries tell each other of the work that they send."""

from gentianhoist.peers._messages import Added, Batch, Ended, FirstEvent
from gentianhoist.peers.core import CommitmentSink, NoPeers, PeerLink

__all__ = [
    "Added",
    "Batch",
    "CommitmentSink",
    "Ended",
    "FirstEvent",
    "NoPeers",
    "PeerLink",
]
