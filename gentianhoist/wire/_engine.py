"""Messages about an engine's memory and orders to it."""

from __future__ import annotations

from enum import StrEnum

from gentianhoist.exceptions import ErrorKind, NotRun
from gentianhoist.wire._message import Message, Stamp


class ReservationAction(StrEnum):
    """What an entry wants of a reservation."""

    RESERVE = "reserve"
    RENEW = "renew"
    RELEASE = "release"


class ReservationRequest(Message, frozen=True):
    """Reserve an engine's memory under a lease, renew the lease or give it back.

    Attributes:
        stamp: What every message carries.
        action: What is wanted.
        reservation_id: Name of the reservation.
        tokens: Memory wanted.
        lease_s: Seconds that the lease lasts.
    """

    stamp: Stamp
    action: ReservationAction
    reservation_id: str
    tokens: int
    lease_s: float


class ReservationReply(Message, frozen=True):
    """Whether the reservation stands after the request.

    Attributes:
        is_reserved: Whether it does.
        kind: Why it doesn't.
        message: One sentence for a person.
    """

    is_reserved: bool
    kind: ErrorKind | None = None
    message: str = ""


class OrderKind(StrEnum):
    """What an engine can be told."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


class OrderRequest(Message, frozen=True):
    """An order to an engine.

    Attributes:
        stamp: What every message carries.
        order: What it is told.
        target: Model, adapter or role.
        fencing_token: Number of the giver's lease.
        deadline_left_s: Seconds until the deadline.
    """

    stamp: Stamp
    order: OrderKind
    target: str
    fencing_token: int
    deadline_left_s: float


class OrderReply(Message, frozen=True):
    """Whether the order was carried out.

    Attributes:
        done: Whether it was.
        kind: Why it wasn't.
        message: One sentence for a person.
        not_run: What is known of its execution.
    """

    done: bool
    kind: ErrorKind | None = None
    message: str = ""
    not_run: NotRun = NotRun.TRUE


def exported_kv_object_name(reservation_id: str) -> str:
    """Name of the object that keeps a reservation's exported memory."""
    return f"kv-{reservation_id}"
