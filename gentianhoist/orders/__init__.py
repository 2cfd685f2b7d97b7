"""Operators' orders to engines, guarded by leases with fencing tokens."""

from gentianhoist.orders._lease_client import OrderLeaseClient
from gentianhoist.orders.core import (
    FencingGuard,
    OrderLease,
    decode_lease,
    encode_lease,
    highest_earlier_token,
    lease_key,
)

__all__ = [
    "FencingGuard",
    "OrderLease",
    "OrderLeaseClient",
    "decode_lease",
    "encode_lease",
    "lease_key",
    "highest_earlier_token",
]
