"""What the admission control knows of the engines and the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianhoist.admission import GroupSlots
from gentianhoist.fleet import BackendServer, ServerGroup
from gentianhoist.placement import QueueOrder

if TYPE_CHECKING:
    from gentianhoist.dispatch._state import DispatchState

__all__ = ["FleetSlots"]

_NO_SLOTS = GroupSlots(0, 0)


class FleetSlots:
    """View of the engines for `admission.FleetAdmission`.

    Args:
        state: State that all requests of the entry share.
    """

    def __init__(self, state: DispatchState) -> None:
        self._state = state

    @property
    def has_several_organisations(self) -> bool:
        """Whether API keys of more than one organisation are configured.

        The baseline order of the queue has no notion of organisations.
        """
        if self._state.policy.queue_order is not QueueOrder.BY_VALUE:
            return False
        configuration = self._state.routing.current
        return configuration is not None and configuration.organisation_count > 1

    def has_group(self, group: str) -> bool:
        """Whether a server group of model engines is configured."""
        return self._engine_group(group) is not None

    def group_of(self, server_id: str) -> str:
        """Server group of an engine; empty if it isn't known."""
        server = self._state.directory.servers.get(server_id)
        return "" if server is None else server.group

    def slots(self, group: str, now_s: float) -> GroupSlots:
        """Slots of the engines of a group, and those in use there.

        Args:
            group: Name of the server group.
            now_s: Current time on the entry's clock, in seconds.
        """
        engine_group = self._engine_group(group)
        if engine_group is None or engine_group.engine is None:
            return _NO_SLOTS
        servers = self._state.directory.usable_members(group, now_s)
        health = self._state.server_health
        open_ids = {server.id for server in health.available(servers, now_s)}
        total = in_use = 0
        for server in servers:
            requests = self._state.ledger.load(server.id).requests
            in_use += requests
            total += requests
            if server.id in open_ids and self._takes_requests(
                server, engine_group, now_s
            ):
                total += max(0, engine_group.engine.slots - requests)
        return GroupSlots(total, in_use)

    def _engine_group(self, name: str) -> ServerGroup | None:
        configuration = self._state.routing.current
        group = configuration and configuration.groups.get(name)
        return group if group and group.engine is not None else None

    def _takes_requests(
        self, server: BackendServer, group: ServerGroup, now_s: float
    ) -> bool:
        """Whether the free slots of an engine can be used now by this entry."""
        if not self._state.is_within_cold_limit(server, group, now_s):
            return False
        pauses = self._state.pauses
        return not pauses or pauses.may_send(server, now_s)
