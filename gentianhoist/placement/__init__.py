"""Which engines read a prompt: costs of a pass, commitments, expected value."""

from gentianhoist.placement._choice import (
    Candidate,
    Demand,
    Load,
    Placement,
    PlacementPolicy,
    choose_engines,
    worth_waiting,
)
from gentianhoist.placement._ledger import (
    AffectedRequest,
    Commitment,
    CommitmentLedger,
    EngineLoad,
)
from gentianhoist.placement._queue import (
    PlacementQueue,
    PlacementRefused,
    QueuedRequest,
    QueueOrder,
    UnplacedReason,
)
from gentianhoist.placement._server_health import ServerHealth, ServerHealthRegistry
from gentianhoist.placement._slow_start import ColdStartBudget
from gentianhoist.placement.core import (
    ExpectedValue,
    LeastOutstanding,
    PlacementRule,
    PlacementRuleName,
    RoundRobin,
    place,
    rule_named,
    should_wait,
)

__all__ = [
    "Candidate",
    "ColdStartBudget",
    "Commitment",
    "CommitmentLedger",
    "AffectedRequest",
    "Demand",
    "EngineLoad",
    "ServerHealth",
    "ServerHealthRegistry",
    "ExpectedValue",
    "LeastOutstanding",
    "Load",
    "Placement",
    "PlacementPolicy",
    "PlacementQueue",
    "PlacementRule",
    "PlacementRuleName",
    "QueueOrder",
    "PlacementRefused",
    "RoundRobin",
    "UnplacedReason",
    "QueuedRequest",
    "choose_engines",
    "place",
    "rule_named",
    "should_wait",
    "worth_waiting",
]
