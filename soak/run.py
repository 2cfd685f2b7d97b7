"""Soaks one after the other, and what is told of them."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Iterable
from pathlib import Path

from soak._report import write_report
from soak.core import Report, run_soak

__all__ = ["run_soaks"]

_S_PER_MIN = 60.0


def run_soaks(
    seeds: Iterable[int], minutes: float, entries: int, report_folder: Path | None
) -> bool:
    """Run a soak for each seed.

    Args:
        seeds: Each decides the faults of one run.
        minutes: How long faults come, in each run.
        entries: How many entries.
        report_folder: Folder for a report about each run; None for failed ones only.

    Returns:
        Whether all passed.
    """
    # A list, so that one that fails doesn't keep the others from being run.
    return all([_passed(seed, minutes, entries, report_folder) for seed in seeds])


def _passed(
    seed: int, minutes: float, entries: int, report_folder: Path | None
) -> bool:
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    report = asyncio.run(run_soak(seed, minutes * _S_PER_MIN, folder, entries))
    _print(report)
    passed = not report.violations and not report.recovery_failure
    if not passed:
        write_report(report, folder, folder / "report.html")
        print(f"  logs and report.html in {folder}")
    if report_folder is not None:
        report_folder.mkdir(parents=True, exist_ok=True)
        write_report(report, folder, report_folder / f"soak-{seed}.html")
    return passed


def _print(report: Report) -> None:
    calls = sum(report.call_counts.values())
    print(f"seed {report.seed}: {calls} calls, {len(report.faults)} faults", flush=True)
    for (kind, status), count in sorted(report.call_counts.items()):
        print(f"  {kind} {status}: {count}")
    for broken in report.violations:
        print(f"  BROKEN {broken.request_id}: {broken.description}")
    if report.recovery_failure:
        print(f"  NOT RECOVERED {report.recovery_failure}")
