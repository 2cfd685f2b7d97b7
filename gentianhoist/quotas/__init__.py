"""Quotas that all entries share: each holds a part and lends what another one needs."""

from gentianhoist.quotas._exchange import QuotaExchange, QuotaPublisher
from gentianhoist.quotas.core import LOAN_TTL_S, Loan, LoanRequest, SharedQuota

__all__ = [
    "LOAN_TTL_S",
    "Loan",
    "LoanRequest",
    "QuotaExchange",
    "QuotaPublisher",
    "SharedQuota",
]
