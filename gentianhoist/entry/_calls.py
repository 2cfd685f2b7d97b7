"""Runs a caller's call of a plain service, at most once where that matters."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import msgspec

from gentianhoist.calls import CallResolver
from gentianhoist.clocks import Clock
from gentianhoist.entry._allowance import AllowanceKeeper
from gentianhoist.entry._directory import Directory
from gentianhoist.entry._links import CONNECTION_ERRORS, SidecarLink
from gentianhoist.events import EventKind, EventRing
from gentianhoist.exceptions import ANSWERS, ErrorKind, HoistError, NotRun
from gentianhoist.routing import RetryBudget, rendezvous_weight
from gentianhoist.settings import DeploymentSettings, GroupSettings
from gentianhoist.telemetry import Metrics
from gentianhoist.wire import CallOutcome, CallReply, CallRequest

_ANSWER_MARGIN_S = 0.25
_SETTLE_S = 2.0
# The store already says what became of these keys.
_SETTLED_KINDS = (ErrorKind.KEY_VOIDED, ErrorKind.KEY_REUSED)


class CallDispatcher:
    """Runs calls for callers.

    Args:
        deployment: The deployment's settings.
        directory: Knows the backend servers.
        allowance: Decides whether this minute has room.
        settler: Makes "not run" true where no sidecar has answered.
        clock: This machine's clocks.
        events: Where decisions are recorded.
        metrics: Where counts go.
    """

    def __init__(
        self,
        deployment: DeploymentSettings,
        directory: Directory,
        allowance: AllowanceKeeper,
        settler: CallResolver,
        clock: Clock,
        events: EventRing,
        metrics: Metrics,
    ) -> None:
        self._deployment = deployment
        self._directory = directory
        self._allowance = allowance
        self._settler = settler
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._retries = RetryBudget(deployment.limits.retry_ratio)

    def group(self, service: str) -> GroupSettings:
        """The group that offers a service.

        Raises:
            HoistError: If there is none.
        """
        for group in self._deployment.groups:
            if group.service == service:
                return group
        raise HoistError(
            ErrorKind.UNKNOWN_SERVICE, f"there is no service {service}", field="service"
        )

    async def call(self, request: CallRequest) -> CallOutcome:
        """Run one call.

        Args:
            request: The call.

        Returns:
            What the backend server answered.

        Raises:
            HoistError: With what is known of the execution.
        """
        group = self.group(request.service)
        self._metrics.increment("calls")
        self._retries.deposit()
        if request.idempotent:
            return await self._call_idempotent(request, group)
        return await self._call_once(request, group)

    async def _call_idempotent(
        self, request: CallRequest, group: GroupSettings
    ) -> CallOutcome:
        await self._allowance.spend(0)
        deadline_s = self._clock.elapsed_s() + request.deadline_left_s
        failure = _nobody()
        for link in self._targets(request, group):
            reply = await self._ask(link, request, deadline_s)
            if reply.outcome is not None:
                return reply.outcome
            failure = _as_error(reply)
            if failure.not_run is NotRun.UNKNOWN and not self._retries.try_withdraw():
                break
            if self._clock.elapsed_s() >= deadline_s:
                break
        raise failure

    async def _call_once(
        self, request: CallRequest, group: GroupSettings
    ) -> CallOutcome:
        deadline_s = self._clock.elapsed_s() + request.deadline_left_s
        refusal, sent = await self._admission(), False
        if refusal is None:
            refusal = _nobody()
            for link in self._targets(request, group):
                reply = await self._ask(link, request, deadline_s)
                if reply.owner and reply.owner != link.member.name:
                    reply = await self._ask_owner(reply, request, deadline_s)
                if reply.outcome is not None:
                    return reply.outcome
                refusal = _as_error(reply)
                if reply.not_run is NotRun.UNKNOWN:
                    sent = True
                    break
                if refusal.kind in _SETTLED_KINDS:
                    raise refusal
                if not refusal.answer.retryable:
                    break
        self._events.record(
            EventKind.CALL_VOIDED, f"settled: {refusal.message}", request.request_id
        )
        reply = await self._settle(request, refusal, sent)
        if reply.outcome is not None:
            return reply.outcome
        raise _as_error(reply)

    async def _settle(
        self, request: CallRequest, refusal: HoistError, sent: bool
    ) -> CallReply:
        try:
            async with asyncio.timeout(_SETTLE_S):
                return await self._settler.resolve(request, refusal, sent=sent)
        except TimeoutError:
            return CallReply(
                None,
                ErrorKind.OUTCOME_UNKNOWN,
                f"{refusal.message}; the store doesn't answer",
                NotRun.UNKNOWN,
            )

    async def _admission(self) -> HoistError | None:
        try:
            await self._allowance.spend(0)
        except HoistError as error:
            return error
        return None

    def _targets(
        self, request: CallRequest, group: GroupSettings
    ) -> Iterator[SidecarLink]:
        """The sidecars in the order in which they are asked.

        Repeats of a key ask the same one first, which then answers from its memory.
        """
        ranked = sorted(
            self._directory.usable(group.name),
            key=lambda link: rendezvous_weight(
                request.key or request.request_id, link.member.name
            ),
            reverse=True,
        )
        yield from ranked[: self._deployment.limits.attempts]

    async def _ask(
        self, link: SidecarLink, request: CallRequest, deadline_s: float
    ) -> CallReply:
        left_s = deadline_s - self._clock.elapsed_s()
        if left_s <= 0:
            return CallReply(
                None, ErrorKind.DEADLINE_TOO_SHORT, "no time left", NotRun.TRUE
            )
        self._events.record(
            EventKind.REQUEST_ROUTED, f"to {link.member.name}", request.request_id
        )
        timed = msgspec.structs.replace(request, deadline_left_s=left_s)
        try:
            with link.streams.use() as line:
                return await line.stub.call(timed, timeout=left_s + _ANSWER_MARGIN_S)
        except ConnectionRefusedError as error:
            return CallReply(None, ErrorKind.NO_BACKEND_SERVER, str(error), NotRun.TRUE)
        except CONNECTION_ERRORS as error:
            return CallReply(
                None,
                ErrorKind.OUTCOME_UNKNOWN,
                f"{link.member.name} did not answer: {type(error).__name__}",
                NotRun.UNKNOWN,
            )

    async def _ask_owner(
        self, reply: CallReply, request: CallRequest, deadline_s: float
    ) -> CallReply:
        """Ask the sidecar that owns the intent; only an outcome is news."""
        owner = self._directory.find(reply.owner)
        if owner is None:
            return reply
        answer = await self._ask(owner, request, deadline_s)
        return answer if answer.outcome is not None else reply


def _nobody() -> HoistError:
    return HoistError(
        ErrorKind.NO_BACKEND_SERVER,
        "no backend server takes new work",
        retry_after_s=1.0,
    )


def _as_error(reply: CallReply) -> HoistError:
    kind = reply.kind or ErrorKind.INTERNAL
    if reply.not_run is NotRun.UNKNOWN and ANSWERS[kind].not_run is NotRun.TRUE:
        kind = ErrorKind.OUTCOME_UNKNOWN
    return HoistError(
        kind,
        reply.message,
        retry_after_s=reply.retry_after_s,
        not_run=reply.not_run,
    )
