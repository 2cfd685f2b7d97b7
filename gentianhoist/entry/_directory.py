"""The links that an entry has, as membership and subsets decide."""

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
from gentianhoist.entry._links import EntryLink, Link, SidecarLink, close_all
from gentianhoist.entry._silence import SilenceWatch
from gentianhoist.events import EventKind, EventRing
from gentianhoist.membership import Member, Membership, MemberState
from gentianhoist.routing import choose_subset
from gentianhoist.settings import DeploymentSettings, Role
from gentianhoist.store import HttpPlatform, StoreUnavailable
from gentianhoist.wire import (
    ConfigurationUpdate,
    EntryStub,
    HeartbeatReply,
    Spending,
)

_LOG = logging.getLogger(__name__)


class Directory:
    """Opens and closes links, and says which backend servers may have new work.

    Args:
        identity: Who this process is.
        deployment: The deployment's settings.
        configuration: This process's copy of the configuration.
        confirmation: Takes the evidence of other entries.
        membership: Who else there is.
        platform: Has the instance list.
        clock: This machine's clocks.
        events: Where suspicions are recorded.
        silence: Finds out whether this process was late itself.
        on_update: Told what another process sent of the configuration.
        on_spending: Told what another entry says of its part of the allowance.
    """

    def __init__(
        self,
        identity: Identity,
        deployment: DeploymentSettings,
        configuration: ConfigurationReplica,
        confirmation: Confirmation,
        membership: Membership,
        platform: HttpPlatform,
        clock: Clock,
        events: EventRing,
        silence: SilenceWatch,
        on_update: Callable[[ConfigurationUpdate], None],
        on_spending: Callable[[str, Spending], None],
    ) -> None:
        self._identity = identity
        self._deployment = deployment
        self._configuration = configuration
        self._confirmation = confirmation
        self._membership = membership
        self._platform = platform
        self._clock = clock
        self._events = events
        self._silence = silence
        self._on_update = on_update
        self._on_spending = on_spending
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
        """Open the links to the members known beforehand, and watch the list."""
        await self._adjust()
        self._task = asyncio.create_task(self._watch())

    async def close(self) -> None:
        """Close all links."""
        if self._task is not None:
            self._task.cancel()
        await close_all([*self._sidecars.values(), *self._entries.values()])

    def nudge(self) -> None:
        """Tell every process the news now."""
        for link in (*self._entries.values(), *self._sidecars.values()):
            link.nudge()

    def state(self, name: str) -> MemberState:
        """What is believed of a member."""
        return self._membership.state(name, self._clock.elapsed_s())

    def leaving(self, name: str) -> bool:
        """Whether a member leaves."""
        return self._membership.is_leaving(name)

    def find(self, name: str) -> SidecarLink | None:
        """The link to a sidecar, if there is one."""
        return self._sidecars.get(name)

    def usable(self, group: str) -> list[SidecarLink]:
        """Links of a group whose backend servers may have new work."""
        self._silence.check()
        now_s = self._clock.elapsed_s()
        configuration = self._configuration.current
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

    def heard(self, member: Member, reply: HeartbeatReply, asked_s: float) -> None:
        """Take an answer to a heartbeat."""
        self._membership.record_heartbeat(
            member.name, self._clock.elapsed_s(), leaving=reply.leaving
        )
        if reply.update is not None:
            self._on_update(reply.update)
        if member.role is Role.ENTRY:
            evidence = PeerVersionReport(
                asked_s, reply.stamp.configuration_version, reply.accepting
            )
            self._confirmation.record_peer_report(member.name, evidence)
            if reply.spending is not None:
                self._on_spending(member.name, reply.spending)

    async def _watch(self) -> None:
        timing = self._deployment.timing
        next_list_s = 0.0
        while True:
            now_s = self._clock.elapsed_s()
            if now_s >= next_list_s:
                next_list_s = now_s + timing.instance_list_s
                await self._read_list()
                await self._adjust()
            self._note_states(now_s)
            await asyncio.sleep(timing.heartbeat_s)

    async def _read_list(self) -> None:
        try:
            listed = await self._platform.fetch_instances()
        except StoreUnavailable as error:
            _LOG.debug("no instance list: %s", error)
            return
        for name in self._membership.update_from_platform(
            listed, self._clock.elapsed_s()
        ):
            self._confirmation.remove_peer(name)

    async def _adjust(self) -> None:
        entries = {item.name: item for item in self._membership.members(Role.ENTRY)}
        for name in entries:
            self._confirmation.add_peer(name)
        await self._replace_links(self._entries, entries, self._entry_link)
        sidecars: dict[str, Member] = {}
        for group in self._deployment.groups:
            members = self._membership.members(Role.SIDECAR, group.name)
            known = {item.name: item for item in members}
            chosen = choose_subset(
                self._identity.instance, known, self._deployment.limits.subset_size
            )
            sidecars.update({name: known[name] for name in chosen})
        await self._replace_links(self._sidecars, sidecars, self._sidecar_link)

    async def _replace_links(
        self,
        links: dict,
        members: dict[str, Member],
        make: Callable[[Member], Link],
    ) -> None:
        outdated = [
            name for name, link in links.items() if members.get(name) != link.member
        ]
        await close_all([links.pop(name) for name in outdated])
        for name, member in members.items():
            if name not in links:
                links[name] = make(member)
                await links[name].start()

    def _sidecar_link(self, member: Member) -> SidecarLink:
        return SidecarLink(
            member,
            self._identity,
            self._configuration,
            self._deployment.timing,
            self._clock,
            self._events,
            self._silence,
            self.heard,
        )

    def _entry_link(self, member: Member) -> EntryLink:
        return EntryLink(
            member,
            EntryStub,
            self._identity,
            self._configuration,
            self._deployment.timing,
            self._clock,
            self._events,
            self._silence,
            self.heard,
        )

    def _note_states(self, now_s: float) -> None:
        for name in (*self._sidecars, *self._entries):
            state = self._membership.state(name, now_s)
            before = self._states.get(name)
            self._states[name] = state
            if before is MemberState.LIVE and state is MemberState.SUSPECTED:
                self._events.record(EventKind.MEMBER_SUSPECTED, f"{name} is silent")
            elif before is MemberState.SUSPECTED and state is MemberState.LIVE:
                self._events.record(EventKind.MEMBER_RECOVERED, f"{name} answers")
