"""Admission control of an entry with its log lines, metrics and messages."""

from __future__ import annotations

from typing import Any

from gentianhoist.admission import (
    AdmissionDecision,
    AdmissionMode,
    Assessment,
    DemandExchange,
    FleetAdmission,
    RefuseNow,
    ServeNow,
    WaitForSlot,
    applicant_of,
)
from gentianhoist.clocks import Clock
from gentianhoist.peers import PeerLink
from gentianhoist.placement import QueuedRequest
from gentianhoist.telemetry import DecisionLog, EntryMetrics

__all__ = ["AdmissionControl"]


class AdmissionControl:
    """Decides on prompts by the use of the whole fleet, and tells why.

    Args:
        admission: The decisions.
        clock: The entry's clock.
        log: Receives one record for each decision.
        metrics: Counters and gauges of the entry.
    """

    def __init__(
        self,
        admission: FleetAdmission,
        clock: Clock,
        log: DecisionLog,
        metrics: EntryMetrics,
    ) -> None:
        self._admission = admission
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._exchange: DemandExchange | None = None
        self._mode = AdmissionMode.ONE_ORGANISATION

    @property
    def is_active(self) -> bool:
        """Whether it decides; otherwise the entry goes by its own placements."""
        return self._admission.is_active

    def connect(self, peers: PeerLink) -> None:
        """Exchange with the other entries what waits; call it before they start."""
        self._exchange = DemandExchange(
            self._admission, peers.broadcast, self._clock.monotonic_s
        )
        peers.register(self._exchange.kind)
        peers.add_loss_listener(self._exchange.forget)

    def tick(self, now_s: float) -> None:
        """Report what waits, and update the gauges and the logged mode.

        Args:
            now_s: Current time on the entry's clock, in seconds.
        """
        mode = self._admission.mode
        if mode is not self._mode:
            self._log.record("admission_mode", mode=mode, before=self._mode)
            self._mode = mode
        if mode is AdmissionMode.FLEET:
            for name in list(self._admission.groups):
                group = self._admission.group(name, now_s)
                if group.slots:
                    self._metrics.set_occupied(name, group.occupied_ratio)
        self._metrics.set_fleet_admission(mode is AdmissionMode.FLEET)
        self.publish()

    def publish(self) -> None:
        """Report to the other entries what waits, if it is due."""
        if self._exchange is not None:
            self._exchange.publish()

    def record_arrival(self, group: str, priority: int) -> None:
        """Count a prompt that arrived at this entry."""
        if self.is_active:
            now_s = self._clock.monotonic_s()
            self._admission.record_arrival(group, priority, now_s)

    def decide(self, item: QueuedRequest, request_id: str) -> AdmissionDecision:
        """Decide whether a prompt is placed now, waits or is refused.

        One that may have run can't be refused, and is placed as soon as possible.

        Args:
            item: The prompt.
            request_id: Its id, for the log.
        """
        if not self.is_active or item.may_have_run:
            return ServeNow()
        now_s = self._clock.monotonic_s()
        applicant = applicant_of(item, now_s)
        assessment = self._admission.assess(item.group, applicant, now_s)
        decision = self._admission.decide(item.group, applicant, assessment, now_s)
        match decision:
            case ServeNow():
                self._metrics.record_admission("serve")
            case WaitForSlot(expected_s=expected_s):
                self._metrics.record_admission("wait")
                self._record("wait", item, request_id, assessment, expected_s)
            case RefuseNow(expected_s=expected_s, retry_after_s=retry_after_s):
                self._metrics.record_admission("refuse")
                self._record(
                    "refuse",
                    item,
                    request_id,
                    assessment,
                    expected_s,
                    retry_after_s=round(retry_after_s, 3),
                )
        return decision

    def retry_after_s(self, item: QueuedRequest) -> float | None:
        """When the caller of a refused prompt should retry, None if it isn't known."""
        return self._admission.retry_after_s(item, self._clock.monotonic_s())

    def placed_fields(self, item: QueuedRequest) -> dict[str, Any]:
        """Fields of the log line of a placement; none while it doesn't decide."""
        if not self.is_active:
            return {}
        now_s = self._clock.monotonic_s()
        applicant = applicant_of(item, now_s)
        return _fields(item, self._admission.assess(item.group, applicant, now_s))

    def _record(
        self,
        outcome: str,
        item: QueuedRequest,
        request_id: str,
        assessment: Assessment,
        expected_s: float,
        **details: float,
    ) -> None:
        self._log.record(
            "admission",
            request_id,
            outcome=outcome,
            expected_s=round(expected_s, 3),
            **details,
            **_fields(item, assessment),
        )


def _fields(item: QueuedRequest, assessment: Assessment) -> dict[str, Any]:
    return {
        "organisation": item.organisation,
        "standing": assessment.standing.name.lower(),
        "share": round(assessment.share, 2),
        "in_use": assessment.in_use,
        "occupied": round(assessment.occupied_ratio, 3),
        "free": assessment.free,
        "left_free": assessment.room,
        "report_age_s": round(assessment.report_age_s, 3),
    }
