"""Placement of prompts on engines: cost model, engine load and queue."""

from gentianhoist.placement._choice import (
    choose_engines,
    is_worth_waiting,
    suits_one_engine,
)
from gentianhoist.placement._ledger import (
    AffectedRequest,
    Commitment,
    CommitmentLedger,
    CommitmentListener,
    CommittedLoad,
    EndedCommitment,
)
from gentianhoist.placement._model import (
    Candidate,
    Demand,
    Load,
    Placement,
    PlacementPolicy,
)
from gentianhoist.placement._queue import PlacementQueue, QueueOrder
from gentianhoist.placement._queued_request import (
    STOP_REFUSAL,
    PlacementRefused,
    QueuedRequest,
    QueueGate,
    RefusalCause,
    UnplacedReason,
)
from gentianhoist.placement._shortlist import (
    GANG,
    ONE_ENGINE,
    UNAVAILABLE,
    FleetLoad,
    Shortlist,
    ShortlistPolicy,
    make_shortlist,
)
from gentianhoist.placement.core import (
    ExpectedValue,
    LeastOutstanding,
    PlacementRule,
    PlacementRuleName,
    RoundRobin,
    make_placement_rule,
    place,
    should_wait,
)

__all__ = [
    "Candidate",
    "GANG",
    "ONE_ENGINE",
    "STOP_REFUSAL",
    "UNAVAILABLE",
    "Commitment",
    "CommitmentLedger",
    "CommitmentListener",
    "AffectedRequest",
    "Demand",
    "CommittedLoad",
    "EndedCommitment",
    "FleetLoad",
    "Shortlist",
    "ShortlistPolicy",
    "ExpectedValue",
    "LeastOutstanding",
    "Load",
    "Placement",
    "PlacementPolicy",
    "PlacementQueue",
    "PlacementRule",
    "PlacementRuleName",
    "QueueGate",
    "QueueOrder",
    "PlacementRefused",
    "RefusalCause",
    "RoundRobin",
    "UnplacedReason",
    "QueuedRequest",
    "choose_engines",
    "make_shortlist",
    "place",
    "suits_one_engine",
    "make_placement_rule",
    "should_wait",
    "is_worth_waiting",
]
