"""Tells the other entries what waits at this one, and takes their reports."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from gentianhoist.admission._messages import OrganisationDemand, check_demand
from gentianhoist.admission.core import FleetAdmission
from gentianhoist.peers import MessageKind, Sender

__all__ = ["DemandExchange"]

_MIN_INTERVAL_S = 0.25


class DemandExchange:
    """One entry's part in the exchange of `OrganisationDemand`.

    Reports are sent when a request begins to wait and at each `tick`, but not more
    often than every 0.25 s, and only while something waits.

    Args:
        admission: Admission control of the entry.
        broadcast: Sends a message to the other entries.
        now_s: Returns the current time on the entry's clock, in seconds.
    """

    def __init__(
        self,
        admission: FleetAdmission,
        broadcast: Callable[[Any], None],
        now_s: Callable[[], float],
    ) -> None:
        self._admission = admission
        self._broadcast = broadcast
        self._now_s = now_s
        self._next_s = float("-inf")

    @property
    def kind(self) -> MessageKind:
        """Kind of the message."""
        return MessageKind(
            OrganisationDemand, self._receive, self._snapshot, check=check_demand
        )

    def publish(self) -> None:
        """Report what waits, unless it was reported less than 0.25 s ago."""
        now_s = self._now_s()
        if now_s < self._next_s or not self._admission.is_active:
            return
        reports = self._admission.reports(now_s)
        if reports:
            self._next_s = now_s + _MIN_INTERVAL_S
        for report in reports:
            self._broadcast(report)

    def forget(self, sender: Sender) -> None:
        """Drop the reports of an entry that was lost."""
        self._admission.forget(sender.incarnation)

    def _receive(
        self, message: OrganisationDemand, sender: Sender, now_s: float
    ) -> None:
        self._admission.receive(sender.incarnation, message, now_s)

    def _snapshot(self, host: str) -> Sequence[OrganisationDemand]:
        if not self._admission.is_active:
            return ()
        return self._admission.waiting_reports(self._now_s())
