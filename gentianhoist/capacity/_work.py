"""Work that asks for an engine, and what the gate says of it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from gentianhoist.exceptions import ErrorKind


class WorkClass(IntEnum):
    """Length class of a piece of work; lower goes first."""

    SHORT = 0
    MEDIUM = 1
    LONG = 2


def classify(uncached_tokens: int, short_tokens: int, long_tokens: int) -> WorkClass:
    """The class of a prompt by the tokens that have to be prefilled.

    Args:
        uncached_tokens: Prompt tokens that no cache holds.
        short_tokens: Up to here the work is short.
        long_tokens: From here on it is long.

    Returns:
        The class.

    Example:
        >>> classify(100_000, short_tokens=8_000, long_tokens=32_000).name
        'LONG'
    """
    if uncached_tokens <= short_tokens:
        return WorkClass.SHORT
    return WorkClass.LONG if uncached_tokens >= long_tokens else WorkClass.MEDIUM


class Work(NamedTuple):
    """One piece of work that asks for the engine.

    Attributes:
        request_id: The request.
        organisation: Who asks.
        weight: Weight of the organisation.
        prompt_tokens: Tokens of the prompt.
        uncached_tokens: Those that have to be prefilled.
        answer_tokens: Tokens of the answer at the most.
        work_class: Length class.
        arrived_s: When it arrived, on the sidecar's clock.
        deadline_s: When it must be done, on the same clock.
        priority: 0 for usual work, 1 for work that can wait.
    """

    request_id: str
    organisation: str
    weight: float
    prompt_tokens: int
    uncached_tokens: int
    answer_tokens: int
    work_class: WorkClass
    arrived_s: float
    deadline_s: float
    priority: int = 0

    @property
    def kv_tokens(self) -> int:
        """KV memory that it needs."""
        return self.prompt_tokens + self.answer_tokens


class AdmissionPolicy(NamedTuple):
    """Bounds of the gate.

    Attributes:
        kv_capacity_tokens: KV memory of the engine.
        long_prefills: Long prompts prefilled at once.
        prefill_tokens: Prompt tokens, of other than long work, that the engine has
            ahead of it at the most before an organisation that has had more than its
            share waits here, where the order is fair.
        waiting_streams: Streams that wait at the most.
        ageing_s: Seconds of waiting that raise work by one class.
        use_length_classes: Whether length classes count; without them it is first come, first
            served.
    """

    kv_capacity_tokens: int
    long_prefills: int = 1
    prefill_tokens: int = 8_000
    waiting_streams: int = 256
    ageing_s: float = 15.0
    use_length_classes: bool = True


@dataclass(frozen=True)
class Start:
    """The work may start now."""


@dataclass(frozen=True)
class Wait:
    """The work is admitted and waits for its turn."""


@dataclass(frozen=True)
class Refuse:
    """The work is not admitted and did not run."""

    kind: ErrorKind
    message: str
    retry_after_s: float = 0.0


Decision = Start | Wait | Refuse
