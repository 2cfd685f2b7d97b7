"""Members and what is believed of them.

The platform's list is a late hint: it brings new members and says which leave. Only
heartbeats say who lives. A member that is silent is suspected first, and forgotten
only when the platform no longer lists it.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from gentianhoist.settings import InstanceSettings, Role
from gentianhoist.store import ListedInstance

__all__ = ["Member", "MemberState", "Membership", "member_from_settings"]


class MemberState(StrEnum):
    """What is believed of a member."""

    NEW = "new"
    LIVE = "live"
    SUSPECTED = "suspected"


class Member(NamedTuple):
    """One other instance.

    Attributes:
        name: Its name.
        role: Its role.
        availability_zone: Its availability zone.
        host: IP number of its gRPC port.
        port: Its gRPC port.
        group: A sidecar's group.
    """

    name: str
    role: Role
    availability_zone: str
    host: str
    port: int
    group: str


class _Belief:
    def __init__(self, member: Member) -> None:
        self.member = member
        self.heard_s: float | None = None
        self.listed_leaving = False
        self.said_leaving = False


def member_from_settings(settings: InstanceSettings) -> Member:
    """A member known beforehand."""
    return Member(
        settings.name,
        settings.role,
        settings.availability_zone,
        settings.host,
        settings.port,
        settings.group,
    )


class Membership:
    """All other instances that one process knows.

    Args:
        own_name: Name of the own instance, which is left out.
        seeds: Members known beforehand; they are never forgotten.
        suspicion_s: Seconds of silence after which a member is suspected.
    """

    def __init__(
        self, own_name: str, seeds: Iterable[Member], suspicion_s: float
    ) -> None:
        self._own_name = own_name
        self._suspicion_s = suspicion_s
        self._beliefs: dict[str, _Belief] = {}
        self._seeds = {seed.name for seed in seeds}
        for seed in seeds:
            self._add(seed)

    def members(self, role: Role, group: str = "") -> list[Member]:
        """Members of a role, and of a group if one is named, by name."""
        return [
            belief.member
            for _, belief in sorted(self._beliefs.items())
            if belief.member.role is role and group in ("", belief.member.group)
        ]

    def state(self, name: str, now_s: float) -> MemberState:
        """What is believed of a member at a time on this process's clock."""
        belief = self._beliefs.get(name)
        if belief is None or belief.heard_s is None:
            return MemberState.NEW
        silent = now_s - belief.heard_s > self._suspicion_s
        return MemberState.SUSPECTED if silent else MemberState.LIVE

    def is_leaving(self, name: str) -> bool:
        """Whether a member leaves, by its own word or the platform's list."""
        belief = self._beliefs.get(name)
        return belief is not None and (belief.listed_leaving or belief.said_leaving)

    def is_available(self, name: str, now_s: float) -> bool:
        """Whether a member lives and does not leave."""
        live = self.state(name, now_s) is MemberState.LIVE
        return live and not self.is_leaving(name)

    def record_heartbeat(self, name: str, now_s: float, *, leaving: bool) -> None:
        """Take note of an answer of a member."""
        belief = self._beliefs.get(name)
        if belief is not None:
            belief.heard_s = now_s
            belief.said_leaving = leaving

    def credit_local_pause(self, late_s: float) -> None:
        """This process was late itself; the members' silence counts that much less."""
        for belief in self._beliefs.values():
            if belief.heard_s is not None:
                belief.heard_s += late_s

    def update_from_platform(
        self, instances: Iterable[ListedInstance], now_s: float
    ) -> list[str]:
        """Take the platform's list.

        Args:
            instances: The list.
            now_s: The time on this process's clock.

        Returns:
            Names of members forgotten: not listed, not known beforehand, and silent.
        """
        names = set()
        for instance in instances:
            names.add(instance.name)
            self._add(_member(instance))
            belief = self._beliefs.get(instance.name)
            if belief is not None:
                belief.listed_leaving = instance.leaving
        gone = [
            name
            for name in self._beliefs
            if name not in names | self._seeds
            and self.state(name, now_s) is not MemberState.LIVE
        ]
        for name in gone:
            del self._beliefs[name]
        return gone

    def _add(self, member: Member) -> None:
        if member.name == self._own_name:
            return
        belief = self._beliefs.get(member.name)
        if belief is None:
            self._beliefs[member.name] = _Belief(member)
        elif belief.member != member:
            # The instance was replaced and has another address now.
            self._beliefs[member.name] = _Belief(member)


def _member(instance: ListedInstance) -> Member:
    return Member(
        instance.name,
        Role(instance.role),
        instance.availability_zone,
        instance.host,
        instance.port,
        instance.group,
    )
