"""The command that runs soak tests one after the other."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from gentianhoist.cli._exit_codes import ExitCode


@cappa.command(name="soak")
@dataclass(kw_only=True)
class SoakCommand:
    """Run soak tests: start entries as processes, inject faults, check guarantees.

    The faults are random. A run fails if a guarantee was violated or service did not
    recover; its logs and a report on it are kept. Needs the test dependencies.
    """

    seed: Annotated[
        list[int],
        cappa.Arg(long=True, num_args=-1, help="Random seeds, one for each run."),
    ]
    minutes: Annotated[
        float, cappa.Arg(long=True, help="Minutes with faults in each run.")
    ] = 0.15
    entries: Annotated[int, cappa.Arg(long=True, help="Number of entries.")] = 3
    report: Annotated[
        Path | None, cappa.Arg(long=True, help="Folder for a report on each run.")
    ] = None

    def __call__(self) -> int:
        """Run the soak tests; returns the exit code."""
        # Imported here, since the plotting library is only a test dependency.
        from soak.run import run_soaks

        passed = run_soaks(self.seed, self.minutes, self.entries, self.report)
        return ExitCode.OK if passed else ExitCode.FAILED
