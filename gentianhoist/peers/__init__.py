"""What entries tell each other: the work that they send, and tables of the store."""

from gentianhoist.peers._messages import Added, Batch, Ended, FirstEvent
from gentianhoist.peers._tables import PeerTables
from gentianhoist.peers.core import CommitmentSink, NoPeers, PeerLink

__all__ = [
    "Added",
    "Batch",
    "CommitmentSink",
    "Ended",
    "FirstEvent",
    "NoPeers",
    "PeerLink",
    "PeerTables",
]
