"""Outstanding work of every engine, as all entries together have committed it.

Each request is a commitment on the engines that serve it. Entries exchange commitments,
so that each of them knows the prefill backlog, streams and KV cache of every engine.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from gentianhoist.fleet import EngineProfile

__all__ = [
    "AffectedRequest",
    "Commitment",
    "CommitmentLedger",
    "CommitmentListener",
    "CommittedLoad",
    "EndedCommitment",
]


class Commitment(NamedTuple):
    """Work of one request on one engine.

    Attributes:
        id: Identifier of the placement, unique among all entries. The commitments of
            one placement on several engines share it; a request that is placed again
            gets a new one.
        server_id: Identifier of the engine.
        is_helper: Whether the engine only prefills a share of the prompt, while another
            engine decodes.
        prefill_s: Expected seconds of prefill.
        decode_s: Expected seconds of decode.
        kv_tokens: KV cache that it takes, in tokens.
        pause_goal_s: Longest pause between two events of its stream, in seconds, that
            meets the inter-token latency goal.
        value: Value of the complete output, in the unit of `Demand.value`.
        ttft_deadline_s: Time until which its first event is on time, on the entry's
            clock.
        expires_s: Time at which it is dropped if its end was not reported, on the
            entry's clock.
        organisation: Organisation of the caller; empty if unknown.
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
    organisation: str = ""


class EndedCommitment(NamedTuple):
    """A request that has left an engine.

    Attributes:
        id: Identifier of its placement.
        at_s: When this entry learned of it, on the entry's clock.
    """

    id: str
    at_s: float


@dataclass
class _TrackedCommitment:
    commitment: Commitment
    prefill_start_s: float
    decode_start_s: float | None = None

    @property
    def prefill_end_s(self) -> float:
        """Expected end of its prefill, on the entry's clock."""
        return self.prefill_start_s + self.commitment.prefill_s


class AffectedRequest(NamedTuple):
    """A request that more prefill work on its engine may make late.

    `CommittedLoad.decoding` holds the streams in decode, `CommittedLoad.prefilling` the
    prompts in prefill.

    Attributes:
        pause_goal_or_ttft_deadline_s: For a stream in decode, the longest pause that
            meets the inter-token latency goal, in seconds. For a prompt in prefill, the
            time until which the first event is on time, on the entry's clock.
        value: Value of the complete output.
    """

    pause_goal_or_ttft_deadline_s: float
    value: float


class CommittedLoad:
    """Commitments of one engine, with totals that are cached for frequent reads.

    Every `now_s` is the current time on the entry's clock, in seconds.
    """

    def __init__(self) -> None:
        self._tracked: dict[str, _TrackedCommitment] = {}
        self._requests = 0
        self._helper_prefills = 0
        self._kv_tokens = 0
        self._context_tokens = 0
        self._prefill_end_s = float("-inf")
        self._decoding: list[AffectedRequest] = []
        self._prefilling: list[AffectedRequest] = []
        self._last_ended: EndedCommitment | None = None

    @property
    def ids(self) -> list[str]:
        """Identifiers of the commitments."""
        return list(self._tracked)

    @property
    def requests(self) -> int:
        """Number of requests that take a slot."""
        return self._requests

    @property
    def helper_prefills(self) -> int:
        """Number of prefill shares that it computes for other engines."""
        return self._helper_prefills

    @property
    def kv_tokens(self) -> int:
        """KV cache in use or committed, in tokens."""
        return self._kv_tokens

    @property
    def commitments(self) -> int:
        """Number of requests on it, prefill shares for other engines included."""
        return len(self._tracked)

    @property
    def decoding(self) -> list[AffectedRequest]:
        """Streams that have sent their first event."""
        return self._decoding

    @property
    def prefilling(self) -> list[AffectedRequest]:
        """Prompts in prefill, whole or as a share; each waits for all its shares."""
        return self._prefilling

    @property
    def last_ended(self) -> EndedCommitment | None:
        """Request that has freed a slot last, None if none has."""
        return self._last_ended

    def backlog_s(self, now_s: float) -> float:
        """Seconds of prefill work that remain."""
        return max(0.0, self._prefill_end_s - now_s)

    def event_interval_s(self, profile: EngineProfile) -> float:
        """Seconds between two events of its streams while no prefill runs."""
        return profile.event_interval_s(len(self._decoding), self._context_tokens)

    def add(self, commitment: Commitment, now_s: float) -> None:
        """Add a commitment; its prefill starts after the present backlog."""
        prefill_start_s = now_s + self.backlog_s(now_s)
        self._tracked[commitment.id] = _TrackedCommitment(commitment, prefill_start_s)
        self._update_totals()

    def record_first_event(self, id_: str, now_s: float) -> None:
        """Move the request from prefill to decode."""
        item = self._tracked.get(id_)
        if item is not None and item.decode_start_s is None:
            item.decode_start_s = now_s
            self._update_totals()

    def remove(self, id_: str, now_s: float) -> Commitment | None:
        """Remove and return the commitment of a request that has ended."""
        item = self._tracked.pop(id_, None)
        if item is None:
            return None
        if not item.commitment.is_helper:
            self._last_ended = EndedCommitment(id_, now_s)
        self._update_totals()
        return item.commitment

    def expired(self, now_s: float) -> list[str]:
        """Return the identifiers of commitments whose end was not reported in time."""
        return [
            id_
            for id_, item in self._tracked.items()
            if item.commitment.expires_s <= now_s
        ]

    def _update_totals(self) -> None:
        tracked = self._tracked.values()
        primary = [item for item in tracked if not item.commitment.is_helper]
        in_decode = [item for item in tracked if item.decode_start_s is not None]
        in_prefill = [item for item in tracked if item.decode_start_s is None]
        self._requests = len(primary)
        self._helper_prefills = len(tracked) - len(primary)
        self._kv_tokens = sum(item.commitment.kv_tokens for item in tracked)
        self._context_tokens = sum(item.commitment.kv_tokens for item in in_decode)
        self._prefill_end_s = max(
            (item.prefill_end_s for item in in_prefill), default=float("-inf")
        )
        self._decoding = [
            AffectedRequest(item.commitment.pause_goal_s, item.commitment.value)
            for item in in_decode
        ]
        self._prefilling = [
            AffectedRequest(item.commitment.ttft_deadline_s, item.commitment.value)
            for item in in_prefill
        ]


