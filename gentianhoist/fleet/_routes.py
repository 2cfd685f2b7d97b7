"""Routes and organisations, as one version of the configuration has them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

from gentianhoist.fleet._monotonic_replica import MonotonicReplica
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
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class WeightedGroup(NamedTuple):
    """A group that takes a part of a route's requests."""

    group: str
    weight: float


class Route(NamedTuple):
    """Where requests of one path go.

    Attributes:
        name: Its name.
        host: Host name that callers ask for.
        prefix: Beginning of the paths, with a slash at both ends.
        groups: Groups that serve it.
        idempotency: Whether a request may run more than once.
        streaming: Whether answers are streams of events.
        timeout_s: Longest time that a request is kept.
        goal_s: Time to the answer, or to its first event, that counts as prompt.
        pause_goal_s: Longest pause between two events that counts as prompt.
        silence_limit_s: Time without an event after which callers leave a stream.
        priority: Rank, 0 is the highest.
        max_servers: Servers that one request may be sent to.
        anonymous: Whether no key is needed.
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
    max_servers: int
    anonymous: bool


class Organisation(NamedTuple):
    """Who a key belongs to.

    Attributes:
        name: Its name.
        priority: Its rank, which goes before the route's; nothing if it has none.
    """

    name: str
    priority: int | None = None


class RoutingConfiguration:
    """One version of routes, groups, organisations and limits.

    Args:
        version: Its version.
        routes: All routes.
        groups: All groups, by name.
        organisations: Organisations by key.
        keys_required: Whether requests need a key.
        limits: What callers may send.
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
    ) -> None:
        self.version = version
        self.groups = dict(groups)
        self.keys_required = keys_required
        self.limits = limits
        self._organisations = dict(organisations)
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        for listed in self._by_host.values():
            listed.sort(key=lambda route: len(route.prefix), reverse=True)

    def match_route(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix that begins the path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def organisation(self, key: str) -> Organisation | None:
        """The organisation that holds a key."""
        return self._organisations.get(key)

    def is_authorised(self, route: Route, key: str) -> bool:
        """Whether a request with this key may use the route."""
        if route.anonymous or not self.keys_required:
            return True
        return key in self._organisations


class RoutingReplica(MonotonicReplica[RoutingConfiguration]):
    """The configuration that an entry goes by."""

    @property
    def limits(self) -> RequestLimits:
        """What callers may send."""
        return self._current.limits if self._current else RequestLimits()
