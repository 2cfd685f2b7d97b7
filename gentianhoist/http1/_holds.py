"""Memory of one request or response, and why it is given up."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from gentianhoist.http1._budget_limits import Pool

__all__ = ["Cut", "CutReason", "Hold"]


class CutReason(StrEnum):
    """Why a hold has to be given up."""

    NO_PROGRESS = "no_progress"
    IDLE = "idle"
    MANY_CONNECTIONS = "many_connections"
    NO_ROOM = "no_room"
    MADE_ROOM = "made_room"
    TINY_CHUNKS = "tiny_chunks"


class Hold:
    """Bytes that one request or response holds or has reserved.

    Args:
        pool: Pool of its reservation.
        on_granted: Called when it needs to wait no more.
        on_cut: Called by `ReceiveBudget.cut`; has to close the hold.
        now_s: Present time.

    Attributes:
        pool: Pool of its reservation.
        wanted_pool: Pool in which it waits, or has waited last.
        held_bytes: Bytes that it holds.
        reserved_bytes: Bytes that are reserved for it, at least those it holds.
    """

    def __init__(
        self,
        pool: Pool,
        on_granted: Callable[[], None],
        on_cut: Callable[[CutReason], None],
        now_s: float,
    ) -> None:
        self.pool = pool
        self.on_granted = on_granted
        self.on_cut = on_cut
        self.held_bytes = 0
        self.reserved_bytes = 0
        # Reservation that it waits for; 0 if it doesn't wait.
        self.wanted_bytes = 0
        self.wanted_pool = pool
        self.waiting_since_s = 0.0
        # Last byte, and last time that there were enough of them.
        self.received_s = now_s
        self.progress_s = now_s
        self.unmarked_bytes = 0
        self.is_in_progress = True

    @property
    def is_waiting(self) -> bool:
        """Whether no more may be read for it now."""
        return self.wanted_bytes > 0


class Cut(NamedTuple):
    """Decision to give up a hold."""

    hold: Hold
    reason: CutReason
