"""Other instances known to a process (members), and their liveness.

The platform's instance list may lag: it adds new members and marks those that are
leaving. Only heartbeats decide whether a member is alive. A member whose heartbeats
stop is suspected. A member is removed if it is neither live, nor listed, nor a seed.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from gentianhoist.settings import InstanceSettings, Role
from gentianhoist.store import ListedInstance

__all__ = ["Member", "MemberState", "Membership", "member_from_settings"]


class MemberState(StrEnum):
    """Liveness of a member.

    Attributes:
        NEW: No heartbeat was received yet.
        LIVE: The last heartbeat is recent.
        SUSPECTED: The last heartbeat is older than the suspicion timeout.
    """

    NEW = "new"
    LIVE = "live"
    SUSPECTED = "suspected"


class Member(NamedTuple):
    """Identity and address of one other instance.

    Attributes:
        name: Name of the instance.
        role: Role of the instance.
        availability_zone: Availability zone of the instance.
        host: IP address of the gRPC endpoint.
        port: Port of the gRPC endpoint.
        group: Group of backend servers that a sidecar belongs to.
    """

    name: str
    role: Role
    availability_zone: str
    host: str
    port: int
    group: str


class _MemberStatus:
    def __init__(self, member: Member) -> None:
        self.member = member
        self.last_heartbeat_s: float | None = None
        self.is_listed_leaving = False
        self.is_reported_leaving = False


def member_from_settings(settings: InstanceSettings) -> Member:
    """Create a member from the settings of its instance."""
    return Member(
        settings.name,
        settings.role,
        settings.availability_zone,
        settings.host,
        settings.port,
        settings.group,
    )


class Membership:
    """The other instances known to one process, and their liveness.

    Args:
        own_name: Name of this process's instance, which is excluded.
        seeds: Members known from settings; they are never removed.
        suspicion_s: Seconds without a heartbeat after which a member is suspected.
    """

    def __init__(
        self, own_name: str, seeds: Iterable[Member], suspicion_s: float
    ) -> None:
        self._own_name = own_name
        self._suspicion_s = suspicion_s
        self._statuses: dict[str, _MemberStatus] = {}
        self._seeds = {seed.name for seed in seeds}
        for seed in seeds:
            self._add(seed)

    def members(self, role: Role, group: str = "") -> list[Member]:
        """Return members sorted by name.

        Args:
            role: Role of the members.
            group: Group of the members; empty for all groups.
        """
        return [
            status.member
            for _, status in sorted(self._statuses.items())
            if status.member.role is role and group in ("", status.member.group)
        ]

    def state(self, name: str, now_s: float) -> MemberState:
        """Return the liveness of a member; an unknown member counts as new.

        Args:
            name: Name of the member.
            now_s: Current time on this process's clock, in seconds.
        """
        status = self._statuses.get(name)
        if status is None or status.last_heartbeat_s is None:
            return MemberState.NEW
        is_overdue = now_s - status.last_heartbeat_s > self._suspicion_s
        return MemberState.SUSPECTED if is_overdue else MemberState.LIVE

    def is_leaving(self, name: str) -> bool:
        """Whether a member is leaving, by its heartbeat or the platform's list."""
        status = self._statuses.get(name)
        return status is not None and (
            status.is_listed_leaving or status.is_reported_leaving
        )

    def is_available(self, name: str, now_s: float) -> bool:
        """Whether a member is live and not leaving, so that it may get new work."""
        is_live = self.state(name, now_s) is MemberState.LIVE
        return is_live and not self.is_leaving(name)

    def record_heartbeat(self, name: str, now_s: float, *, is_leaving: bool) -> None:
        """Record a heartbeat reply of a member; unknown members are ignored.

        Args:
            name: Name of the member.
            now_s: Time of the reply on this process's clock, in seconds.
            is_leaving: Whether the member reports that it is leaving.
        """
        status = self._statuses.get(name)
        if status is not None:
            status.last_heartbeat_s = now_s
            status.is_reported_leaving = is_leaving

    def exclude_local_pause(self, pause_s: float) -> None:
        """Exclude a pause of this process from the members' time without heartbeat.

        Args:
            pause_s: Duration of the pause in seconds.
        """
        for status in self._statuses.values():
            if status.last_heartbeat_s is not None:
                status.last_heartbeat_s += pause_s

    def update_from_platform(
        self, instances: Iterable[ListedInstance], now_s: float
    ) -> list[str]:
        """Add and remove members by the platform's instance list.

        Args:
            instances: The instance list.
            now_s: Current time on this process's clock, in seconds.

        Returns:
            Names of the removed members: not listed, not a seed, and not live.
        """
        listed_names = set()
        for instance in instances:
            listed_names.add(instance.name)
            self._add(_member_from_list(instance))
            status = self._statuses.get(instance.name)
            if status is not None:
                status.is_listed_leaving = instance.is_leaving
        removed = [
            name
            for name in self._statuses
            if name not in listed_names | self._seeds
            and self.state(name, now_s) is not MemberState.LIVE
        ]
        for name in removed:
            del self._statuses[name]
        return removed

    def _add(self, member: Member) -> None:
        if member.name == self._own_name:
            return
        status = self._statuses.get(member.name)
        if status is None:
            self._statuses[member.name] = _MemberStatus(member)
        elif status.member != member:
            # A replaced instance has another address; its liveness starts anew.
            self._statuses[member.name] = _MemberStatus(member)


def _member_from_list(instance: ListedInstance) -> Member:
    return Member(
        instance.name,
        Role(instance.role),
        instance.availability_zone,
        instance.host,
        instance.port,
        instance.group,
    )
