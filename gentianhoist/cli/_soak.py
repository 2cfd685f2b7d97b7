"""The command that runs soaks one after the other."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from gentianhoist.cli._exit_codes import ExitCode


@cappa.command(name="soak")
@dataclass(kw_only=True)
class SoakCommand:
    """Run entries as processes through random faults, and check what must hold.

    Fails if a promise was broken or service did not come back; the logs of such a run
    are kept, with a page about it. Needs the requirements of the tests.
    """

    seed: Annotated[
        list[int],
        cappa.Arg(long=True, num_args=-1, help="Each decides one run."),
    ]
    minutes: Annotated[
        float, cappa.Arg(long=True, help="How long faults come, in each run.")
    ] = 0.15
    entries: Annotated[int, cappa.Arg(long=True, help="How many entries.")] = 3
    report: Annotated[
        Path | None, cappa.Arg(long=True, help="Folder for a page about each run.")
    ] = None

    def __call__(self) -> int:
        """Run them; returns the exit code."""
        # Imported here, since plots are no run-time requirement.
        from soak.run import run_soaks

        passed = run_soaks(self.seed, self.minutes, self.entries, self.report)
        return ExitCode.OK if passed else ExitCode.FAILED
