"""A request that was admitted, and what became of its sends."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from gentianhoist.dispatch._interfaces import Call
from gentianhoist.fleet import Organisation, Repeatable, Route

__all__ = ["Request"]


@dataclass
class Request:
    """A request with the route that it matched.

    Attributes:
        call: What the caller sent.
        route: Its route.
        organisation: Whose it is.
        configuration_version: Version of the configuration that it was checked against.
        deadline_margin_s: How long before its end the last answer is given.
        group_name: Group that it goes to.
        sends: Sends that reached or may have reached a server.
        possible_runs: Sends to each server that may have run.
        excluded_ids: Servers not to be asked again.
        last_event_s: When the caller last got an event, on the loop's clock.
    """

    call: Call
    route: Route
    organisation: Organisation | None
    configuration_version: int
    deadline_margin_s: float
    group_name: str = ""
    sends: int = 0
    possible_runs: Counter[str] = field(default_factory=Counter)
    excluded_ids: set[str] = field(default_factory=set)
    last_event_s: float | None = None

    @property
    def deadline_s(self) -> float:
        """When its last answer is due, on the loop's clock."""
        effective_timeout_s = self.route.timeout_s
        if self.call.timeout_s is not None:
            effective_timeout_s = min(effective_timeout_s, self.call.timeout_s)
        return self.call.received_s + max(
            0.0, effective_timeout_s - self.deadline_margin_s
        )

    @property
    def idempotent(self) -> bool:
        """Whether it may run more than once."""
        return self.route.repeatable is Repeatable.IDEMPOTENT

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have begun with it."""
        return self.possible_runs.total() > 0

    @property
    def may_run_again(self) -> bool:
        """Whether a server may still run it."""
        if not self.may_have_run:
            return True
        ran_on = sum(count > 0 for count in self.possible_runs.values())
        return self.idempotent and ran_on < self.route.max_servers

    @property
    def organisation_name(self) -> str:
        """Name of its organisation; empty if it has none."""
        return "" if self.organisation is None else self.organisation.name

    @property
    def priority(self) -> int:
        """Its rank: the organisation's if it has one, else the route's."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    @property
    def no_event_deadline_s(self) -> float:
        """When the caller leaves if it gets no event, on the loop's clock."""
        last_event_s = (
            self.call.received_s if self.last_event_s is None else self.last_event_s
        )
        return last_event_s + self.route.silence_limit_s

    def remaining_s(self, now_s: float) -> float:
        """Seconds until it ends."""
        return self.deadline_s - now_s

    def mark_sent(self, server_id: str) -> None:
        """Its bytes are on their way to a server: it may run there from now on."""
        self.sends += 1
        self.possible_runs[server_id] += 1

    def mark_not_executed(self, server_id: str) -> None:
        """The server says that it did not run this send."""
        self.possible_runs[server_id] -= 1
