"""An entry's links to the other entries and to its subset of the sidecars."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from gentianhoist.clocks import Clock
from gentianhoist.configuration import (
    ConfigurationReplica,
    Confirmation,
    Identity,
    PeerVersionReport,
)
from gentianhoist.entry._idle_monitor import IdleStreamMonitor
from gentianhoist.entry._links import EntryLink, Link, SidecarLink, close_links
from gentianhoist.events import EventKind, EventRing
from gentianhoist.membership import Member, Membership, MemberState
from gentianhoist.routing import choose_subset
from gentianhoist.settings import DeploymentSettings, Role
from gentianhoist.store import HttpPlatform, StoreUnavailable
from gentianhoist.wire import (
    AllowanceUsage,
    ConfigurationUpdate,
    HeartbeatReply,
    QuarantineUpdate,
)

_LOG = logging.getLogger(__name__)


class Directory:
    """Opens and closes links, and selects backend servers that may get new work.

    Args:
        identity: Name and stamps of this process.
        deployment: Settings of the deployment.
        replica: This process's copy of the configuration.
        confirmation: Collects the configuration versions that other entries report.
        membership: Members of the deployment and their states.
        platform: Client of the platform, read for the instance list.
        clock: Clocks of this machine.
        events: Events of this process; state changes of members are recorded here.
        idle_monitor: Detects stalls of this process itself.
        on_update: Called with each configuration update from another process.
        on_usage: Called with the name of another entry and its usage report.
        quarantine_update: Returns what this entry knows of prompts that crash engines.
    """

    def __init__(
        self,
        identity: Identity,
        deployment: DeploymentSettings,
        replica: ConfigurationReplica,
        confirmation: Confirmation,
        membership: Membership,
        platform: HttpPlatform,
        clock: Clock,
        events: EventRing,
        idle_monitor: IdleStreamMonitor,
        on_update: Callable[[ConfigurationUpdate], None],
        on_usage: Callable[[str, AllowanceUsage], None],
        quarantine_update: Callable[[], QuarantineUpdate | None],
    ) -> None:
        self._identity = identity
        self._deployment = deployment
        self._replica = replica
        self._confirmation = confirmation
        self._membership = membership
        self._platform = platform
        self._clock = clock
        self._events = events
        self._idle_monitor = idle_monitor
        self._on_update = on_update
        self._on_usage = on_usage
        self._quarantine_update = quarantine_update
        self._sidecars: dict[str, SidecarLink] = {}
        self._entries: dict[str, EntryLink] = {}
        self._states: dict[str, MemberState] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def entries(self) -> list[EntryLink]:
        """Links to all other entries."""
        return list(self._entries.values())

    @property
    def sidecars(self) -> list[SidecarLink]:
        """Links to the sidecars of this entry's subset."""
        return list(self._sidecars.values())

    async def start(self) -> None:
        """Open links to the members in the settings, and watch the instance list."""
        await self._update_links()
        self._task = asyncio.create_task(self._watch_members())

    async def close(self) -> None:
        """Close all links."""
        if self._task is not None:
            self._task.cancel()
        await close_links([*self._sidecars.values(), *self._entries.values()])

    def send_heartbeats_now(self) -> None:
        """Send a heartbeat with the latest configuration on every link now."""
        for link in (*self._entries.values(), *self._sidecars.values()):
            link.send_heartbeat_now()

    def member_state(self, name: str) -> MemberState:
        """Return the state of a member, as its heartbeats show it."""
        return self._membership.state(name, self._clock.monotonic_s())

    def is_leaving(self, name: str) -> bool:
        """Whether a member is about to stop and takes no new work."""
        return self._membership.is_leaving(name)

    def find_sidecar(self, name: str) -> SidecarLink | None:
        """Return the link to a sidecar by instance name, or `None` if there is none."""
        return self._sidecars.get(name)

    def find_usable(self, group: str) -> list[SidecarLink]:
        """Return the links of a group whose backend servers may get new work.

        Empty until a configuration is loaded.
        """
        self._idle_monitor.check_stall()
        now_s = self._clock.monotonic_s()
        configuration = self._replica.current
        if configuration is None:
            return []
        return [
            link
            for link in self._sidecars.values()
            if link.member.group == group
            and self._membership.is_available(link.member.name, now_s)
            and configuration.is_in_service(
                link.member.name, link.member.availability_zone
            )
        ]

    def record_heartbeat_reply(
        self, member: Member, reply: HeartbeatReply, requested_s: float
    ) -> None:
        """Record the reply to a heartbeat and pass its contents on.

        Args:
            member: Member that replied.
            reply: The reply.
            requested_s: Time of the heartbeat on this process's clock, in seconds.
        """
        self._membership.record_heartbeat(
            member.name, self._clock.monotonic_s(), is_leaving=reply.is_leaving
        )
        if reply.update is not None:
            self._on_update(reply.update)
        if member.role is Role.ENTRY:
            report = PeerVersionReport(
                requested_s,
                reply.stamp.configuration_version,
                reply.has_unreported_change,
            )
            self._confirmation.record_peer_report(member.name, report)
            if reply.allowance_usage is not None:
                self._on_usage(member.name, reply.allowance_usage)

    async def _watch_members(self) -> None:
        timing = self._deployment.timing
        next_list_read_s = 0.0
        while True:
            now_s = self._clock.monotonic_s()
            if now_s >= next_list_read_s:
                next_list_read_s = now_s + timing.instance_list_s
                await self._read_instance_list()
                await self._update_links()
            self._record_state_changes(now_s)
            await asyncio.sleep(timing.heartbeat_s)

    async def _read_instance_list(self) -> None:
        try:
            listed = await self._platform.fetch_instances()
        except StoreUnavailable as error:
            _LOG.debug("could not read the instance list: %s", error)
            return
        for name in self._membership.update_from_platform(
            listed, self._clock.monotonic_s()
        ):
            self._confirmation.remove_peer(name)

    async def _update_links(self) -> None:
        entries = {
            member.name: member for member in self._membership.members(Role.ENTRY)
        }
        for name in entries:
            self._confirmation.add_peer(name)
        await self._replace_links(self._entries, entries, self._make_entry_link)
        sidecars: dict[str, Member] = {}
        for group in self._deployment.groups:
            members = self._membership.members(Role.SIDECAR, group.name)
            members_by_name = {member.name: member for member in members}
            chosen = choose_subset(
                self._identity.instance,
                members_by_name,
                self._deployment.limits.subset_size,
            )
            sidecars.update({name: members_by_name[name] for name in chosen})
        await self._replace_links(self._sidecars, sidecars, self._make_sidecar_link)

    async def _replace_links(
        self,
        links: dict,
        members: dict[str, Member],
        make_link: Callable[[Member], Link],
    ) -> None:
        outdated = [
            name for name, link in links.items() if members.get(name) != link.member
        ]
        await close_links([links.pop(name) for name in outdated])
        for name, member in members.items():
            if name not in links:
                links[name] = make_link(member)
                await links[name].start()

    def _make_sidecar_link(self, member: Member) -> SidecarLink:
        return SidecarLink(
            member,
            self._identity,
            self._replica,
            self._deployment.timing,
            self._clock,
            self._events,
            self._idle_monitor,
            self.record_heartbeat_reply,
        )

    def _make_entry_link(self, member: Member) -> EntryLink:
        return EntryLink(
            member,
            self._identity,
            self._replica,
            self._deployment.timing,
            self._clock,
            self._events,
            self._idle_monitor,
            self.record_heartbeat_reply,
            self._quarantine_update,
        )

    def _record_state_changes(self, now_s: float) -> None:
        for name in (*self._sidecars, *self._entries):
            state = self._membership.state(name, now_s)
            previous = self._states.get(name)
            self._states[name] = state
            if previous is MemberState.LIVE and state is MemberState.SUSPECTED:
                self._events.record(
                    EventKind.MEMBER_SUSPECTED, f"{name} sends no heartbeat replies"
                )
            elif previous is MemberState.SUSPECTED and state is MemberState.LIVE:
                self._events.record(
                    EventKind.MEMBER_RECOVERED, f"{name} replies to heartbeats again"
                )
