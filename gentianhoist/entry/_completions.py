"""Runs a caller's generation: admission, routing, attempts, the whole answer."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import aclosing

from gentianhoist.capacity import classify
from gentianhoist.clocks import Clock
from gentianhoist.configuration import Identity
from gentianhoist.entry._allowance import AllowanceKeeper
from gentianhoist.entry._channels import Line
from gentianhoist.entry._directory import Directory
from gentianhoist.entry._gang import GangDispatcher
from gentianhoist.entry._jobs import CompletionJob, RequestMaker
from gentianhoist.entry._links import SidecarLink
from gentianhoist.entry._silence import SilenceWatch
from gentianhoist.entry._stream_reader import (
    ConnectionLost,
    ConnectionSilent,
    read_stream,
)
from gentianhoist.events import EventKind, EventRing
from gentianhoist.exceptions import ErrorKind, HoistError, NotRun
from gentianhoist.placement import PlacementRule
from gentianhoist.routing import (
    BackendView,
    LongPromptPool,
    Prompt,
    RetryBudget,
    choose_backend,
)
from gentianhoist.settings import DeploymentSettings
from gentianhoist.streams import StreamAssembler
from gentianhoist.telemetry import Metrics
from gentianhoist.wire import EngineLoad, RunRequest

_RESUMES = 3
_RESUME_PAUSE_S = 0.05
_FINAL_KINDS = (ErrorKind.DEADLINE_EXCEEDED, ErrorKind.PROMPT_TOO_LONG)


class CompletionDispatcher:
    """Runs generations for callers.

    Args:
        identity: Who this process is.
        deployment: The deployment's settings.
        requests: Makes messages to sidecars.
        gang: Runs what is larger than one engine's memory.
        directory: Knows the backend servers.
        silence: Finds out whether connections are silent.
        allowance: Decides whether this minute has room.
        clock: This machine's clocks.
        events: Where decisions are recorded.
        metrics: Where counts go.
        rule: How to choose backend servers.
    """

    def __init__(
        self,
        identity: Identity,
        deployment: DeploymentSettings,
        requests: RequestMaker,
        gang: GangDispatcher,
        directory: Directory,
        silence: SilenceWatch,
        allowance: AllowanceKeeper,
        clock: Clock,
        events: EventRing,
        metrics: Metrics,
        rule: PlacementRule,
    ) -> None:
        self._deployment = deployment
        self._requests = requests
        self._gang = gang
        self._directory = directory
        self._silence = silence
        self._allowance = allowance
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._rule = rule
        self._rng = random.Random(identity.incarnation)
        self._retries = RetryBudget(deployment.limits.retry_ratio)
        self._lanes: dict[str, LongPromptPool] = {}

    async def run(self, job: CompletionJob) -> AsyncIterator[tuple[str, ...]]:
        """Run one generation.

        Args:
            job: What the caller wants.

        Yields:
            Consecutive tokens, until the answer is whole.

        Raises:
            HoistError: If it is refused or fails.
        """
        await self._allowance.spend(job.prompt_tokens + job.max_tokens)
        group = self._gang.group_for(job)
        runs = self._run_alone(job) if group is None else self._gang.run(job, group)
        async with aclosing(runs) as tokens:
            async for texts in tokens:
                yield texts

    async def _run_alone(self, job: CompletionJob) -> AsyncIterator[tuple[str, ...]]:
        """Run one generation on one engine at a time."""
        self._retries.deposit()
        assembler = StreamAssembler(job.request_id)
        failures: list[HoistError] = []
        tried: set[str] = set()
        prompt = self._prompt(job)
        while (link := self._choose(job, prompt, tried, failures)) is not None:
            tried.add(link.member.name)
            running = self._run_at(link, assembler, job, prompt)
            try:
                async with aclosing(running) as tokens:
                    async for texts in tokens:
                        yield texts
            except HoistError as error:
                failures.append(error)
                if not self._may_go_on(job, failures):
                    break
            else:
                self._metrics.increment("frames_dropped", assembler.dropped_frames)
                return
        raise self._failure(failures)

    def _prompt(self, job: CompletionJob) -> Prompt:
        limits = self._deployment.limits
        work_class = classify(
            job.prompt_tokens, limits.short_tokens, limits.long_tokens
        )
        return Prompt(job.prompt_tokens, job.max_tokens, work_class, job.marks)

    def _choose(
        self,
        job: CompletionJob,
        prompt: Prompt,
        tried: set[str],
        failures: list[HoistError],
    ) -> SidecarLink | None:
        links = {
            link.member.name: link
            for group in self._deployment.groups
            if job.model in group.models
            for link in self._directory.usable(group.name)
        }
        now_s = self._clock.elapsed_s()
        views = [link.view for link in links.values()]
        untried = [view for view in views if view.name not in tried]
        chosen = choose_backend(
            self._rule, untried, prompt, self._lane(job, views, now_s), now_s, self._rng
        )
        if chosen is None:
            return None
        chosen.record_sent(prompt, now_s)
        self._events.record(
            EventKind.REQUEST_RETRIED if failures else EventKind.REQUEST_ROUTED,
            f"{prompt.work_class.name.lower()}, to {chosen.name}"
            f" of {len(untried)} usable{_after(failures)}",
            job.request_id,
        )
        return links[chosen.name]

    def _lane(
        self, job: CompletionJob, views: list[BackendView], now_s: float
    ) -> frozenset[str]:
        """Names of the backend servers kept for long work."""
        if not self._deployment.routing.lanes:
            return frozenset()
        lane = self._lanes.setdefault(job.model, LongPromptPool(job.model))
        return lane.select_members(views, now_s)

    def _may_go_on(self, job: CompletionJob, failures: list[HoistError]) -> bool:
        last = failures[-1]
        if last.kind in _FINAL_KINDS or len(failures) >= (
            self._deployment.limits.attempts
        ):
            return False
        if self._clock.elapsed_s() >= job.deadline_s:
            return False
        self._metrics.increment("retries")
        # A refusal "not run" did no work, so it isn't paid from the budget.
        return last.not_run is NotRun.TRUE or self._retries.try_withdraw()

    def _failure(self, failures: list[HoistError]) -> HoistError:
        if not failures:
            return HoistError(
                ErrorKind.NO_BACKEND_SERVER,
                "no backend server takes new work",
                retry_after_s=1.0,
            )
        in_doubt = [error for error in failures if error.not_run is NotRun.UNKNOWN]
        chosen = in_doubt[-1] if in_doubt else min(failures, key=_usefulness)
        error = HoistError(
            chosen.kind,
            chosen.message,
            retry_after_s=chosen.retry_after_s,
            not_run=chosen.not_run,
        )
        error.__cause__ = ExceptionGroup("attempts", failures)
        return error

    async def _run_at(
        self,
        link: SidecarLink,
        assembler: StreamAssembler,
        job: CompletionJob,
        prompt: Prompt,
    ) -> AsyncIterator[tuple[str, ...]]:
        """One attempt, counted as unanswered until its first token."""
        answered = False
        try:
            async with aclosing(self._attempt(link, assembler, job)) as tokens:
                async for texts in tokens:
                    if not answered:
                        answered = True
                        link.view.remove_pending(prompt)
                    yield texts
        finally:
            if not answered:
                link.view.remove_pending(prompt)

    async def _attempt(
        self, link: SidecarLink, assembler: StreamAssembler, job: CompletionJob
    ) -> AsyncIterator[tuple[str, ...]]:
        """One attempt on one backend server, resumed where its connection fails."""
        assembler.begin_attempt()
        link.view.outstanding += 1
        admitted = asyncio.Event()
        try:
            for resumes in range(_RESUMES + 1):
                request = self._requests.make(
                    job,
                    assembler.attempt,
                    assembler.text,
                    assembler.next_offset,
                    # Until it is known to be admitted, the message may be lost.
                    resume=admitted.is_set(),
                )
                try:
                    with link.streams.use() as line:
                        async with aclosing(
                            self._read(link, line, request, assembler, admitted)
                        ) as tokens:
                            async for texts in tokens:
                                yield texts
                except ConnectionLost as error:
                    self._note_resume(link, assembler, job, error)
                    await asyncio.sleep(_RESUME_PAUSE_S * resumes)
                else:
                    return
        finally:
            link.view.outstanding -= 1
        raise HoistError(
            ErrorKind.BACKEND_FAILED, f"{link.member.name} is not reachable"
        )

    async def _read(
        self,
        link: SidecarLink,
        line: Line,
        request: RunRequest,
        assembler: StreamAssembler,
        admitted: asyncio.Event,
    ) -> AsyncIterator[tuple[str, ...]]:
        def _take_load(load: EngineLoad) -> None:
            admitted.set()
            link.take_load(load)

        reading = read_stream(line.stub, request, assembler, self._silence, _take_load)
        try:
            async with aclosing(reading) as tokens:
                async for texts in tokens:
                    yield texts
        except ConnectionSilent:
            link.streams.drop(line)
            raise

    def _note_resume(
        self,
        link: SidecarLink,
        assembler: StreamAssembler,
        job: CompletionJob,
        error: ConnectionLost,
    ) -> None:
        self._metrics.increment("resumes")
        self._events.record(
            EventKind.STREAM_RESUMED,
            f"at {link.member.name} from {assembler.next_offset}: {error}",
            job.request_id,
        )


def _usefulness(error: HoistError) -> tuple[bool, float]:
    """The refusal that tells a caller most: one that says when to come back."""
    return (error.kind is not ErrorKind.OVERLOADED, error.retry_after_s)


def _after(failures: list[HoistError]) -> str:
    return f", after {failures[-1].kind}: {failures[-1].message}" if failures else ""
