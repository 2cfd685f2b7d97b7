"""Servers that one request may be sent to, and the errors while there are none."""

from __future__ import annotations

from gentianhoist.dispatch._context import DispatchContext
from gentianhoist.dispatch._request import Request
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.fleet import BackendServer, ServerGroup
from gentianhoist.quarantine import Refused, refusal_error

__all__ = ["Candidates"]

_RETRY_AFTER_S = 0.3
# Callers that were refused in a pause come back over this fraction of its rest.
_PAUSE_JITTER_RATIO = 0.3
_MIN_PAUSE_RETRY_AFTER_S = 0.1


class Candidates:
    """The servers of a request's group that may be chosen for it now.

    Doesn't know what sends the request: a reference cycle would keep its body.

    Args:
        context: What all requests share.
        request: The admitted request.

    Attributes:
        is_trial: Whether the request is the trial of a key that is held otherwise.
    """

    def __init__(self, context: DispatchContext, request: Request) -> None:
        self._context = context
        self._state = context.state
        self._request = request
        self.is_trial = False

    @property
    def group(self) -> ServerGroup:
        """The server group chosen for the request.

        Raises:
            HoistError: If the current configuration lacks the group.
        """
        configuration = self._state.routing.current
        group = configuration and configuration.groups.get(self._request.group_name)
        if not group:
            raise HoistError(
                ErrorKind.NO_BACKEND_SERVER,
                "the server group of the route is not configured",
                retry_after_s=_RETRY_AFTER_S,
            )
        return group

    def servers(self) -> list[BackendServer]:
        """Servers that may be chosen; ejected ones only if there are no others.

        Servers that have named a pause are no candidates in any case.
        """
        now_s = self._context.clock.monotonic_s()
        group = self.group
        pauses = self._state.pauses
        members = pauses.available(
            (
                server
                for server in self._state.directory.usable_members(group.name, now_s)
                if server.id not in self._request.excluded_ids
            ),
            now_s,
            # One that still refuses costs a retry, or the request.
            may_be_refused=not pauses
            or self._context.retry_quotas.can_withdraw(group.name),
        )
        return self._state.server_health.available(members, now_s)

    def may_send_to_another(self, server: BackendServer) -> bool:
        """Whether not all servers but this one have reached their rate limits."""
        now_s = self._context.clock.monotonic_s()
        others = [other for other in self.servers() if other.id != server.id]
        if not others and self._others_pause(server, now_s):
            return False
        limits = self._state.rate_limits
        return not others or any(limits.can_send(other, now_s) for other in others)

    def _others_pause(self, server: BackendServer, now_s: float) -> bool:
        """Whether any server but this one has named a pause that isn't over."""
        pauses = self._state.pauses
        members = self._state.directory.usable_members(self.group.name, now_s)
        return bool(pauses) and any(
            other.id != server.id and not pauses.may_send(other, now_s)
            for other in members
        )

    def quarantine_refusal(self) -> Refused | None:
        """Why the request may not be sent to any server now, or None."""
        if self.is_trial:
            return None
        return self._context.quarantine.refusal(self._request.call.quarantine_keys)

    def raise_if_quarantined(self) -> None:
        """Raise the error for the caller if the request may not be sent now."""
        refused = self.quarantine_refusal()
        if refused is None:
            return
        error = refusal_error(refused)
        if self._request.may_have_run:
            raise HoistError(ErrorKind.BACKEND_FAILED, error.message)
        raise error

    def no_server_error(self, reason: str) -> HoistError:
        """The error for the caller when no server can be chosen."""
        if self._request.may_have_run:
            return HoistError(ErrorKind.BACKEND_FAILED, reason)
        wait_s = self._pause_wait_s()
        if wait_s is not None:
            return self._pause_error(wait_s)
        return HoistError(
            ErrorKind.NO_BACKEND_SERVER,
            reason,
            retry_after_s=_RETRY_AFTER_S * (0.5 + self._state.rng.random()),
        )

    def raise_if_all_pause(self) -> None:
        """Raise the error for the caller if all servers have named a pause.

        A request that may have run can't be refused, so it waits.
        """
        wait_s = self._pause_wait_s()
        if wait_s and not self._request.may_have_run:
            raise self._pause_error(wait_s)

    def _pause_wait_s(self) -> float | None:
        """Seconds until a server may get a request, None if not all have paused."""
        if not self._state.pauses:
            return None
        now_s = self._context.clock.monotonic_s()
        members = self._state.directory.usable_members(self.group.name, now_s)
        return self._state.pauses.wait_s(members, now_s)

    def _pause_error(self, wait_s: float) -> HoistError:
        jitter = 1.0 + _PAUSE_JITTER_RATIO * self._state.rng.random()
        return HoistError(
            ErrorKind.NO_BACKEND_SERVER,
            "all backend servers have asked for a pause",
            retry_after_s=max(_MIN_PAUSE_RETRY_AFTER_S, wait_s) * jitter,
        )
