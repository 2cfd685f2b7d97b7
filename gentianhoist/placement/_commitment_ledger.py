"""What all entries together have sent to each engine and not yet seen end."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from gentianhoist.fleet import EngineProfile

__all__ = ["Commitment", "CommitmentLedger", "AffectedRequest", "EngineLoad"]


class Commitment(NamedTuple):
    """Work of one request on one engine.

    Attributes:
        id: Unique among all entries.
        server_id: The engine.
        is_helper: Whether it only reads a part of a prompt that another engine answers.
        prefill_s: Seconds of reading.
        decode_s: Seconds of writing expected.
        kv_tokens: KV memory that it takes.
        pause_goal_s: Longest pause of its stream that counts as prompt.
        value: What its answer is worth, in the unit of `Demand.value`.
        ttft_deadline_s: Until when its first event is prompt, on the entry's clock.
        expires_s: When it is forgotten at the latest, on the entry's clock.
    """

    id: str
    server_id: str
    is_helper: bool
    prefill_s: float
    decode_s: float
    kv_tokens: int
    pause_goal_s: float
    value: float
    ttft_deadline_s: float
    expires_s: float


@dataclass
class _Held:
    commitment: Commitment
    starts_s: float
    writing_since_s: float | None = None

    @property
    def read_until_s(self) -> float:
        """When its reading is expected to be done."""
        return self.starts_s + self.commitment.prefill_s


class AffectedRequest(NamedTuple):
    """A request that more reading on its engine would make late.

    Attributes:
        limit_s: For a stream its longest prompt pause; for a prompt being read the time
            until which its first event is prompt, on the entry's clock.
        value: What its answer is worth.
    """

    limit_s: float
    value: float


class EngineLoad:
    """Commitments of one engine, with their sums kept for the many that ask."""

    def __init__(self) -> None:
        self._held: dict[str, _Held] = {}
        self._requests = 0
        self._helper_prefills = 0
        self._kv_tokens = 0
        self._context_tokens = 0
        self._read_until_s = float("-inf")
        self._decoding: list[AffectedRequest] = []
        self._prefilling: list[AffectedRequest] = []

    @property
    def ids(self) -> list[str]:
        """Ids of the commitments."""
        return list(self._held)

    @property
    def requests(self) -> int:
        """Requests that take a slot."""
        return self._requests

    @property
    def helper_prefills(self) -> int:
        """Prompts that it reads a part of for another engine."""
        return self._helper_prefills

    @property
    def kv_tokens(self) -> int:
        """KV memory taken or about to be."""
        return self._kv_tokens

    @property
    def decoding(self) -> list[AffectedRequest]:
        """Streams that have had their first event."""
        return self._decoding

    @property
    def prefilling(self) -> list[AffectedRequest]:
        """Prompts that it reads, whole or in part: each waits for all its parts."""
        return self._prefilling

    def backlog_s(self, now_s: float) -> float:
        """Seconds of reading that are still to be done."""
        return max(0.0, self._read_until_s - now_s)

    def event_interval_s(self, profile: EngineProfile) -> float:
        """Seconds between two events of its streams while nothing is read."""
        return profile.event_interval_s(len(self._decoding), self._context_tokens)

    def add(self, commitment: Commitment, now_s: float) -> None:
        """Take a commitment; its reading comes after what is there."""
        starts_s = now_s + self.backlog_s(now_s)
        self._held[commitment.id] = _Held(commitment, starts_s)
        self._sum_up()

    def record_first_event(self, id_: str, now_s: float) -> None:
        """The request's prompt is read: it writes now."""
        item = self._held.get(id_)
        if item is not None and item.writing_since_s is None:
            item.writing_since_s = now_s
            self._sum_up()

    def remove(self, id_: str) -> None:
        """The request has ended."""
        if self._held.pop(id_, None) is not None:
            self._sum_up()

    def expired(self, now_s: float) -> list[str]:
        """Ids of commitments that nobody has told the end of in time."""
        return [
            id_
            for id_, item in self._held.items()
            if item.commitment.expires_s <= now_s
        ]

    def _sum_up(self) -> None:
        held = self._held.values()
        own = [item for item in held if not item.commitment.is_helper]
        writing = [item for item in held if item.writing_since_s is not None]
        reading = [item for item in held if item.writing_since_s is None]
        self._requests = len(own)
        self._helper_prefills = len(held) - len(own)
        self._kv_tokens = sum(item.commitment.kv_tokens for item in held)
        self._context_tokens = sum(item.commitment.kv_tokens for item in writing)
        self._read_until_s = max(
            (item.read_until_s for item in reading), default=float("-inf")
        )
        self._decoding = [
            AffectedRequest(item.commitment.pause_goal_s, item.commitment.value)
            for item in writing
        ]
        self._prefilling = [
            AffectedRequest(item.commitment.ttft_deadline_s, item.commitment.value)
            for item in reading
        ]


class CommitmentLedger:
    """Commitments of all engines, own and those that other entries tell of."""

    def __init__(self) -> None:
        self._engines: dict[str, EngineLoad] = {}
        self._where: dict[str, list[str]] = {}

    def load(self, server_id: str) -> EngineLoad:
        """The commitments of one engine."""
        load = self._engines.get(server_id)
        return _NO_LOAD if load is None else load

    def add(self, commitment: Commitment, now_s: float) -> None:
        """Take note of work that is being sent."""
        server_id = commitment.server_id
        places = self._where.setdefault(commitment.id, [])
        if server_id in places:
            return
        places.append(server_id)
        self._engines.setdefault(server_id, EngineLoad()).add(commitment, now_s)

    def record_first_event(self, id_: str, now_s: float) -> None:
        """The request's prompt is read by all its engines: it writes now."""
        for server_id in self._where.get(id_, ()):
            self._engines[server_id].record_first_event(id_, now_s)

    def remove(self, id_: str) -> None:
        """The request has ended everywhere."""
        for server_id in self._where.pop(id_, ()):
            load = self._engines[server_id]
            load.remove(id_)
            if not load.ids:
                del self._engines[server_id]

    def expire(self, now_s: float) -> list[str]:
        """Forget what nobody has told the end of; returns the ids."""
        late = {id_ for load in self._engines.values() for id_ in load.expired(now_s)}
        for id_ in late:
            self.remove(id_)
        return sorted(late)


_NO_LOAD = EngineLoad()
