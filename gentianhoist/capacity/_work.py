"""Work submitted to an engine, the admission policy and the admission decisions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from gentianhoist.exceptions import ErrorKind


class WorkClass(IntEnum):
    """Length class of work, by its prompt; a lower value goes first."""

    SHORT = 0
    MEDIUM = 1
    LONG = 2


def classify(uncached_tokens: int, short_tokens: int, long_tokens: int) -> WorkClass:
    """Classify a prompt by the tokens to be prefilled.

    Args:
        uncached_tokens: Prompt tokens that are not in the prefix cache.
        short_tokens: Maximum number of uncached tokens of short work.
        long_tokens: Minimum number of uncached tokens of long work.

    Returns:
        The length class.

    Example:
        >>> classify(100_000, short_tokens=8_000, long_tokens=32_000).name
        'LONG'
    """
    if uncached_tokens <= short_tokens:
        return WorkClass.SHORT
    return WorkClass.LONG if uncached_tokens >= long_tokens else WorkClass.MEDIUM


class Work(NamedTuple):
    """A request as admission control sees it.

    Attributes:
        request_id: Identifier of the request.
        organisation: Organisation that the request is from.
        weight: Weight of the organisation.
        prompt_tokens: Tokens of the prompt.
        uncached_tokens: Prompt tokens to be prefilled, as no cache has them.
        max_output_tokens: Maximum number of tokens to generate.
        work_class: Length class.
        arrived_s: Time of arrival, on the sidecar's clock.
        deadline_s: Time by which the answer must be complete, on the same clock.
        priority: 0 for normal work, 1 for work that can be delayed.
    """

    request_id: str
    organisation: str
    weight: float
    prompt_tokens: int
    uncached_tokens: int
    max_output_tokens: int
    work_class: WorkClass
    arrived_s: float
    deadline_s: float
    priority: int = 0

    @property
    def kv_tokens(self) -> int:
        """KV cache that it needs, in tokens."""
        return self.prompt_tokens + self.max_output_tokens


class AdmissionPolicy(NamedTuple):
    """Limits of admission control.

    Attributes:
        kv_capacity_tokens: KV cache of the engine, in tokens.
        max_long_prefills: Maximum number of long prompts prefilled at once.
        max_prefill_backlog_tokens: Maximum prefill backlog in the engine, in tokens of
            short and medium work, above which work of an organisation over its fair
            share waits in the controller's queue, where the order is fair.
        max_waiting_streams: Maximum number of waiting streams.
        ageing_s: Seconds of waiting that raise work by one class.
        use_priority_scheduling: Whether length classes and fair shares affect the
            order, and the limits of prefills apply; otherwise it is first come, first
            served.
    """

    kv_capacity_tokens: int
    max_long_prefills: int = 1
    max_prefill_backlog_tokens: int = 8_000
    max_waiting_streams: int = 256
    ageing_s: float = 15.0
    use_priority_scheduling: bool = True


@dataclass(frozen=True)
class Start:
    """Decision: the work is admitted and starts now."""


@dataclass(frozen=True)
class Wait:
    """Decision: the work is admitted and waits in the queue."""


@dataclass(frozen=True)
class Refuse:
    """Decision: the work is not admitted and did not run.

    Attributes:
        kind: Kind of the error for the caller.
        message: Reason, as text for the caller.
        retry_after_s: Seconds after which a retry may succeed; 0 if not known.
    """

    kind: ErrorKind
    message: str
    retry_after_s: float = 0.0


Decision = Start | Wait | Refuse
