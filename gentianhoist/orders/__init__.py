"""Orders to engines, under leases with fencing numbers."""

from gentianhoist.orders._desk import OrderDesk
from gentianhoist.orders.core import (
    OrderGuard,
    OrderLease,
    decode_lease,
    encode_lease,
    lease_key,
)

__all__ = [
    "OrderDesk",
    "OrderGuard",
    "OrderLease",
    "decode_lease",
    "encode_lease",
    "lease_key",
]
