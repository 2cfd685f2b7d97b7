"""Recording what an aggregate was asked and answered, and asking it again.

A trace is a file of JSON lines. The first names the aggregate, how it was made and the
stated outcome; each other line is one call with its answer. Decisions are pure, so a
replay must give the same answers; and it checks the outcome's bounds after each call.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from gentianhoist.allowance import Allowance, Amount, PeerReport
from gentianhoist.capacity import (
    AdmissionController,
    AdmissionPolicy,
    SlowStart,
    SpeedEstimate,
    Work,
)
from gentianhoist.configuration import EffectiveLimits

__all__ = ["Recorder", "ReplayMismatch", "Trace", "load_trace", "replay_trace"]


class AdmissionControllerSetup(msgspec.Struct, frozen=True, tag="gate"):
    """How a recorded gate was made, and what must hold after each call.

    Attributes:
        policy: Its bounds.
        cold_streams: First limit.
        max_streams: Last limit.
        prefill_tokens_per_s: First estimate.
        decode_step_s: First estimate.
        most_running: Streams that never run at once beyond this.
        ends_empty: Whether nothing is reserved at the end.
    """

    policy: AdmissionPolicy
    cold_streams: int
    max_streams: int
    prefill_tokens_per_s: float
    decode_step_s: float
    most_running: int
    ends_empty: bool


class AllowanceSetup(msgspec.Struct, frozen=True, tag="allowance"):
    """How a recorded allowance was made, and what must hold after each call.

    Attributes:
        loan_s: Seconds that a loan lasts.
        most_requests: Requests that the minute never holds beyond this.
    """

    loan_s: float
    most_requests: int


Setup = AdmissionControllerSetup | AllowanceSetup


class Header(msgspec.Struct, frozen=True):
    """First line of a trace.

    Attributes:
        title: What was recorded, and why.
        setup: How the aggregate was made, and its outcome.
    """

    title: str
    setup: Setup


class Step(msgspec.Struct, frozen=True):
    """One call.

    Attributes:
        method: Name of the method.
        arguments: Its arguments.
        answer: What it returned.
    """

    method: str
    arguments: list[Any]
    answer: Any


class Trace(NamedTuple):
    """A whole trace."""

    header: Header
    steps: list[Step]


class ReplayMismatch(Exception):
    """A replay differs from its trace or misses its outcome."""


_ARGUMENTS: dict[str, tuple[Any, ...]] = {
    "offer": (Work, float),
    "startable": (float,),
    "first_token": (str, float),
    "end": (str, float, int),
    "hold": (str, int),
    "free": (str,),
    "turned_cold": (),
    "spend": (Amount, EffectiveLimits, int, float),
    "lend": (Amount, EffectiveLimits, int, float),
    "borrowed": (Amount, float, float),
    "reported": (str, PeerReport),
}


def _plain(answer: Any) -> Any:
    """An answer as JSON would have it, with the class of a decision."""
    if isinstance(answer, list):
        return [_plain(item) for item in answer]
    if isinstance(answer, Work):
        return answer.request_id
    if hasattr(answer, "__dataclass_fields__"):
        fields = {name: getattr(answer, name) for name in answer.__dataclass_fields__}
        answer = {"decision": type(answer).__name__, **fields}
    return msgspec.json.decode(msgspec.json.encode(answer))


class Recorder:
    """Stands before an aggregate and records the calls that decide something.

    Args:
        aggregate: What is recorded.
    """

    def __init__(self, aggregate: Any) -> None:
        self._aggregate = aggregate
        self._steps: list[Step] = []

    def __getattr__(self, name: str) -> Any:
        found = getattr(self._aggregate, name)
        return self._recorded(name, found) if name in _ARGUMENTS else found

    def _recorded(self, name: str, method: Callable[..., Any]) -> Callable[..., Any]:
        def _call(*arguments: Any) -> Any:
            answer = method(*arguments)
            plain = msgspec.json.decode(msgspec.json.encode(arguments))
            self._steps.append(Step(name, plain, _plain(answer)))
            return answer

        return _call

    def save(self, path: Path, title: str, setup: Setup) -> None:
        """Write the trace.

        Args:
            path: Where to.
            title: What was recorded, and why.
            setup: How the aggregate was made, and its outcome.
        """
        lines = [Header(title, setup), *self._steps]
        data = b"\n".join(msgspec.json.encode(line) for line in lines)
        path.write_bytes(data + b"\n")


def load_trace(path: Path) -> Trace:
    """Read a trace.

    Raises:
        OSError: If it can't be read.
        msgspec.MsgspecError: If it is no trace.
    """
    first, *rest = path.read_bytes().splitlines()
    header = msgspec.json.decode(first, type=Header)
    return Trace(header, [msgspec.json.decode(line, type=Step) for line in rest])


def replay_trace(trace: Trace) -> int:
    """Replay a trace.

    Returns:
        The number of calls.

    Raises:
        ReplayMismatch: At the first answer that differs, or bound that is missed.
    """
    aggregate = _make(trace.header.setup)
    for number, step in enumerate(trace.steps, start=2):
        types = _ARGUMENTS[step.method]
        arguments = [
            msgspec.convert(value, type=kind)
            for value, kind in zip(step.arguments, types, strict=False)
        ]
        answer = _plain(getattr(aggregate, step.method)(*arguments))
        if answer != step.answer:
            raise ReplayMismatch(
                f"line {number}: {step.method} gave {answer}, not {step.answer}"
            )
        _check(trace.header.setup, aggregate, step, number)
    _check_end(trace.header.setup, aggregate)
    return len(trace.steps)


def _make(setup: Setup) -> Any:
    match setup:
        case AdmissionControllerSetup():
            return AdmissionController(
                setup.policy,
                SlowStart(setup.cold_streams, setup.max_streams),
                SpeedEstimate(setup.prefill_tokens_per_s, setup.decode_step_s),
            )
        case AllowanceSetup():
            return Allowance(setup.loan_s)


def _check(setup: Setup, aggregate: Any, step: Step, number: int) -> None:
    match setup:
        case AdmissionControllerSetup():
            running = len(aggregate.running_ids)
            if running > setup.most_running:
                raise ReplayMismatch(f"line {number}: {running} streams run")
            if aggregate.kv_free_tokens < 0:
                raise ReplayMismatch(f"line {number}: memory is reserved twice")
        case AllowanceSetup():
            now_s = step.arguments[-1] if step.method in ("spend", "lend") else None
            if now_s is not None and (
                aggregate.used(now_s).requests > setup.most_requests
            ):
                raise ReplayMismatch(f"line {number}: the minute holds too much")


def _check_end(setup: Setup, aggregate: Any) -> None:
    if (
        isinstance(setup, AdmissionControllerSetup)
        and setup.ends_empty
        and aggregate.reserved_tokens
    ):
        raise ReplayMismatch(f"{aggregate.reserved_tokens} tokens stay reserved")
