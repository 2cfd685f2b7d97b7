"""Prompts larger than one engine's memory, on a gang of engines.

The memory of all parts is reserved before anything runs: all reservations or none, in
the order of the engines' names, and without waiting, so two gangs never wait for each
other. Each reservation has a lease, so a dead entry's gang frees itself.
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
from gentianhoist.entry._jobs import CompletionJob, RequestMaker, Reserved
from gentianhoist.entry._links import CONNECTION_ERRORS, SidecarLink
from gentianhoist.entry._silence import SilenceWatch
from gentianhoist.entry._stream_reader import ConnectionLost, read_stream
from gentianhoist.events import EventKind, EventRing
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.settings import DeploymentSettings, GroupSettings
from gentianhoist.streams import StreamAssembler
from gentianhoist.wire import (
    HoldAction,
    HoldReply,
    HoldRequest,
    RunRequest,
    exported_object,
)

_FILL_RATIO = 0.9
_LEASE_S = 6.0
_RENEW_S = 1.0
_RESERVE_TRIES = 4
_RESERVE_PAUSE_S = 0.1
_REPAIRS = 4
_BYTES_PER_TOKEN = 4


@dataclass
class _Part:
    """One part of the prompt on one engine."""

    index: int
    tokens: int
    text: str
    link: SidecarLink
    hold: str
    reserved_tokens: int
    exported_object: str = ""
    ready: bool = False
    lost: bool = False
    moves: int = 0
    renewed_s: float = 0.0


class GangDispatcher:
    """Runs prompts that are larger than one engine's memory.

    Args:
        identity: Who this process is.
        deployment: The deployment's settings.
        directory: Knows the backend servers.
        silence: Finds out whether connections are silent.
        requests: Makes messages.
        clock: This machine's clocks.
        events: Where decisions are recorded.
    """

    def __init__(
        self,
        identity: Identity,
        deployment: DeploymentSettings,
        directory: Directory,
        silence: SilenceWatch,
        requests: RequestMaker,
        clock: Clock,
        events: EventRing,
    ) -> None:
        self._identity = identity
        self._deployment = deployment
        self._directory = directory
        self._silence = silence
        self._requests = requests
        self._clock = clock
        self._events = events

    def group_for(self, job: CompletionJob) -> GroupSettings | None:
        """The group that needs a gang for a job, or nothing if one engine will do."""
        groups = [
            group for group in self._deployment.groups if job.model in group.models
        ]
        largest = max(groups, key=lambda group: group.kv_capacity_tokens)
        if job.prompt_tokens + job.max_tokens <= largest.kv_capacity_tokens:
            return None
        return largest

    async def run(
        self, job: CompletionJob, group: GroupSettings
    ) -> AsyncIterator[tuple[str, ...]]:
        """Run one job.

        Args:
            job: The job.
            group: Group whose engines make the gang.

        Yields:
            Consecutive tokens, until the answer is whole.

        Raises:
            HoistError: If it is refused or fails.
        """
        self._check_deadline(job, group)
        parts = await self._reserve(job, group)
        renewer = asyncio.create_task(self._renew(parts))
        try:
            for part in parts[:-1]:
                await self._prepare(job, part, parts)
            async with aclosing(self._decode(job, parts)) as tokens:
                async for texts in tokens:
                    yield texts
        finally:
            renewer.cancel()
            await asyncio.gather(*(self._release(part) for part in parts))

    def _check_deadline(self, job: CompletionJob, group: GroupSettings) -> None:
        speeds = [
            link.view.load.prefill_tokens_per_s
            for link in self._directory.usable(group.name)
        ]
        if not speeds:
            raise _no_engines(0)
        needed_s = job.prompt_tokens * len(speeds) / sum(speeds)
        left_s = job.deadline_s - self._clock.elapsed_s()
        if needed_s > left_s:
            raise HoistError(
                ErrorKind.DEADLINE_TOO_SHORT,
                f"it takes about {needed_s:.0f} s, and {left_s:.0f} s are left",
            )

    async def _reserve(self, job: CompletionJob, group: GroupSettings) -> list[_Part]:
        room = int(group.kv_capacity_tokens * _FILL_RATIO) - job.max_tokens
        count = math.ceil(job.prompt_tokens / max(1, room))
        size = math.ceil(job.prompt_tokens / count)
        for attempt in range(_RESERVE_TRIES):
            await asyncio.sleep(_RESERVE_PAUSE_S * attempt * random.random())
            links = self._choose(group, count, size + job.max_tokens, frozenset())
            if len(links) < count:
                continue
            parts = self._plan(job, sorted(links, key=_name), size)
            if await self._reserve_all(parts):
                self._note(job, f"gang of {', '.join(map(_name, links))}")
                return parts
        raise _no_engines(count)

    def _choose(
        self, group: GroupSettings, count: int, tokens: int, taken: frozenset[str]
    ) -> list[SidecarLink]:
        links = [
            link
            for link in self._directory.usable(group.name)
            if link.member.name not in taken and link.view.load.kv_free_tokens >= tokens
        ]
        links.sort(key=lambda link: link.view.load.total_prefill_tokens)
        return links[:count]

    def _plan(
        self, job: CompletionJob, links: Sequence[SidecarLink], size: int
    ) -> list[_Part]:
        data = job.prompt.encode()
        parts = []
        for index, link in enumerate(links):
            piece = data[
                index * size * _BYTES_PER_TOKEN : (index + 1) * size * _BYTES_PER_TOKEN
            ]
            tokens = min(size, job.prompt_tokens - index * size)
            last = index == len(links) - 1
            parts.append(
                _Part(
                    index,
                    tokens,
                    piece.decode(errors="replace"),
                    link,
                    f"{job.request_id}-p{index}-0",
                    tokens + (job.max_tokens if last else 0),
                )
            )
        return parts

    async def _reserve_all(self, parts: Sequence[_Part]) -> bool:
        for place, part in enumerate(parts):
            if not (await self._ask(part, HoldAction.RESERVE)).stands:
                # The one without an answer may stand too, until its lease is over.
                for taken in parts[: place + 1]:
                    await self._release(taken)
                return False
        return True

    async def _ask(self, part: _Part, action: HoldAction) -> HoldReply:
        asked_s = self._clock.elapsed_s()
        request = HoldRequest(
            self._identity.stamp(), action, part.hold, part.reserved_tokens, _LEASE_S
        )
        timeout_s = self._deployment.timing.silence_s
        try:
            reply = await part.link.stub.hold(request, timeout=timeout_s)
        except CONNECTION_ERRORS as error:
            return HoldReply(False, ErrorKind.BACKEND_FAILED, type(error).__name__)
        if reply.stands:
            part.renewed_s = asked_s
        return reply

    async def _release(self, part: _Part) -> None:
        await self._ask(part, HoldAction.RELEASE)

    async def _renew(self, parts: Sequence[_Part]) -> None:
        while True:
            await asyncio.sleep(_RENEW_S)
            await asyncio.gather(*(self._renew_one(part) for part in parts))

    async def _renew_one(self, part: _Part) -> None:
        hold = part.hold
        reply = await self._ask(part, HoldAction.RENEW)
        if part.hold != hold or reply.stands:
            return
        over = self._clock.elapsed_s() > part.renewed_s + _LEASE_S
        # Without an answer the reservation stands until its lease is over.
        if over or reply.kind is ErrorKind.FENCED:
            part.lost = True

    async def _prepare(
        self, job: CompletionJob, part: _Part, parts: Sequence[_Part]
    ) -> None:
        """Have a part's memory made on its engine, or on another that replaces it."""
        assembler = StreamAssembler(f"{job.request_id}-p{part.index}")
        piece = job._replace(
            request_id=f"{job.request_id}-p{part.index}",
            prompt=part.text,
            prompt_tokens=part.tokens,
            marks=(),
            max_tokens=0,
        )
        for _ in range(_REPAIRS + 1):
            if part.lost:
                await self._move(job, part, parts)
            reserved = Reserved(part.hold, True, part.exported_object)
            try:
                await self._run_piece(piece, part, assembler, reserved)
            except (HoistError, ConnectionLost) as error:
                self._note(job, f"part {part.index} at {_name(part.link)}: {error}")
                part.lost = True
            else:
                part.ready = True
                part.exported_object = exported_object(part.hold)
                return
        raise HoistError(ErrorKind.BACKEND_FAILED, f"part {part.index} keeps failing")

    async def _run_piece(
        self,
        piece: CompletionJob,
        part: _Part,
        assembler: StreamAssembler,
        reserved: Reserved,
    ) -> None:
        attempt = assembler.begin_attempt()
        request = self._requests.make(piece, attempt, "", 0, reserved=reserved)
        async with aclosing(self._stream(part, request, assembler)) as tokens:
            async for _ in tokens:
                continue

    async def _move(
        self, job: CompletionJob, part: _Part, parts: Sequence[_Part]
    ) -> None:
        """Replace a lost part's engine; what was exported is imported there."""
        await self._release(part)
        group = self._deployment.get_group(part.link.member.group)
        taken = frozenset(_name(other.link) for other in parts)
        for attempt in range(_RESERVE_TRIES):
            await asyncio.sleep(_RESERVE_PAUSE_S * attempt)
            for link in self._choose(group, 2, part.reserved_tokens, taken):
                part.link = link
                part.moves += 1
                part.hold = f"{job.request_id}-p{part.index}-{part.moves}"
                if (await self._ask(part, HoldAction.RESERVE)).stands:
                    part.lost = False
                    self._note(job, f"part {part.index} moves to {_name(link)}")
                    return
        raise HoistError(
            ErrorKind.BACKEND_FAILED, f"no engine can take over part {part.index}"
        )

    async def _decode(
        self, job: CompletionJob, parts: Sequence[_Part]
    ) -> AsyncIterator[tuple[str, ...]]:
        """Run the last part and the answer, going on after every repair."""
        assembler = StreamAssembler(job.request_id)
        for _ in range(_REPAIRS + 1):
            await self._repair(job, parts)
            try:
                async with aclosing(self._read(job, parts[-1], assembler)) as tokens:
                    async for texts in tokens:
                        yield texts
                        if any(part.lost for part in parts):
                            break
                    else:
                        return
            except ConnectionLost as error:
                parts[-1].lost = True
                self._note(job, f"last part at {_name(parts[-1].link)}: {error}")
            except HoistError as error:
                if error.kind is not ErrorKind.BACKEND_FAILED:
                    raise
                parts[-1].lost = True
        raise HoistError(ErrorKind.BACKEND_FAILED, "the gang keeps failing")

    def _read(
        self, job: CompletionJob, part: _Part, assembler: StreamAssembler
    ) -> AsyncIterator[tuple[str, ...]]:
        attempt = assembler.begin_attempt()
        # The engine computes its own part; the rest of the prompt is context.
        own = job._replace(prompt_tokens=part.tokens, marks=())
        request = self._requests.make(
            own,
            attempt,
            assembler.text,
            assembler.next_offset,
            reserved=Reserved(part.hold),
        )
        return self._stream(part, request, assembler)

    async def _stream(
        self, part: _Part, request: RunRequest, assembler: StreamAssembler
    ) -> AsyncIterator[tuple[str, ...]]:
        with part.link.streams.use() as line:
            reading = read_stream(line.stub, request, assembler, self._silence)
            async with aclosing(reading) as tokens:
                async for texts in tokens:
                    yield texts

    async def _repair(self, job: CompletionJob, parts: Sequence[_Part]) -> None:
        for part in parts[:-1]:
            if part.lost:
                await self._prepare(job, part, parts)
        if parts[-1].lost:
            await self._move(job, parts[-1], parts)

    def _note(self, job: CompletionJob, cause: str) -> None:
        self._events.record(EventKind.REQUEST_ROUTED, cause, job.request_id)


def _name(link: SidecarLink) -> str:
    return link.member.name


def _no_engines(count: int) -> HoistError:
    return HoistError(
        ErrorKind.OVERLOADED,
        f"no {count or ''} engines have the memory free at once".replace("  ", " "),
        retry_after_s=5.0,
    )
