"""Which engines read a prompt: costs of a pass, commitments, expected value."""

from gentianhoist.placement._choice import (
    Candidate,
    Demand,
    Placement,
    PlacementPolicy,
    choose_engines,
    worth_waiting,
)
from gentianhoist.placement._evidence import Evidence, EvidenceBook
from gentianhoist.placement._ledger import Commitment, CommitmentLedger, EngineLoad
from gentianhoist.placement._queue import PlacementQueue, Refused, Unplaced, Waiting
from gentianhoist.placement._slow_start import ColdStartBudget

__all__ = [
    "Candidate",
    "ColdStartBudget",
    "Commitment",
    "CommitmentLedger",
    "Demand",
    "EngineLoad",
    "Evidence",
    "EvidenceBook",
    "Placement",
    "PlacementPolicy",
    "PlacementQueue",
    "Refused",
    "Unplaced",
    "Waiting",
    "choose_engines",
    "worth_waiting",
]
