"""Orders to engines, under leases with fencing numbers."""

from gentianhoist.orders._lease_client import OrderLeaseClient
from gentianhoist.orders.core import (
    FencingGuard,
    OrderLease,
    decode_lease,
    encode_lease,
    lease_key,
)

__all__ = [
    "OrderLeaseClient",
    "FencingGuard",
    "OrderLease",
    "decode_lease",
    "encode_lease",
    "lease_key",
]
