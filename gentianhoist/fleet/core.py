"""Backend servers and the groups that they belong to."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

__all__ = ["BackendServer", "EngineProfile", "ServerGroup", "ServerState"]


class ServerState(StrEnum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"


class BackendServer(NamedTuple):
    """One incarnation of a backend server.

    Attributes:
        id: Its name in the directory.
        group: Group of servers that do the same.
        host: IP number.
        port: TCP port.
        availability_zone: Where it is.
        slots: Requests that it processes at once.
        state: What it says of itself.
        cold_until_s: When its cold start ends, on the entry's clock.
        started_ms: Start of this incarnation, in Unix milliseconds; 0 if it doesn't say.
    """

    id: str
    group: str
    host: str
    port: int
    availability_zone: str
    slots: int
    state: ServerState = ServerState.READY
    cold_until_s: float = float("-inf")
    started_ms: int = 0

    @property
    def address(self) -> str:
        """IP number and port."""
        return f"{self.host}:{self.port}"

    @property
    def incarnation(self) -> tuple[str, str, int]:
        """What tells this start of the server from every other."""
        return (self.id, self.address, self.started_ms)


class EngineProfile(NamedTuple):
    """What a model engine's work costs.

    Attributes:
        slots: Requests at once.
        kv_capacity_tokens: KV memory.
        prefill_tokens_per_s: Prompt tokens read in a second.
        attention_pair_s: Seconds for each pair of a token and an earlier one.
        decode_step_s: A token step without streams.
        decode_step_per_stream_s: More for each stream that is written.
        decode_step_per_context_token_s: More for each token of the streams' contexts.
        steps_per_event: Steps between two events of a stream.
        chunk_tokens: Prompt tokens read in a step at the most.
        split_kv_step_s: More a step for a stream whose prompt was read by several
            engines.
    """

    slots: int
    kv_capacity_tokens: int
    prefill_tokens_per_s: float
    attention_pair_s: float
    decode_step_s: float
    decode_step_per_stream_s: float
    decode_step_per_context_token_s: float
    steps_per_event: int
    chunk_tokens: int
    split_kv_step_s: float = 0.0

    def prefill_s(self, prompt_tokens: int) -> float:
        """Seconds in which one idle engine reads a prompt.

        Args:
            prompt_tokens: Tokens of the prompt.

        Returns:
            Seconds, of which the pairs grow with the square of the length.

        Example:
            >>> costs = (206e3, 138e-12, 1e-3, 0.0, 0.0, 43, 2048)
            >>> profile = EngineProfile(8, 232_000, *costs)
            >>> round(profile.prefill_s(133_000), 2)
            1.87
        """
        pairs = prompt_tokens * prompt_tokens / 2
        return prompt_tokens / self.prefill_tokens_per_s + pairs * self.attention_pair_s

    def event_interval_s(self, streams: int, context_tokens: int) -> float:
        """Seconds between two events of a stream while nothing is read."""
        step_s = (
            self.decode_step_s
            + streams * self.decode_step_per_stream_s
            + context_tokens * self.decode_step_per_context_token_s
        )
        return step_s * self.steps_per_event


class ServerGroup(NamedTuple):
    """Backend servers that do the same.

    Attributes:
        name: Its name.
        max_connections: Connections that one server accepts from all callers.
        cold_s: How long a server is cold after its start.
        cold_requests_per_s: Requests that a cold server bears, from all entries
            together; 0 where cold starts don't matter.
        engine: Costs of its engines, or nothing for plain services.
    """

    name: str
    max_connections: int
    cold_s: float
    cold_requests_per_s: float
    engine: EngineProfile | None = None
