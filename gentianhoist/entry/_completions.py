"""Executes a generation request: rate limits, routing, retries and stream resumes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import aclosing

from gentianhoist.capacity import classify
from gentianhoist.clocks import Clock
from gentianhoist.configuration import Identity
from gentianhoist.entry._allowance import AllowanceManager
from gentianhoist.entry._channels import PooledChannel
from gentianhoist.entry._directory import Directory
from gentianhoist.entry._gang import GangDispatcher
from gentianhoist.entry._idle_monitor import IdleStreamMonitor
from gentianhoist.entry._jobs import CompletionJob, RunRequestBuilder
from gentianhoist.entry._links import SidecarLink
from gentianhoist.entry._quarantine import job_keys
from gentianhoist.entry._stream_reader import (
    ConnectionLost,
    ConnectionTimedOut,
    EngineCrashedError,
    read_stream,
)
from gentianhoist.events import EventKind, EventRing
from gentianhoist.exceptions import ErrorKind, HoistError, NotRun
from gentianhoist.placement import PlacementRule
from gentianhoist.quarantine import RequestQuarantine, TrialResult
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

_MAX_RESUMES = 3
_RESUME_BACKOFF_S = 0.05
_NON_RETRYABLE_KINDS = (ErrorKind.DEADLINE_EXCEEDED, ErrorKind.PROMPT_TOO_LONG)


class CompletionDispatcher:
    """Executes generation requests on the engines behind the sidecars.

    A request runs on one engine at a time and is retried on another engine after a
    failure. Prompts that exceed the KV cache of one engine go to the gang dispatcher.

    Args:
        identity: Identity of this process; its incarnation seeds the random choices.
        deployment: Settings of the deployment.
        requests: Builds the messages sent to sidecars.
        gang: Runs prompts that exceed the KV cache of one engine.
        directory: Provides the connections to usable backend servers.
        idle_monitor: Ends the reading of streams that stay idle for too long.
        allowance: Enforces the rate limits of the current minute.
        clock: Source of monotonic time.
        events: Ring buffer that routing decisions are recorded in.
        metrics: Receives counters.
        rule: Placement rule that chooses among backend servers.
        quarantine: Keeps prompts that crash engines from them.
    """

    def __init__(
        self,
        identity: Identity,
        deployment: DeploymentSettings,
        requests: RunRequestBuilder,
        gang: GangDispatcher,
        directory: Directory,
        idle_monitor: IdleStreamMonitor,
        allowance: AllowanceManager,
        clock: Clock,
        events: EventRing,
        metrics: Metrics,
        rule: PlacementRule,
        quarantine: RequestQuarantine,
    ) -> None:
        self._deployment = deployment
        self._requests = requests
        self._gang = gang
        self._directory = directory
        self._idle_monitor = idle_monitor
        self._allowance = allowance
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._placement_rule = rule
        self._quarantine = quarantine
        self._rng = random.Random(identity.incarnation)
        self._retry_budget = RetryBudget(deployment.limits.retry_ratio)
        self._long_prompt_pools: dict[str, LongPromptPool] = {}

    async def run(self, job: CompletionJob) -> AsyncIterator[tuple[str, ...]]:
        """Run one generation.

        Args:
            job: The generation to run.

        Yields:
            Texts of consecutive tokens, until the generation is complete.

        Raises:
            HoistError: If the request is rejected or every attempt fails.
        """
        keys = job_keys(job)
        trial = await self._quarantine.admit(job.request_id, keys)
        result = TrialResult.INCONCLUSIVE
        try:
            await self._allowance.spend(job.prompt_tokens + job.max_tokens)
            sent_s = self._clock.monotonic_s()
            group = self._gang.select_group(job)
            stream = (
                self._run_on_single_engines(job, keys, is_trial=trial is not None)
                if group is None
                else self._gang.run(job, group)
            )
            async with aclosing(stream) as tokens:
                async for texts in tokens:
                    result = TrialResult.PASSED
                    yield texts
            result = TrialResult.PASSED
            self._quarantine.report_completed(keys, sent_s, is_trial=trial is not None)
        except HoistError as error:
            if error.not_run is not NotRun.TRUE and result is not TrialResult.PASSED:
                result = TrialResult.FAILED
            raise
        finally:
            if trial is not None:
                self._quarantine.end_trial(trial, result)

    async def _run_on_single_engines(
        self, job: CompletionJob, keys: tuple[str, ...], *, is_trial: bool
    ) -> AsyncIterator[tuple[str, ...]]:
        """Try one engine after another until the generation is complete.

        Args:
            job: The generation to run.
            keys: Keys under which the quarantine may hold it.
            is_trial: Whether it is the trial of one of them.
        """
        self._retry_budget.deposit()
        assembler = StreamAssembler(job.request_id)
        failures: list[HoistError] = []
        tried_names: set[str] = set()
        prompt = self._make_prompt(job)
        while (
            link := self._choose_link(job, prompt, tried_names, failures)
        ) is not None:
            tried_names.add(link.member.name)
            sent_s = self._clock.monotonic_s()
            running = self._run_attempt(link, assembler, job, prompt)
            try:
                async with aclosing(running) as tokens:
                    async for texts in tokens:
                        yield texts
            except HoistError as error:
                failures.append(error)
                if isinstance(error, EngineCrashedError):
                    await self._quarantine.report_lost_connection(
                        link.view.server, keys, sent_s, may_repeat=not is_trial
                    )
                if is_trial or self._quarantine.refusal(keys) is not None:
                    break
                if not self._should_retry(job, failures):
                    break
            else:
                self._metrics.increment("frames_dropped", assembler.dropped_frames)
                return
        raise self._make_final_error(failures)

    def _make_prompt(self, job: CompletionJob) -> Prompt:
        limits = self._deployment.limits
        work_class = classify(
            job.prompt_tokens, limits.short_tokens, limits.long_tokens
        )
        return Prompt(job.prompt_tokens, job.max_tokens, work_class, job.prefix_hashes)

    def _choose_link(
        self,
        job: CompletionJob,
        prompt: Prompt,
        tried_names: set[str],
        failures: list[HoistError],
    ) -> SidecarLink | None:
        links = {
            link.member.name: link
            for group in self._deployment.groups
            if job.model in group.models
            for link in self._directory.find_usable(group.name)
        }
        now_s = self._clock.monotonic_s()
        views = [link.view for link in links.values()]
        untried = [view for view in views if view.name not in tried_names]
        chosen = choose_backend(
            self._placement_rule,
            untried,
            prompt,
            self._long_prompt_servers(job, views, now_s),
            now_s,
            self._rng,
        )
        if chosen is None:
            return None
        chosen.record_sent(prompt, now_s)
        self._events.record(
            EventKind.REQUEST_RETRIED if failures else EventKind.REQUEST_ROUTED,
            f"{prompt.work_class.name.lower()}, to {chosen.name}"
            f" of {len(untried)} usable{_describe_last_failure(failures)}",
            job.request_id,
        )
        return links[chosen.name]

    def _long_prompt_servers(
        self, job: CompletionJob, views: list[BackendView], now_s: float
    ) -> frozenset[str]:
        """Names of the backend servers that are preferred for long prompts."""
        if not self._deployment.routing.lanes:
            return frozenset()
        pool = self._long_prompt_pools.setdefault(job.model, LongPromptPool(job.model))
        return pool.select_members(views, now_s)

    def _should_retry(self, job: CompletionJob, failures: list[HoistError]) -> bool:
        last = failures[-1]
        if last.kind in _NON_RETRYABLE_KINDS or len(failures) >= (
            self._deployment.limits.attempts
        ):
            return False
        if self._clock.monotonic_s() >= job.deadline_s:
            return False
        self._metrics.increment("retries")
        # An attempt that was certainly not executed cost no engine work, so retrying
        # it doesn't draw on the retry budget.
        return last.not_run is NotRun.TRUE or self._retry_budget.try_withdraw()

    def _make_final_error(self, failures: list[HoistError]) -> HoistError:
        if not failures:
            return HoistError(
                ErrorKind.NO_BACKEND_SERVER,
                "no backend server accepts new work",
                retry_after_s=1.0,
            )
        possibly_executed = [
            error for error in failures if error.not_run is NotRun.UNKNOWN
        ]
        representative = (
            possibly_executed[-1]
            if possibly_executed
            else min(failures, key=_retry_hint_rank)
        )
        error = HoistError(
            representative.kind,
            representative.message,
            retry_after_s=representative.retry_after_s,
            not_run=representative.not_run,
        )
        error.__cause__ = ExceptionGroup("attempts", failures)
        return error

    async def _run_attempt(
        self,
        link: SidecarLink,
        assembler: StreamAssembler,
        job: CompletionJob,
        prompt: Prompt,
    ) -> AsyncIterator[tuple[str, ...]]:
        """Run one attempt; its prefill counts as pending until the first token."""
        has_first_token = False
        try:
            async with aclosing(self._stream_attempt(link, assembler, job)) as tokens:
                async for texts in tokens:
                    if not has_first_token:
                        has_first_token = True
                        link.view.remove_pending(prompt)
                    yield texts
        finally:
            if not has_first_token:
                link.view.remove_pending(prompt)

    async def _stream_attempt(
        self, link: SidecarLink, assembler: StreamAssembler, job: CompletionJob
    ) -> AsyncIterator[tuple[str, ...]]:
        """Run one attempt, resuming its stream each time the connection fails."""
        assembler.begin_attempt()
        link.view.outstanding += 1
        admitted = asyncio.Event()
        try:
            for resumes in range(_MAX_RESUMES + 1):
                request = self._requests.build(
                    job,
                    assembler.attempt,
                    assembler.text,
                    assembler.next_offset,
                    # Before admission is confirmed, the first message may have been
                    # lost, so the whole request is sent again.
                    resume=admitted.is_set(),
                )
                try:
                    with link.stream_channels.acquire() as channel:
                        async with aclosing(
                            self._read_connection(
                                link, channel, request, assembler, admitted
                            )
                        ) as tokens:
                            async for texts in tokens:
                                yield texts
                except ConnectionLost as error:
                    self._record_connection_loss(link, assembler, job, error)
                    await asyncio.sleep(_RESUME_BACKOFF_S * resumes)
                else:
                    return
        finally:
            link.view.outstanding -= 1
        raise HoistError(
            ErrorKind.BACKEND_FAILED, f"sidecar {link.member.name} is unreachable"
        )

    async def _read_connection(
        self,
        link: SidecarLink,
        channel: PooledChannel,
        request: RunRequest,
        assembler: StreamAssembler,
        admitted: asyncio.Event,
    ) -> AsyncIterator[tuple[str, ...]]:
        def _on_load(load: EngineLoad) -> None:
            admitted.set()
            link.update_load(load)

        reading = read_stream(
            channel.stub, request, assembler, self._idle_monitor, _on_load
        )
        try:
            async with aclosing(reading) as tokens:
                async for texts in tokens:
                    yield texts
        except ConnectionTimedOut:
            link.stream_channels.discard(channel)
            raise

    def _record_connection_loss(
        self,
        link: SidecarLink,
        assembler: StreamAssembler,
        job: CompletionJob,
        error: ConnectionLost,
    ) -> None:
        """Record a lost connection of a stream, whether or not a resume follows."""
        self._metrics.increment("resumes")
        self._events.record(
            EventKind.STREAM_RESUMED,
            f"connection to {link.member.name} lost at token"
            f" {assembler.next_offset}: {error}",
            job.request_id,
        )


def _retry_hint_rank(error: HoistError) -> tuple[bool, float]:
    """Sort key that ranks overload first, then the shortest retry delay."""
    return (error.kind is not ErrorKind.OVERLOADED, error.retry_after_s)


def _describe_last_failure(failures: list[HoistError]) -> str:
    return f", after {failures[-1].kind}: {failures[-1].message}" if failures else ""
