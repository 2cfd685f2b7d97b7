"""Forwards calls to services; non-idempotent calls execute at most once."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import msgspec

from gentianhoist.calls import CallResolver
from gentianhoist.clocks import Clock
from gentianhoist.entry._allowance import AllowanceManager
from gentianhoist.entry._directory import Directory
from gentianhoist.entry._links import CONNECTION_ERRORS, SidecarLink
from gentianhoist.entry._quarantine import call_keys
from gentianhoist.events import EventKind, EventRing
from gentianhoist.exceptions import ERROR_RESPONSES, ErrorKind, HoistError, NotRun
from gentianhoist.hashing import rendezvous_weight
from gentianhoist.quarantine import (
    QuarantineRecord,
    RequestQuarantine,
    TrialResult,
)
from gentianhoist.routing import RetryBudget
from gentianhoist.settings import DeploymentSettings, GroupSettings
from gentianhoist.telemetry import Metrics
from gentianhoist.wire import CallOutcome, CallReply, CallRequest

_RESPONSE_MARGIN_S = 0.25
_RESOLVE_TIMEOUT_S = 2.0
# For these kinds the store already holds the final state of the idempotency key.
_RESOLVED_KINDS = (ErrorKind.KEY_VOIDED, ErrorKind.KEY_REUSED)


class CallDispatcher:
    """Forwards service calls to sidecars.

    Idempotent calls are retried on other sidecars. A non-idempotent call that ends
    without an outcome is resolved in the store, so that the caller learns whether it
    can have executed.

    Args:
        deployment: Settings of the deployment.
        directory: Provides the connections to usable backend servers.
        allowance: Enforces the rate limits of the current minute.
        call_resolver: Reads or voids the key's record in the store if no sidecar
            returned an outcome; a voided key is never executed later.
        clock: Source of monotonic time.
        events: Ring buffer that routing decisions are recorded in.
        metrics: Receives counters.
        quarantine: Keeps calls that crash services from them.
    """

    def __init__(
        self,
        deployment: DeploymentSettings,
        directory: Directory,
        allowance: AllowanceManager,
        call_resolver: CallResolver,
        clock: Clock,
        events: EventRing,
        metrics: Metrics,
        quarantine: RequestQuarantine,
    ) -> None:
        self._deployment = deployment
        self._directory = directory
        self._allowance = allowance
        self._call_resolver = call_resolver
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._quarantine = quarantine
        self._retry_budget = RetryBudget(deployment.limits.retry_ratio)

    def find_group(self, service: str) -> GroupSettings:
        """Return the group of backend servers that runs a service.

        Args:
            service: Name of the service.

        Raises:
            HoistError: If no group runs it.
        """
        for group in self._deployment.groups:
            if group.service == service:
                return group
        raise HoistError(
            ErrorKind.UNKNOWN_SERVICE, f"there is no service {service}", field="service"
        )

    async def call(self, request: CallRequest) -> CallOutcome:
        """Execute one call.

        Args:
            request: The call.

        Returns:
            The response of the backend server.

        Raises:
            HoistError: If there is no response; its ``not_run`` states whether the
                call can have executed.
        """
        group = self.find_group(request.service)
        self._metrics.increment("calls")
        self._retry_budget.deposit()
        keys = call_keys(request)
        refusal, trial = await self._admit(request, keys)
        result = TrialResult.INCONCLUSIVE
        sent_s = self._clock.monotonic_s()
        try:
            if request.idempotent:
                if refusal is not None:
                    raise refusal
                outcome = await self._call_idempotent(
                    request, group, keys, is_trial=trial is not None
                )
            else:
                outcome = await self._call_at_most_once(request, group, refusal)
            result = TrialResult.PASSED
            self._quarantine.report_completed(keys, sent_s, is_trial=trial is not None)
            return outcome
        except HoistError as error:
            if error.not_run is NotRun.UNKNOWN:
                result = TrialResult.FAILED
            raise
        finally:
            if trial is not None:
                self._quarantine.end_trial(trial, result)

    async def _admit(
        self, request: CallRequest, keys: tuple[str, ...]
    ) -> tuple[HoistError | None, QuarantineRecord | None]:
        """Return why a call is held, or the record of its trial, if it is one."""
        try:
            return None, await self._quarantine.admit(request.request_id, keys)
        except HoistError as error:
            return error, None

    async def _call_idempotent(
        self,
        request: CallRequest,
        group: GroupSettings,
        keys: tuple[str, ...],
        *,
        is_trial: bool,
    ) -> CallOutcome:
        await self._allowance.spend(0)
        deadline_s = self._clock.monotonic_s() + request.deadline_left_s
        failure = _no_backend_server()
        for link in self._rank_links(request, group):
            reply = await self._send(link, request, deadline_s)
            if reply.outcome is not None:
                return reply.outcome
            failure = _to_error(reply)
            if is_trial or self._quarantine.refusal(keys) is not None:
                break
            if (
                failure.not_run is NotRun.UNKNOWN
                and not self._retry_budget.try_withdraw()
            ):
                break
            if self._clock.monotonic_s() >= deadline_s:
                break
        raise failure

    async def _call_at_most_once(
        self, request: CallRequest, group: GroupSettings, refusal: HoistError | None
    ) -> CallOutcome:
        deadline_s = self._clock.monotonic_s() + request.deadline_left_s
        may_have_run = False
        failure = refusal or await self._check_rate_limit()
        if failure is None:
            failure = _no_backend_server()
            for link in self._rank_links(request, group):
                reply = await self._send(link, request, deadline_s)
                if reply.owner and reply.owner != link.member.name:
                    reply = await self._send_to_owner(reply, request, deadline_s)
                if reply.outcome is not None:
                    return reply.outcome
                failure = _to_error(reply)
                if reply.not_run is NotRun.UNKNOWN:
                    may_have_run = True
                    break
                if failure.kind in _RESOLVED_KINDS:
                    raise failure
                if not failure.response.retryable:
                    break
        self._events.record(
            EventKind.CALL_VOIDED,
            f"resolving the key in the store, after: {failure.message}",
            request.request_id,
        )
        reply = await self._resolve(request, failure, may_have_run)
        if reply.outcome is not None:
            return reply.outcome
        raise _to_error(reply)

    async def _resolve(
        self, request: CallRequest, failure: HoistError, may_have_run: bool
    ) -> CallReply:
        try:
            async with asyncio.timeout(_RESOLVE_TIMEOUT_S):
                return await self._call_resolver.resolve(
                    request, failure, sent=may_have_run
                )
        except TimeoutError:
            return CallReply(
                None,
                ErrorKind.OUTCOME_UNKNOWN,
                f"{failure.message}; the store did not respond",
                NotRun.UNKNOWN,
            )

    async def _check_rate_limit(self) -> HoistError | None:
        try:
            await self._allowance.spend(0)
        except HoistError as error:
            return error
        return None

    def _rank_links(
        self, request: CallRequest, group: GroupSettings
    ) -> Iterator[SidecarLink]:
        """Yield the sidecars in the order in which they are tried.

        Rendezvous hashing sends retries of an idempotency key to the same sidecar
        first, which can then reply from memory.
        """
        ranked = sorted(
            self._directory.find_usable(group.name),
            key=lambda link: rendezvous_weight(
                request.idempotency_key or request.request_id, link.member.name
            ),
            reverse=True,
        )
        yield from ranked[: self._deployment.limits.attempts]

    async def _send(
        self, link: SidecarLink, request: CallRequest, deadline_s: float
    ) -> CallReply:
        remaining_s = deadline_s - self._clock.monotonic_s()
        if remaining_s <= 0:
            return CallReply(
                None,
                ErrorKind.DEADLINE_TOO_SHORT,
                "no time is left before the deadline to send the call",
                NotRun.TRUE,
            )
        self._events.record(
            EventKind.REQUEST_ROUTED, f"to {link.member.name}", request.request_id
        )
        sent_s = self._clock.monotonic_s()
        updated_request = msgspec.structs.replace(request, deadline_left_s=remaining_s)
        try:
            with link.stream_channels.acquire() as channel:
                reply = await channel.stub.call(
                    updated_request,
                    timeout=remaining_s + _RESPONSE_MARGIN_S,
                )
        except ConnectionRefusedError as error:
            return CallReply(None, ErrorKind.NO_BACKEND_SERVER, str(error), NotRun.TRUE)
        except CONNECTION_ERRORS as error:
            return CallReply(
                None,
                ErrorKind.OUTCOME_UNKNOWN,
                f"{link.member.name} did not respond: {type(error).__name__}",
                NotRun.UNKNOWN,
            )
        if reply.server_crashed:
            await self._quarantine.report_lost_connection(
                link.view.server,
                call_keys(request),
                sent_s,
                may_repeat=request.idempotent,
            )
        return reply

    async def _send_to_owner(
        self, reply: CallReply, request: CallRequest, deadline_s: float
    ) -> CallReply:
        """Ask the sidecar that wrote the key's stored record for the outcome.

        Returns:
            The reply of that sidecar, or ``reply`` if it has no outcome.
        """
        owner = self._directory.find_sidecar(reply.owner)
        if owner is None:
            return reply
        owner_reply = await self._send(owner, request, deadline_s)
        return owner_reply if owner_reply.outcome is not None else reply


def _no_backend_server() -> HoistError:
    return HoistError(
        ErrorKind.NO_BACKEND_SERVER,
        "no backend server accepts new work",
        retry_after_s=1.0,
    )


def _to_error(reply: CallReply) -> HoistError:
    kind = reply.kind or ErrorKind.INTERNAL
    if reply.not_run is NotRun.UNKNOWN and ERROR_RESPONSES[kind].not_run is NotRun.TRUE:
        kind = ErrorKind.OUTCOME_UNKNOWN
    return HoistError(
        kind,
        reply.message,
        retry_after_s=reply.retry_after_s,
        not_run=reply.not_run,
    )
