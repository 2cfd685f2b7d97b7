"""``python -m benchmarks``: runs experiments, and plots what they found."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Annotated

import cappa

from benchmarks._figures import Figures
from benchmarks._lengths import measure_lengths

_EXPERIMENTS: dict[str, Callable[[Figures], Awaitable[None]]] = {
    "lengths": measure_lengths,
}


@cappa.command(name="run")
@dataclass(kw_only=True)
class RunCommand:
    """Run experiments; each figure is a JSON line, and exit 1 means a missed bound."""

    names: Annotated[
        list[str], cappa.Arg(help=f"Any of {', '.join(_EXPERIMENTS)}.")
    ] = field(default_factory=list)
    all: Annotated[bool, cappa.Arg(long=True, help="Run all of them.")] = False
    seed: Annotated[int, cappa.Arg(long=True, help="Seed of the run.")] = 11

    def __call__(self) -> int:
        """Run them one after another."""
        figures = Figures(self.seed)
        names = list(_EXPERIMENTS) if self.all else self.names
        unknown = [name for name in names if name not in _EXPERIMENTS]
        if unknown:
            raise cappa.Exit(f"unknown: {', '.join(unknown)}", code=2)
        for name in names:
            asyncio.run(_EXPERIMENTS[name](figures))
        figures.save()
        return int(any(figure.met is False for figure in figures.figures))


@cappa.command(name="benchmarks")
@dataclass(kw_only=True)
class Benchmarks:
    """Measure gentianhoist on this machine."""

    command: cappa.Subcommands[RunCommand]


if __name__ == "__main__":
    sys.exit(cappa.invoke(Benchmarks))
