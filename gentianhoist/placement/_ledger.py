"""What all entries together have sent to each engine and not yet seen end."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from gentianhoist.fleet import EngineProfile

__all__ = ["Commitment", "CommitmentLedger", "EngineLoad"]


class Commitment(NamedTuple):
    """Work of one request on one engine.

    Attributes:
        id: Unique among all entries.
        server_id: The engine.
        helper: Whether it only reads a part of a prompt that another engine answers.
        read_s: Seconds of reading.
        write_s: Seconds of writing expected.
        kv_tokens: KV memory that it takes.
        pause_goal_s: Longest pause of its stream that counts as prompt.
        value: What its answer is worth, in the unit of `Demand.value`.
        prompt_until_s: Until when its first event is prompt, on the entry's clock.
        expires_s: When it is forgotten at the latest, on the entry's clock.
    """

    id: str
    server_id: str
    helper: bool
    read_s: float
    write_s: float
    kv_tokens: int
    pause_goal_s: float
    value: float
    prompt_until_s: float
    expires_s: float


@dataclass
class _Held:
    commitment: Commitment
    starts_s: float
    writing_since_s: float | None = None

    def read_left_s(self, now_s: float) -> float:
        if self.writing_since_s is not None:
            return 0.0
        return max(0.0, self.starts_s + self.commitment.read_s - now_s)


@dataclass
class EngineLoad:
    """Commitments of one engine.

    Attributes:
        held: By id.
    """

    held: dict[str, _Held] = field(default_factory=dict)

    @property
    def requests(self) -> int:
        """Requests that take a slot."""
        return sum(not item.commitment.helper for item in self.held.values())

    @property
    def helped(self) -> int:
        """Prompts that it reads a part of."""
        return sum(item.commitment.helper for item in self.held.values())

    @property
    def kv_tokens(self) -> int:
        """KV memory taken or about to be."""
        return sum(item.commitment.kv_tokens for item in self.held.values())

    @property
    def writers(self) -> list[Commitment]:
        """Requests that have had their first event."""
        return [
            item.commitment
            for item in self.held.values()
            if item.writing_since_s is not None
        ]

    @property
    def readers(self) -> list[Commitment]:
        """Prompts that it reads, whole or in part: each waits for all its parts."""
        return [
            item.commitment
            for item in self.held.values()
            if item.writing_since_s is None
        ]

    def backlog_s(self, now_s: float) -> float:
        """Seconds of reading that are still to be done."""
        return max(
            (item.read_left_s(now_s) for item in self.held.values()), default=0.0
        )

    def pass_s(self, profile: EngineProfile) -> float:
        """Seconds between two events of its streams while nothing is read."""
        writers = self.writers
        context = sum(item.kv_tokens for item in writers)
        return profile.pass_s(len(writers), context)

    def free_in_s(self, now_s: float) -> float:
        """Seconds until the first of its requests is expected to end."""
        ends = [
            self._end_s(item, now_s)
            for item in self.held.values()
            if not item.commitment.helper
        ]
        return max(0.0, min(ends, default=now_s) - now_s)

    @staticmethod
    def _end_s(item: _Held, now_s: float) -> float:
        write_s = item.commitment.write_s
        if item.writing_since_s is not None:
            return item.writing_since_s + write_s
        return max(now_s, item.starts_s + item.commitment.read_s) + write_s


class CommitmentLedger:
    """Commitments of all engines, own and those that other entries tell of."""

    def __init__(self) -> None:
        self._engines: dict[str, EngineLoad] = {}
        self._where: dict[str, list[str]] = {}

    def load(self, server_id: str) -> EngineLoad:
        """The commitments of one engine."""
        load = self._engines.get(server_id)
        if load is None:
            load = self._engines[server_id] = EngineLoad()
        return load

    def add(self, commitment: Commitment, now_s: float) -> None:
        """Take note of work that is being sent."""
        load = self.load(commitment.server_id)
        if commitment.id in load.held:
            return
        starts_s = now_s + load.backlog_s(now_s)
        load.held[commitment.id] = _Held(commitment, starts_s)
        self._where.setdefault(commitment.id, []).append(commitment.server_id)

    def first_event(self, id_: str, now_s: float) -> None:
        """The request's prompt is read by all its engines: it writes now."""
        for server_id in self._where.get(id_, ()):
            item = self._engines[server_id].held.get(id_)
            if item is not None and item.writing_since_s is None:
                item.writing_since_s = now_s

    def end(self, id_: str) -> None:
        """The request has ended everywhere."""
        for server_id in self._where.pop(id_, ()):
            load = self._engines.get(server_id)
            if load is None:
                continue
            load.held.pop(id_, None)
            if not load.held:
                del self._engines[server_id]

    def expire(self, now_s: float) -> list[str]:
        """Forget what nobody has told the end of; returns the ids."""
        late = {
            id_
            for load in self._engines.values()
            for id_, item in load.held.items()
            if item.commitment.expires_s <= now_s
        }
        for id_ in late:
            self.end(id_)
        return sorted(late)

    def forget_server(self, server_id: str) -> None:
        """The server is gone, and all its work with it."""
        load = self._engines.pop(server_id, None)
        if load is None:
            return
        for id_ in load.held:
            places = self._where.get(id_, [])
            if server_id in places:
                places.remove(server_id)
