"""Admission control by organisation over the slots of the whole fleet."""

from gentianhoist.admission._decisions import (
    AdmissionDecision,
    Applicant,
    Assessment,
    RefuseNow,
    ServeNow,
    WaitForSlot,
)
from gentianhoist.admission._exchange import DemandExchange
from gentianhoist.admission._group import GroupAdmission
from gentianhoist.admission._messages import OrganisationDemand, check_demand
from gentianhoist.admission._reports import REPORT_VALIDITY_S, DemandReports
from gentianhoist.admission._shares import max_min_shares
from gentianhoist.admission._thresholds import Standing, room_for
from gentianhoist.admission._usage import OrganisationUsage
from gentianhoist.admission.core import (
    AdmissionMode,
    FleetAdmission,
    FleetView,
    GroupSlots,
    applicant_of,
)

__all__ = [
    "REPORT_VALIDITY_S",
    "AdmissionDecision",
    "AdmissionMode",
    "Applicant",
    "Assessment",
    "DemandExchange",
    "DemandReports",
    "FleetAdmission",
    "FleetView",
    "GroupAdmission",
    "GroupSlots",
    "OrganisationDemand",
    "OrganisationUsage",
    "RefuseNow",
    "ServeNow",
    "Standing",
    "WaitForSlot",
    "applicant_of",
    "check_demand",
    "max_min_shares",
    "room_for",
]
