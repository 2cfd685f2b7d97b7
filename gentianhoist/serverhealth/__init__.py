"""Health of backend servers, from this entry's requests and reports of others."""

from gentianhoist.serverhealth._evidence import (
    Evidence,
    Incarnation,
    ResultPhase,
    Verdict,
)
from gentianhoist.serverhealth._exchange import HealthExchange
from gentianhoist.serverhealth._messages import ServerObserved
from gentianhoist.serverhealth._own_evidence import OwnEvidence
from gentianhoist.serverhealth._probing import is_prober
from gentianhoist.serverhealth._reports import Report
from gentianhoist.serverhealth._server_health import ServerHealth
from gentianhoist.serverhealth.core import (
    Ejected,
    HealthChange,
    HealthListener,
    Returned,
    ServerHealthRegistry,
    SlownessChanged,
)

__all__ = [
    "Ejected",
    "Evidence",
    "HealthChange",
    "HealthExchange",
    "HealthListener",
    "ResultPhase",
    "ServerObserved",
    "Incarnation",
    "OwnEvidence",
    "Report",
    "Returned",
    "ServerHealth",
    "ServerHealthRegistry",
    "SlownessChanged",
    "Verdict",
    "is_prober",
]
