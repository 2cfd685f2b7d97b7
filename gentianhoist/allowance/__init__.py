"""Distributed rate limit: no sliding minute may exceed the preset in force.

Each entry holds a leased share of the limit, counts its spending in a sliding window,
and can borrow unspent allowance from other entries.
"""

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
