"""Routes, organisations and API keys of one version of the configuration."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

from gentianhoist.fleet._monotonic_replica import MonotonicReplica
from gentianhoist.fleet._row_memory import FeedRow
from gentianhoist.fleet.core import ServerGroup
from gentianhoist.http1 import RequestLimits

__all__ = [
    "Organisation",
    "Idempotency",
    "Route",
    "RoutingConfiguration",
    "RoutingReplica",
    "WeightedGroup",
]


class Idempotency(Enum):
    """Whether a request is idempotent, so that it may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class WeightedGroup(NamedTuple):
    """A server group and its weight in the split of a route's requests."""

    group: str
    weight: float


class Route(NamedTuple):
    """Handling of the requests whose path has one prefix.

    Attributes:
        name: Name of the route.
        host: Host name that it matches.
        prefix: Path prefix that it matches, with a slash at both ends.
        groups: Server groups that serve it, with weights.
        idempotency: Whether a request may run more than once.
        streaming: Whether responses are streams of events.
        timeout_s: Longest time that a request is kept, in seconds.
        goal_s: Goal for the time to the response, or to its first event, in seconds.
        pause_goal_s: Goal for the longest pause between two events, in seconds.
        silence_limit_s: Seconds without an event after which callers abandon a stream.
        priority: Priority class; 0 is the highest.
        max_executing_servers: Maximum number of servers that may run one request.
        anonymous: Whether requests need no API key.
    """

    name: str
    host: str
    prefix: str
    groups: tuple[WeightedGroup, ...]
    idempotency: Idempotency
    streaming: bool
    timeout_s: float
    goal_s: float
    pause_goal_s: float
    silence_limit_s: float
    priority: int
    max_executing_servers: int
    anonymous: bool


class Organisation(NamedTuple):
    """The organisation that an API key belongs to.

    Attributes:
        name: Name of the organisation.
        priority: Priority class that overrides the route's, or None.
    """

    name: str
    priority: int | None = None


class RoutingConfiguration:
    """One version of the routing configuration.

    Args:
        version: Version number.
        routes: All routes.
        groups: All server groups, by name.
        organisations: Organisations, by API key.
        keys_required: Whether routes that are not anonymous need an API key.
        limits: Limits on the requests of callers.
        row: Row of the store from which it was decoded, if any.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        groups: Mapping[str, ServerGroup],
        organisations: Mapping[str, Organisation],
        *,
        keys_required: bool,
        limits: RequestLimits,
        row: FeedRow | None = None,
    ) -> None:
        self.version = version
        self._row = row
        self.groups = dict(groups)
        self.keys_required = keys_required
        self.limits = limits
        self._organisations = dict(organisations)
        self.organisation_count = len({item.name for item in organisations.values()})
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for host_routes in self._routes_by_host.values():
            host_routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def supersedes(self, other: RoutingConfiguration) -> bool:
        """Whether this one was written under the version of another that was lost.

        A restored store loses the latest configurations, and operators may give out
        their versions again.
        """
        if self._row is None or other._row is None or self.version != other.version:
            return False
        is_later = self._row.version.history > other._row.version.history
        return is_later and self._row.value != other._row.value

    def match_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def organisation(self, key: str) -> Organisation | None:
        """Return the organisation that an API key belongs to, or None."""
        return self._organisations.get(key)

    def is_authorised(self, route: Route, key: str) -> bool:
        """Whether a request with this API key may use the route."""
        if route.anonymous or not self.keys_required:
            return True
        return key in self._organisations


class RoutingReplica(MonotonicReplica[RoutingConfiguration]):
    """The routing configuration that an entry uses."""

    def update_if_newer(self, value: RoutingConfiguration) -> bool:
        """Replace the configuration if the given one is newer, or supersedes it."""
        if self._current is not None and value.supersedes(self._current):
            self._current = value
            return True
        return super().update_if_newer(value)

    @property
    def limits(self) -> RequestLimits:
        """Limits on the requests of callers; defaults before the first version."""
        return self._current.limits if self._current else RequestLimits()
