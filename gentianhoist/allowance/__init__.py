"""The busiest minute: sliding windows, shares under leases, loans between entries."""

from gentianhoist.allowance._excess import PeerReport
from gentianhoist.allowance._ledger import (
    WHOLE_PPM,
    ShareLedger,
    decode_ledger,
    encode_ledger,
)
from gentianhoist.allowance._share import ShareLease
from gentianhoist.allowance._window import Amount, MinuteWindow
from gentianhoist.allowance.core import Allowance

__all__ = [
    "WHOLE_PPM",
    "Allowance",
    "Amount",
    "MinuteWindow",
    "PeerReport",
    "ShareLease",
    "ShareLedger",
    "decode_ledger",
    "encode_ledger",
]
