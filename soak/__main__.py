"""``python -m soak SEED...``: exits with 1 if a promise was broken."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from soak.core import soak


@cappa.command(name="soak")
@dataclass(kw_only=True)
class SoakCommand:
    """Run soaks one after the other; logs of a seed that fails are kept."""

    seeds: Annotated[list[int], cappa.Arg(help="Each decides one run's faults.")]
    seconds: Annotated[float, cappa.Arg(long=True, help="How long faults come.")] = 8.0
    entries: Annotated[int, cappa.Arg(long=True, help="How many entries.")] = 3

    def __call__(self) -> int:
        """Run them; returns the exit code."""
        failed = 0
        for seed in self.seeds:
            failed += self._run(seed)
        return int(failed > 0)

    def _run(self, seed: int) -> bool:
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        report = asyncio.run(soak(seed, self.seconds, folder, self.entries))
        calls = sum(report.calls.values())
        print(f"seed {seed}: {calls} calls, {len(report.faults)} faults", flush=True)
        for (kind, status), count in sorted(report.calls.items()):
            print(f"  {kind} {status}: {count}")
        for broken in report.broken:
            print(f"  BROKEN {broken}")
        if report.unrecovered:
            print(f"  NOT RECOVERED {report.unrecovered}")
        failed = bool(report.broken or report.unrecovered)
        if failed:
            print("\n".join(f"  {fault}" for fault in report.faults))
            print(f"  logs in {folder}")
        return failed


if __name__ == "__main__":
    sys.exit(cappa.invoke(SoakCommand))
