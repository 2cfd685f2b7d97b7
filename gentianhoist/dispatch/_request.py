"""State of an admitted request and of its sends."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from gentianhoist.dispatch._interfaces import Call
from gentianhoist.fleet import (
    Idempotency,
    Organisation,
    Route,
    RoutingConfiguration,
)

__all__ = ["Request"]


@dataclass
class Request:
    """An admitted request with its matched route.

    Attributes:
        call: The caller's request.
        route: Route that it matched.
        organisation: Organisation of the caller, if known.
        configuration: Configuration that it was checked against.
        response_margin_s: Seconds before the end of the timeout by which the response
            is sent at the latest.
        group_name: Name of the server group chosen for it.
        sends: Number of sends that reached or may have reached a server.
        possible_runs: Number of sends that may have run, by server id.
        excluded_ids: Ids of servers that are not chosen again.
        last_event_s: Time of the last event sent to the caller, on the event loop's
            clock.
    """

    call: Call
    route: Route
    organisation: Organisation | None
    configuration: RoutingConfiguration
    response_margin_s: float
    group_name: str = ""
    sends: int = 0
    possible_runs: Counter[str] = field(default_factory=Counter)
    excluded_ids: set[str] = field(default_factory=set)
    last_event_s: float | None = None

    @property
    def configuration_version(self) -> int:
        """Version of the configuration that it was checked against."""
        return self.configuration.version

    @property
    def deadline_s(self) -> float:
        """Latest time of the response, on the event loop's clock."""
        effective_timeout_s = self.route.timeout_s
        if self.call.timeout_s is not None:
            effective_timeout_s = min(effective_timeout_s, self.call.timeout_s)
        return self.call.received_s + max(
            0.0, effective_timeout_s - self.response_margin_s
        )

    @property
    def idempotent(self) -> bool:
        """Whether the route permits more than one execution."""
        return self.route.idempotency is Idempotency.IDEMPOTENT

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have started to execute it."""
        return self.possible_runs.total() > 0

    @property
    def may_run_again(self) -> bool:
        """Whether it may be sent to a further server."""
        if not self.may_have_run:
            return True
        ran_on = sum(count > 0 for count in self.possible_runs.values())
        return self.idempotent and ran_on < self.route.max_executing_servers

    @property
    def organisation_name(self) -> str:
        """Name of the organisation, empty without one."""
        return "" if self.organisation is None else self.organisation.name

    @property
    def priority(self) -> int:
        """Priority of the organisation if it has one, otherwise of the route."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    @property
    def no_event_deadline_s(self) -> float:
        """Time when a caller without an event disconnects, on the loop's clock."""
        last_event_s = (
            self.call.received_s if self.last_event_s is None else self.last_event_s
        )
        return last_event_s + self.route.silence_limit_s

    def remaining_s(self, now_s: float) -> float:
        """Seconds until the deadline.

        Args:
            now_s: Current time on the event loop's clock.
        """
        return self.deadline_s - now_s

    def mark_sent(self, server_id: str) -> None:
        """Record that bytes are being sent: the server may run it from now on."""
        self.sends += 1
        self.possible_runs[server_id] += 1

    def mark_not_executed(self, server_id: str) -> None:
        """Record that the server reported one send as not executed."""
        self.possible_runs[server_id] -= 1
