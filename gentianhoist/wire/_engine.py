"""Messages that reserve an engine's KV cache or send operators' orders to it."""

from __future__ import annotations

from enum import StrEnum

from gentianhoist.exceptions import ErrorKind, NotRun
from gentianhoist.wire._message import Message, Stamp


class ReservationAction(StrEnum):
    """What an entry requests for a KV cache reservation."""

    RESERVE = "reserve"
    RENEW = "renew"
    RELEASE = "release"


class ReservationRequest(Message, frozen=True):
    """Reserves KV cache of an engine under a lease, or renews or releases it.

    Attributes:
        stamp: Sender, configuration version and time of the message.
        action: The action requested.
        reservation_id: Id of the reservation, chosen by the entry.
        tokens: KV cache to reserve, in tokens.
        lease_s: Duration of the lease, in seconds.
    """

    stamp: Stamp
    action: ReservationAction
    reservation_id: str
    tokens: int
    lease_s: float


class ReservationReply(Message, frozen=True):
    """Reply to a `ReservationRequest`.

    Attributes:
        is_reserved: Whether the reservation exists after the request.
        kind: Kind of the error if the request was refused.
        message: Human-readable description of the error.
    """

    is_reserved: bool
    kind: ErrorKind | None = None
    message: str = ""


class OrderKind(StrEnum):
    """Kinds of orders that an operator can send to an engine."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


class OrderRequest(Message, frozen=True):
    """An operator's order to an engine.

    Attributes:
        stamp: Sender, configuration version and time of the message.
        order: Kind of the order.
        target: Name of the model, adapter or role.
        fencing_token: Fencing token of the lease under which the order is sent.
        deadline_left_s: Seconds from sending until the deadline.
    """

    stamp: Stamp
    order: OrderKind
    target: str
    fencing_token: int
    deadline_left_s: float


class OrderReply(Message, frozen=True):
    """Reply to an `OrderRequest`.

    Attributes:
        done: Whether the order was carried out.
        kind: Kind of the error if it was not.
        message: Human-readable description of the error.
        not_run: If there is an error: whether the order is known not to have been
            executed.
    """

    done: bool
    kind: ErrorKind | None = None
    message: str = ""
    not_run: NotRun = NotRun.TRUE


def exported_kv_object_name(reservation_id: str) -> str:
    """Name of the stored object with the exported KV cache of a reservation."""
    return f"kv-{reservation_id}"
