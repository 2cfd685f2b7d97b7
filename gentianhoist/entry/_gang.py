"""Runs prompts that exceed the KV cache of one engine on a gang of engines.

The prompt is split into parts, one for each engine. KV cache for all parts is reserved
before anything runs: all reservations or none, in the order of the engines' names, and
without waiting, so that two gangs can't deadlock. Each reservation has a lease, so the
KV cache reserved by an entry that died is freed when the lease expires.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import AsyncIterator, Sequence
from contextlib import aclosing
from dataclasses import dataclass

from gentianhoist.clocks import Clock
from gentianhoist.configuration import Identity
from gentianhoist.entry._directory import Directory
from gentianhoist.entry._idle_monitor import IdleStreamMonitor
from gentianhoist.entry._jobs import CompletionJob, ReservationUse, RunRequestBuilder
from gentianhoist.entry._links import CONNECTION_ERRORS, SidecarLink
from gentianhoist.entry._stream_reader import ConnectionLost, read_stream
from gentianhoist.events import EventKind, EventRing
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.settings import DeploymentSettings, GroupSettings
from gentianhoist.streams import StreamAssembler
from gentianhoist.wire import (
    ReservationAction,
    ReservationReply,
    ReservationRequest,
    RunRequest,
    exported_kv_object_name,
)

_MAX_KV_USE_RATIO = 0.9
_RESERVATION_LEASE_S = 6.0
_RENEW_INTERVAL_S = 1.0
_MAX_RESERVE_ATTEMPTS = 4
_RESERVE_BACKOFF_S = 0.1
_MAX_RECOVERIES = 4
_ESTIMATED_BYTES_PER_TOKEN = 4


@dataclass
class _Part:
    """One part of the prompt, on one engine.

    Attributes:
        index: Position of the part in the prompt, from 0.
        tokens: Number of prompt tokens in the part.
        text: Text of the part.
        link: Connection to the sidecar of the engine.
        reservation_id: Identifier of the KV cache reservation, new after each move.
        reserved_tokens: Tokens reserved, including the output for the last part.
        exported_object: Object that holds the exported KV cache, empty before export.
        is_prefilled: Whether the prefill has finished.
        is_lost: Whether the reservation or the engine failed and the part must move.
        moves: Number of times that the part moved to another engine.
        renewed_s: Monotonic time when the last successful reservation request was
            sent.
    """

    index: int
    tokens: int
    text: str
    link: SidecarLink
    reservation_id: str
    reserved_tokens: int
    exported_object: str = ""
    is_prefilled: bool = False
    is_lost: bool = False
    moves: int = 0
    renewed_s: float = 0.0


class GangDispatcher:
    """Runs prompts that exceed the KV cache of one engine.

    Args:
        identity: Identity of this process, which stamps its messages.
        deployment: Settings of the deployment.
        directory: Provides the connections to usable backend servers.
        idle_monitor: Ends the reading of streams that stay idle for too long.
        requests: Builds the messages sent to sidecars.
        clock: Source of monotonic time.
        events: Ring buffer that routing decisions are recorded in.
    """

    def __init__(
        self,
        identity: Identity,
        deployment: DeploymentSettings,
        directory: Directory,
        idle_monitor: IdleStreamMonitor,
        requests: RunRequestBuilder,
        clock: Clock,
        events: EventRing,
    ) -> None:
        self._identity = identity
        self._deployment = deployment
        self._directory = directory
        self._idle_monitor = idle_monitor
        self._requests = requests
        self._clock = clock
        self._events = events

    def select_group(self, job: CompletionJob) -> GroupSettings | None:
        """Return the group to form a gang from, or None if one engine is enough."""
        candidates = [
            group for group in self._deployment.groups if job.model in group.models
        ]
        largest = max(candidates, key=lambda group: group.kv_capacity_tokens)
        if job.prompt_tokens + job.max_tokens <= largest.kv_capacity_tokens:
            return None
        return largest

    async def run(
        self, job: CompletionJob, group: GroupSettings
    ) -> AsyncIterator[tuple[str, ...]]:
        """Run one generation on a gang of engines.

        Args:
            job: The generation to run.
            group: Group that the engines of the gang belong to.

        Yields:
            Texts of consecutive tokens, until the generation is complete.

        Raises:
            HoistError: If the deadline is too short, no gang can be reserved, or a
                part fails after all attempts to recover it.
        """
        self._check_deadline(job, group)
        parts = await self._reserve(job, group)
        renewal_task = asyncio.create_task(self._renew_periodically(parts))
        try:
            for part in parts[:-1]:
                await self._prefill_part(job, part, parts)
            async with aclosing(self._decode(job, parts)) as tokens:
                async for texts in tokens:
                    yield texts
        finally:
            renewal_task.cancel()
            await asyncio.gather(*(self._release(part) for part in parts))

    def _check_deadline(self, job: CompletionJob, group: GroupSettings) -> None:
        prefill_rates = [
            link.view.load.prefill_tokens_per_s
            for link in self._directory.find_usable(group.name)
        ]
        if not prefill_rates:
            raise _no_capacity(0)
        needed_s = job.prompt_tokens * len(prefill_rates) / sum(prefill_rates)
        remaining_s = job.deadline_s - self._clock.monotonic_s()
        if needed_s > remaining_s:
            raise HoistError(
                ErrorKind.DEADLINE_TOO_SHORT,
                f"prefill needs about {needed_s:.0f} s, and the deadline is in"
                f" {remaining_s:.0f} s",
            )

    async def _reserve(self, job: CompletionJob, group: GroupSettings) -> list[_Part]:
        max_part_tokens = (
            int(group.kv_capacity_tokens * _MAX_KV_USE_RATIO) - job.max_tokens
        )
        count = math.ceil(job.prompt_tokens / max(1, max_part_tokens))
        part_tokens = math.ceil(job.prompt_tokens / count)
        for attempt in range(_MAX_RESERVE_ATTEMPTS):
            await asyncio.sleep(_RESERVE_BACKOFF_S * attempt * random.random())
            links = self._select_links(
                group, count, part_tokens + job.max_tokens, frozenset()
            )
            if len(links) < count:
                continue
            parts = self._split_prompt(job, sorted(links, key=_name), part_tokens)
            if await self._reserve_all(parts):
                self._record(job, f"gang of {', '.join(map(_name, links))}")
                return parts
        raise _no_capacity(count)

    def _select_links(
        self, group: GroupSettings, count: int, tokens: int, excluded: frozenset[str]
    ) -> list[SidecarLink]:
        links = [
            link
            for link in self._directory.find_usable(group.name)
            if link.member.name not in excluded
            and link.view.load.kv_free_tokens >= tokens
        ]
        links.sort(key=lambda link: link.view.load.prefill_tokens_ahead_of_long)
        return links[:count]

    def _split_prompt(
        self, job: CompletionJob, links: Sequence[SidecarLink], part_tokens: int
    ) -> list[_Part]:
        prompt_bytes = job.prompt.encode()
        parts = []
        for index, link in enumerate(links):
            part_bytes = prompt_bytes[
                index * part_tokens * _ESTIMATED_BYTES_PER_TOKEN : (index + 1)
                * part_tokens
                * _ESTIMATED_BYTES_PER_TOKEN
            ]
            tokens = min(part_tokens, job.prompt_tokens - index * part_tokens)
            is_last = index == len(links) - 1
            parts.append(
                _Part(
                    index,
                    tokens,
                    part_bytes.decode(errors="replace"),
                    link,
                    f"{job.request_id}-p{index}-0",
                    tokens + (job.max_tokens if is_last else 0),
                )
            )
        return parts

    async def _reserve_all(self, parts: Sequence[_Part]) -> bool:
        for index, part in enumerate(parts):
            if not (
                await self._update_reservation(part, ReservationAction.RESERVE)
            ).is_reserved:
                # A request without a response may have succeeded, and would hold KV
                # cache until its lease expires.
                for reserved_part in parts[: index + 1]:
                    await self._release(reserved_part)
                return False
        return True

    async def _update_reservation(
        self, part: _Part, action: ReservationAction
    ) -> ReservationReply:
        sent_s = self._clock.monotonic_s()
        request = ReservationRequest(
            self._identity.stamp(),
            action,
            part.reservation_id,
            part.reserved_tokens,
            _RESERVATION_LEASE_S,
        )
        timeout_s = self._deployment.timing.silence_s
        try:
            reply = await part.link.stub.update_reservation(request, timeout=timeout_s)
        except CONNECTION_ERRORS as error:
            return ReservationReply(
                False, ErrorKind.BACKEND_FAILED, type(error).__name__
            )
        if reply.is_reserved:
            part.renewed_s = sent_s
        return reply

    async def _release(self, part: _Part) -> None:
        await self._update_reservation(part, ReservationAction.RELEASE)

    async def _renew_periodically(self, parts: Sequence[_Part]) -> None:
        while True:
            await asyncio.sleep(_RENEW_INTERVAL_S)
            await asyncio.gather(*(self._renew_part(part) for part in parts))

    async def _renew_part(self, part: _Part) -> None:
        reservation_id = part.reservation_id
        reply = await self._update_reservation(part, ReservationAction.RENEW)
        if part.reservation_id != reservation_id or reply.is_reserved:
            return
        has_expired = self._clock.monotonic_s() > part.renewed_s + _RESERVATION_LEASE_S
        # Without a response the reservation stays valid until its lease expires.
        if has_expired or reply.kind is ErrorKind.FENCED:
            part.is_lost = True

    async def _prefill_part(
        self, job: CompletionJob, part: _Part, parts: Sequence[_Part]
    ) -> None:
        """Prefill a part on its engine, or on a replacement if that engine fails."""
        assembler = StreamAssembler(f"{job.request_id}-p{part.index}")
        part_job = job._replace(
            request_id=f"{job.request_id}-p{part.index}",
            prompt=part.text,
            prompt_tokens=part.tokens,
            prefix_hashes=(),
            max_tokens=0,
        )
        for _ in range(_MAX_RECOVERIES + 1):
            if part.is_lost:
                await self._move_part(job, part, parts)
            reservation = ReservationUse(
                part.reservation_id, True, part.exported_object
            )
            try:
                await self._run_prefill(part_job, part, assembler, reservation)
            except (HoistError, ConnectionLost) as error:
                self._record(job, f"part {part.index} at {_name(part.link)}: {error}")
                part.is_lost = True
            else:
                part.is_prefilled = True
                part.exported_object = exported_kv_object_name(part.reservation_id)
                return
        raise HoistError(
            ErrorKind.BACKEND_FAILED, f"part {part.index} failed repeatedly"
        )

    async def _run_prefill(
        self,
        part_job: CompletionJob,
        part: _Part,
        assembler: StreamAssembler,
        reservation: ReservationUse,
    ) -> None:
        attempt = assembler.begin_attempt()
        request = self._requests.build(
            part_job, attempt, "", 0, reservation=reservation
        )
        async with aclosing(self._read_stream(part, request, assembler)) as tokens:
            async for _ in tokens:
                continue

    async def _move_part(
        self, job: CompletionJob, part: _Part, parts: Sequence[_Part]
    ) -> None:
        """Move a lost part to another engine, which imports any exported KV cache."""
        await self._release(part)
        group = self._deployment.get_group(part.link.member.group)
        excluded = frozenset(_name(other.link) for other in parts)
        for attempt in range(_MAX_RESERVE_ATTEMPTS):
            await asyncio.sleep(_RESERVE_BACKOFF_S * attempt)
            for link in self._select_links(group, 2, part.reserved_tokens, excluded):
                part.link = link
                part.moves += 1
                part.reservation_id = f"{job.request_id}-p{part.index}-{part.moves}"
                if (
                    await self._update_reservation(part, ReservationAction.RESERVE)
                ).is_reserved:
                    part.is_lost = False
                    self._record(job, f"part {part.index} moves to {_name(link)}")
                    return
        raise HoistError(
            ErrorKind.BACKEND_FAILED,
            f"no engine has free KV cache for part {part.index}",
        )

    async def _decode(
        self, job: CompletionJob, parts: Sequence[_Part]
    ) -> AsyncIterator[tuple[str, ...]]:
        """Prefill the last part and decode, resuming after lost parts are recovered."""
        assembler = StreamAssembler(job.request_id)
        for _ in range(_MAX_RECOVERIES + 1):
            await self._recover_lost_parts(job, parts)
            try:
                async with aclosing(
                    self._decode_once(job, parts[-1], assembler)
                ) as tokens:
                    async for texts in tokens:
                        yield texts
                        if any(part.is_lost for part in parts):
                            break
                    else:
                        return
            except ConnectionLost as error:
                parts[-1].is_lost = True
                self._record(job, f"last part at {_name(parts[-1].link)}: {error}")
            except HoistError as error:
                if error.kind is not ErrorKind.BACKEND_FAILED:
                    raise
                parts[-1].is_lost = True
        raise HoistError(ErrorKind.BACKEND_FAILED, "the gang failed repeatedly")

    def _decode_once(
        self, job: CompletionJob, part: _Part, assembler: StreamAssembler
    ) -> AsyncIterator[tuple[str, ...]]:
        attempt = assembler.begin_attempt()
        # The engine prefills only the last part; the KV cache of the earlier parts
        # stays on their engines, under their reservations.
        last_part_job = job._replace(prompt_tokens=part.tokens, prefix_hashes=())
        request = self._requests.build(
            last_part_job,
            attempt,
            assembler.text,
            assembler.next_offset,
            reservation=ReservationUse(part.reservation_id),
        )
        return self._read_stream(part, request, assembler)

    async def _read_stream(
        self, part: _Part, request: RunRequest, assembler: StreamAssembler
    ) -> AsyncIterator[tuple[str, ...]]:
        with part.link.stream_channels.acquire() as channel:
            reading = read_stream(channel.stub, request, assembler, self._idle_monitor)
            async with aclosing(reading) as tokens:
                async for texts in tokens:
                    yield texts

    async def _recover_lost_parts(
        self, job: CompletionJob, parts: Sequence[_Part]
    ) -> None:
        for part in parts[:-1]:
            if part.is_lost:
                await self._prefill_part(job, part, parts)
        if parts[-1].is_lost:
            await self._move_part(job, parts[-1], parts)

    def _record(self, job: CompletionJob, cause: str) -> None:
        self._events.record(EventKind.REQUEST_ROUTED, cause, job.request_id)


def _name(link: SidecarLink) -> str:
    return link.member.name


def _no_capacity(count: int) -> HoistError:
    return HoistError(
        ErrorKind.OVERLOADED,
        f"no set of {count or ''} usable engines has enough free KV cache".replace(
            "  ", " "
        ),
        retry_after_s=5.0,
    )
