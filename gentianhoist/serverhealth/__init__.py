"""Health of backend servers, from this entry's requests and reports of others."""

from gentianhoist.serverhealth._evidence import Evidence, Incarnation, Verdict
from gentianhoist.serverhealth._own_evidence import OwnEvidence
from gentianhoist.serverhealth.core import ServerHealthRegistry

__all__ = [
    "Evidence",
    "Incarnation",
    "OwnEvidence",
    "ServerHealthRegistry",
    "Verdict",
]
