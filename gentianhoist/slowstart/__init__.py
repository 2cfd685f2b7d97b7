"""Slow start of backend servers that started or recovered, over all entries."""

from gentianhoist.slowstart._exchange import (
    ListedServer,
    SlowStartExchange,
    SlowStartPublisher,
)
from gentianhoist.slowstart._messages import (
    ColdUnitLent,
    ColdUnitRequested,
    PaceObserved,
)
from gentianhoist.slowstart._pace import (
    EVIDENCE_TTL_S,
    MAX_PACED_S,
    PROBE_REQUESTS,
    PaceCause,
    PaceReport,
    ServerPace,
)
from gentianhoist.slowstart._paced_server import PaceChange
from gentianhoist.slowstart._shares import GROWTH_DELAY_S, Share, UnitShares
from gentianhoist.slowstart._units import (
    LOAN_TTL_S,
    StartUnits,
    UnitLoan,
    UnitRequest,
)
from gentianhoist.slowstart.core import Incarnation, SlowStarts

__all__ = [
    "EVIDENCE_TTL_S",
    "GROWTH_DELAY_S",
    "LOAN_TTL_S",
    "MAX_PACED_S",
    "PROBE_REQUESTS",
    "ColdUnitLent",
    "ColdUnitRequested",
    "Incarnation",
    "ListedServer",
    "PaceCause",
    "PaceChange",
    "PaceObserved",
    "PaceReport",
    "ServerPace",
    "Share",
    "SlowStartExchange",
    "SlowStartPublisher",
    "SlowStarts",
    "StartUnits",
    "UnitLoan",
    "UnitRequest",
    "UnitShares",
]
