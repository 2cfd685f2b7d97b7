"""Backend servers, server groups and the cost profile of model engines."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

__all__ = ["BackendServer", "EngineProfile", "ServerGroup", "ServerState"]


class ServerState(StrEnum):
    """State that a backend server reports for itself."""

    READY = "ready"
    DRAINING = "draining"


class BackendServer(NamedTuple):
    """One incarnation of a backend server: the server between a start and the next.

    Attributes:
        id: Identifier in the directory.
        group: Name of its server group.
        host: IP address.
        port: TCP port.
        availability_zone: Availability zone that it runs in.
        slots: Number of requests that it processes concurrently.
        state: State that it reports for itself.
        cold_until_s: End of its cold start, on the entry's clock.
        started_ms: Start of this incarnation, in Unix milliseconds; 0 if not reported.
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
        """IP address and port, as `host:port`."""
        return f"{self.host}:{self.port}"

    @property
    def incarnation(self) -> tuple[str, str, int]:
        """Key that distinguishes this start of the server from every other."""
        return (self.id, self.address, self.started_ms)


class EngineProfile(NamedTuple):
    """Cost model of prefill and decode on a model engine.

    Attributes:
        slots: Number of concurrent requests.
        kv_capacity_tokens: Capacity of the KV cache, in tokens.
        prefill_tokens_per_s: Prefill throughput, in prompt tokens per second, without
            the cost of attention.
        attention_pair_s: Attention cost of each pair of a token and an earlier token,
            in seconds.
        decode_step_s: Base time of a decode step, in seconds.
        decode_step_per_stream_s: Additional time per step for each stream in decode.
        decode_step_per_context_token_s: Additional time per step for each token in the
            contexts of these streams.
        steps_per_event: Number of decode steps between two events of a stream.
        chunk_tokens: Maximum number of prompt tokens that one step prefills.
        split_kv_step_s: Additional time per step for a stream whose prompt was
            prefilled by several engines.
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
        """Return the prefill time of a prompt on one idle engine.

        Args:
            prompt_tokens: Number of prompt tokens.

        Returns:
            Seconds; the attention part grows with the square of the length.

        Example:
            >>> costs = (206e3, 138e-12, 1e-3, 0.0, 0.0, 43, 2048)
            >>> profile = EngineProfile(8, 232_000, *costs)
            >>> round(profile.prefill_s(133_000), 2)
            1.87
        """
        attention_pairs = prompt_tokens * prompt_tokens / 2
        return (
            prompt_tokens / self.prefill_tokens_per_s
            + attention_pairs * self.attention_pair_s
        )

    def event_interval_s(self, streams: int, context_tokens: int) -> float:
        """Return the seconds between two events of a stream while no prefill runs.

        Args:
            streams: Number of streams in decode on the engine.
            context_tokens: Total length of their contexts, in tokens.
        """
        step_s = (
            self.decode_step_s
            + streams * self.decode_step_per_stream_s
            + context_tokens * self.decode_step_per_context_token_s
        )
        return step_s * self.steps_per_event


class ServerGroup(NamedTuple):
    """A group of interchangeable backend servers.

    Attributes:
        name: Name of the group.
        max_connections: Maximum number of connections to one server, over all callers.
        cold_s: Duration of a server's cold start, in seconds.
        cold_requests_per_s: Request rate that a cold server can take from all entries
            together; 0 disables the limit.
        engine: Cost model of its model engines, or None for servers that run no model.
    """

    name: str
    max_connections: int
    cold_s: float
    cold_requests_per_s: float
    engine: EngineProfile | None = None
