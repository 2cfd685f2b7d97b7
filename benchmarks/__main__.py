"""``python -m benchmarks``: runs experiments, plots results and records traces."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Annotated

import cappa

from benchmarks._allowance_window import measure_allowance_window
from benchmarks._calls import measure_calls
from benchmarks._control import measure_control
from benchmarks._data_path import measure_data_path
from benchmarks._lengths import measure_lengths
from benchmarks._operations import measure_operations
from benchmarks._organisations import measure_organisations
from benchmarks._overload import measure_overload
from benchmarks._placement import measure_placement
from benchmarks._plot import plot_lengths
from benchmarks._rate_limits import measure_rate_limits
from benchmarks._record import record_traces
from benchmarks._results import BenchmarkResults

_EXPERIMENTS: dict[str, Callable[[BenchmarkResults], Awaitable[None]]] = {
    "path": measure_data_path,
    "lengths": measure_lengths,
    "organisations": measure_organisations,
    "operations": measure_operations,
    "calls": measure_calls,
    "minute": measure_allowance_window,
    "overload": measure_overload,
    "control": measure_control,
    "platform": measure_placement,
    "rate_limits": measure_rate_limits,
}


@cappa.command(name="run")
@dataclass(kw_only=True)
class RunCommand:
    """Run experiments; prints JSON lines and exits with 1 if a bound is missed."""

    names: Annotated[
        list[str], cappa.Arg(help=f"Experiments to run: {', '.join(_EXPERIMENTS)}.")
    ] = field(default_factory=list)
    all: Annotated[bool, cappa.Arg(long=True, help="Run all experiments.")] = False
    seed: Annotated[
        int,
        cappa.Arg(
            long=True,
            help="Random seed of the experiment platform, stored with every "
            "measurement; no other experiment uses it.",
        ),
    ] = 11

    def __call__(self) -> int:
        """Run the experiments one after another.

        Returns:
            Exit code: 1 if a bound is missed, else 0.
        """
        results = BenchmarkResults(self.seed)
        names = list(_EXPERIMENTS) if self.all else self.names
        unknown = [name for name in names if name not in _EXPERIMENTS]
        if unknown:
            raise cappa.Exit(f"unknown experiments: {', '.join(unknown)}", code=2)
        for name in names:
            asyncio.run(_EXPERIMENTS[name](results))
        results.save()
        return int(any(item.met is False for item in results.measurements))


@cappa.command(name="plot")
@dataclass(kw_only=True)
class PlotCommand:
    """Plot the results of the experiments."""

    def __call__(self) -> int:
        """Write the plots.

        Returns:
            Exit code 0.
        """
        plot_lengths()
        return 0


@cappa.command(name="record")
@dataclass(kw_only=True)
class RecordCommand:
    """Record traces of admission and allowance decisions for the replay tests."""

    def __call__(self) -> int:
        """Write the traces.

        Returns:
            Exit code 0.
        """
        asyncio.run(record_traces())
        return 0


@cappa.command(name="benchmarks")
@dataclass(kw_only=True)
class Benchmarks:
    """Measure gentianhoist on this machine."""

    command: cappa.Subcommands[RunCommand | PlotCommand | RecordCommand]


if __name__ == "__main__":
    sys.exit(cappa.invoke(Benchmarks))