class CommitmentListener(Protocol):
    """Is told of each change of the ledger, so that it can keep totals."""

    def commitment_added(self, commitment: Commitment, now_s: float) -> None:
        """Take in a commitment that was added."""
        ...

    def commitment_removed(self, commitment: Commitment) -> None:
        """Take in a commitment that was removed."""
        ...


class CommitmentLedger:
    """Commitments of all engines, from this entry and from its peers.

    Every `now_s` is the current time on the entry's clock, in seconds.
    """

    def __init__(self) -> None:
        self._engines: dict[str, CommittedLoad] = {}
        self._servers_by_id: dict[str, list[str]] = {}
        self._listener: CommitmentListener | None = None

    @property
    def loads(self) -> Mapping[str, CommittedLoad]:
        """Loads of the engines that have work, by their identifiers."""
        return self._engines

    def set_listener(self, listener: CommitmentListener) -> None:
        """Set the receiver of all further changes."""
        self._listener = listener

    def load(self, server_id: str) -> CommittedLoad:
        """Return the load of one engine."""
        load = self._engines.get(server_id)
        return _EMPTY_LOAD if load is None else load

    def add(self, commitment: Commitment, now_s: float) -> None:
        """Add a commitment; a repeated one for the same engine has no effect."""
        server_id = commitment.server_id
        server_ids = self._servers_by_id.setdefault(commitment.id, [])
        if server_id in server_ids:
            return
        server_ids.append(server_id)
        self._engines.setdefault(server_id, CommittedLoad()).add(commitment, now_s)
        if self._listener is not None:
            self._listener.commitment_added(commitment, now_s)

    def record_first_event(self, id_: str, now_s: float) -> None:
        """Move the request from prefill to decode on all its engines."""
        for server_id in self._servers_by_id.get(id_, ()):
            self._engines[server_id].record_first_event(id_, now_s)

    def remove(self, id_: str, now_s: float = float("-inf")) -> None:
        """Remove the commitments of a request that has ended on all its engines.

        Args:
            id_: Identifier of the placement.
            now_s: Current time; by default the request counts as ended long ago.
        """
        for server_id in self._servers_by_id.pop(id_, ()):
            load = self._engines[server_id]
            removed = load.remove(id_, now_s)
            if not load.ids:
                del self._engines[server_id]
            if self._listener is not None and removed is not None:
                self._listener.commitment_removed(removed)

    def expire(self, now_s: float) -> list[str]:
        """Remove expired commitments and return their identifiers, sorted."""
        expired_ids = {
            id_ for load in self._engines.values() for id_ in load.expired(now_s)
        }
        for id_ in expired_ids:
            self.remove(id_)
        return sorted(expired_ids)


_EMPTY_LOAD = CommittedLoad()
