"""Messages between entries, as datagrams of msgpack."""

from __future__ import annotations

import msgspec

from gentianhoist.placement import Commitment

__all__ = [
    "CommitmentAdded",
    "Batch",
    "CommitmentEnded",
    "StreamStarted",
    "SyncRequest",
]


class CommitmentAdded(msgspec.Struct, tag="a", array_like=True):
    """Work is sent to an engine. Times are in ms, since clocks differ.

    Attributes:
        id: Unique among all entries.
        server_id: The engine.
        helper: Whether the engine reads a part only.
        read_ms: Reading.
        write_ms: Writing expected.
        kv_tokens: KV memory.
        pause_goal_ms: Longest pause that is prompt.
        value: What the answer is worth.
        prompt_in_ms: Time in which the first event is prompt.
        expires_in_ms: Time after which it is forgotten.
    """

    id: str
    server_id: str
    helper: bool
    read_ms: int
    write_ms: int
    kv_tokens: int
    pause_goal_ms: int
    value: float
    prompt_in_ms: int
    expires_in_ms: int

    @classmethod
    def of(cls, commitment: Commitment, now_s: float) -> CommitmentAdded:
        """The message that tells of a commitment."""
        return cls(
            commitment.id,
            commitment.server_id,
            commitment.helper,
            round(commitment.read_s * 1000),
            round(commitment.write_s * 1000),
            commitment.kv_tokens,
            round(commitment.pause_goal_s * 1000),
            round(commitment.value, 2),
            round((commitment.prompt_until_s - now_s) * 1000),
            round((commitment.expires_s - now_s) * 1000),
        )

    def commitment(self, now_s: float) -> Commitment:
        """The commitment that it tells of, on this entry's clock."""
        return Commitment(
            self.id,
            self.server_id,
            self.helper,
            self.read_ms / 1000,
            self.write_ms / 1000,
            self.kv_tokens,
            self.pause_goal_ms / 1000,
            self.value,
            now_s + self.prompt_in_ms / 1000,
            now_s + self.expires_in_ms / 1000,
        )


class StreamStarted(msgspec.Struct, tag="f", array_like=True):
    """A stream has begun."""

    id: str


class CommitmentEnded(msgspec.Struct, tag="e", array_like=True):
    """Work has ended on all its engines."""

    id: str


class SyncRequest(msgspec.Struct, tag="h", array_like=True):
    """An entry has started, and asks for what the others hold."""

    host: str


class Batch(msgspec.Struct, array_like=True):
    """What one entry tells at once.

    Attributes:
        entry: Its name.
        items: In order.
    """

    entry: str
    items: list[CommitmentAdded | StreamStarted | CommitmentEnded | SyncRequest]
