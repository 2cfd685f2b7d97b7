"""Recording of the method calls of a decision object, and their replay.

A decision object is an `AdmissionController` or an `Allowance`. A trace is a file of
JSON lines. The first line, the header, names the class, the arguments with which the
object was created and bounds on its state. Each further line is one method call with
its result. Decisions are deterministic and depend only on the calls made, so a replay
must give the same results; it also checks the bounds after each call.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from gentianhoist.allowance import Allowance, Amount, PeerReport
from gentianhoist.capacity import (
    AdaptiveConcurrencyLimit,
    AdmissionController,
    AdmissionPolicy,
    SpeedEstimate,
    Work,
)
from gentianhoist.configuration import EffectiveLimits

__all__ = ["Recorder", "ReplayMismatch", "Trace", "load_trace", "replay_trace"]


class AdmissionControllerSetup(msgspec.Struct, frozen=True, tag="gate"):
    """Creation arguments of a recorded `AdmissionController`, and bounds on its state.

    Attributes:
        policy: Limits of admission.
        cold_streams: Initial limit of running streams.
        max_streams: Highest limit of running streams.
        prefill_tokens_per_s: Initial estimate of the prefill speed, in tokens per
            second.
        decode_step_s: Initial estimate of the inter-token latency, in seconds.
        most_running: Upper bound of the number of running streams after each call.
        ends_empty: Whether all KV cache must be free after the last call.
    """

    policy: AdmissionPolicy
    cold_streams: int
    max_streams: int
    prefill_tokens_per_s: float
    decode_step_s: float
    most_running: int
    ends_empty: bool


class AllowanceSetup(msgspec.Struct, frozen=True, tag="allowance"):
    """Creation argument of a recorded `Allowance`, and a bound on its state.

    Attributes:
        loan_s: Seconds within which a loan must be spent.
        most_requests: Upper bound of the number of requests in the sliding one-minute
            window, checked after each `spend` and `lend`.
    """

    loan_s: float
    most_requests: int


Setup = AdmissionControllerSetup | AllowanceSetup


class Header(msgspec.Struct, frozen=True):
    """First line of a trace: how the recorded object was created, and its bounds.

    Attributes:
        title: Short description of the recorded scenario.
        setup: Creation arguments of the recorded object, and bounds on its state.
    """

    title: str
    setup: Setup


class Step(msgspec.Struct, frozen=True):
    """Recorded method call; a line of a trace.

    Attributes:
        method: Name of the method.
        arguments: Positional arguments, as JSON values.
        answer: Return value, as a JSON value.
    """

    method: str
    arguments: list[Any]
    answer: Any


class Trace(NamedTuple):
    """Recorded method calls of one decision object.

    Attributes:
        header: First line of the trace.
        steps: The recorded calls, in order.
    """

    header: Header
    steps: list[Step]


class ReplayMismatch(Exception):
    """A replayed call gave another result than the trace, or violated a bound."""


# The methods that are recorded, with the types of their arguments. Traces contain the
# method names, so a renamed method no longer replays from older traces.
_ARGUMENT_TYPES: dict[str, tuple[Any, ...]] = {
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


def _to_json_value(result: Any) -> Any:
    """Convert a return value to a JSON value.

    A decision becomes an object with its fields and its class name under "decision";
    work becomes its request id.
    """
    if isinstance(result, list):
        return [_to_json_value(item) for item in result]
    if isinstance(result, Work):
        return result.request_id
    if hasattr(result, "__dataclass_fields__"):
        fields = {name: getattr(result, name) for name in result.__dataclass_fields__}
        result = {"decision": type(result).__name__, **fields}
    return msgspec.json.decode(msgspec.json.encode(result))


class Recorder:
    """Proxy of a decision object that records the calls of its deciding methods.

    All other attributes are those of the object itself.

    Args:
        target: The decision object.
    """

    def __init__(self, target: Any) -> None:
        self._target = target
        self._steps: list[Step] = []

    def __getattr__(self, name: str) -> Any:
        attribute = getattr(self._target, name)
        return (
            self._wrap_method(name, attribute) if name in _ARGUMENT_TYPES else attribute
        )

    def _wrap_method(self, name: str, method: Callable[..., Any]) -> Callable[..., Any]:
        def _call(*arguments: Any) -> Any:
            result = method(*arguments)
            json_arguments = msgspec.json.decode(msgspec.json.encode(arguments))
            self._steps.append(Step(name, json_arguments, _to_json_value(result)))
            return result

        return _call

    def save(self, path: Path, title: str, setup: Setup) -> None:
        """Write the recorded calls to a trace file.

        Args:
            path: Path of the file, which is replaced if it exists.
            title: Short description of the recorded scenario.
            setup: Creation arguments of the recorded object, and bounds on its state.

        Raises:
            OSError: If the file can't be written.
        """
        lines = [Header(title, setup), *self._steps]
        data = b"\n".join(msgspec.json.encode(line) for line in lines)
        path.write_bytes(data + b"\n")


def load_trace(path: Path) -> Trace:
    """Read a trace file.

    Args:
        path: Path of the file.

    Returns:
        The trace.

    Raises:
        OSError: If the file can't be read.
        ValueError: If the file is empty.
        msgspec.MsgspecError: If a line is not valid.
    """
    first, *rest = path.read_bytes().splitlines()
    header = msgspec.json.decode(first, type=Header)
    return Trace(header, [msgspec.json.decode(line, type=Step) for line in rest])


def replay_trace(trace: Trace) -> int:
    """Replay a trace on a new object, and check the results and bounds.

    Args:
        trace: The trace.

    Returns:
        The number of replayed calls.

    Raises:
        ReplayMismatch: At the first result that differs from the trace, or violated
            bound.
        KeyError: If the trace has a method that can't be replayed.
        msgspec.ValidationError: If a recorded argument has the wrong type.
    """
    target = _create_target(trace.header.setup)
    for line_number, step in enumerate(trace.steps, start=2):
        argument_types = _ARGUMENT_TYPES[step.method]
        arguments = [
            msgspec.convert(value, type=argument_type)
            for value, argument_type in zip(
                step.arguments, argument_types, strict=False
            )
        ]
        result = _to_json_value(getattr(target, step.method)(*arguments))
        if result != step.answer:
            raise ReplayMismatch(
                f"line {line_number}: {step.method} returned {result},"
                f" but the trace has {step.answer}"
            )
        _check_bounds(trace.header.setup, target, step, line_number)
    _check_final_state(trace.header.setup, target)
    return len(trace.steps)


def _create_target(setup: Setup) -> Any:
    match setup:
        case AdmissionControllerSetup():
            return AdmissionController(
                setup.policy,
                AdaptiveConcurrencyLimit(setup.cold_streams, setup.max_streams),
                SpeedEstimate(setup.prefill_tokens_per_s, setup.decode_step_s),
            )
        case AllowanceSetup():
            return Allowance(setup.loan_s)


def _check_bounds(setup: Setup, target: Any, step: Step, line_number: int) -> None:
    match setup:
        case AdmissionControllerSetup():
            running = len(target.running_ids)
            if running > setup.most_running:
                raise ReplayMismatch(
                    f"line {line_number}: {running} running streams exceed most_running"
                )
            if target.kv_free_tokens < 0:
                raise ReplayMismatch(
                    f"line {line_number}: reservations exceed the KV cache"
                )
        case AllowanceSetup():
            now_s = step.arguments[-1] if step.method in ("spend", "lend") else None
            if now_s is not None and (
                target.used(now_s).requests > setup.most_requests
            ):
                raise ReplayMismatch(
                    f"line {line_number}: requests in the window exceed most_requests"
                )


def _check_final_state(setup: Setup, target: Any) -> None:
    if (
        isinstance(setup, AdmissionControllerSetup)
        and setup.ends_empty
        and target.reserved_tokens
    ):
        raise ReplayMismatch(
            f"{target.reserved_tokens} tokens are still reserved after the last call"
        )
