"""Runs soaks one after another and prints their results."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Iterable
from pathlib import Path

from soak._report import write_report
from soak.core import Report, run_soak

__all__ = ["run_soaks"]

_SECONDS_PER_MINUTE = 60.0


def run_soaks(
    seeds: Iterable[int], minutes: float, entries: int, report_folder: Path | None
) -> bool:
    """Run one soak for each seed.

    Args:
        seeds: Seeds of the random faults, one for each run.
        minutes: Minutes for which each run injects faults.
        entries: Number of entries.
        report_folder: Folder for a report about each run; None to report only failed
            runs, beside their logs.

    Returns:
        Whether every run violated no invariant and recovered.
    """
    # A list instead of a generator: a failed run must not stop the remaining ones.
    return all([
        _run_and_report(seed, minutes, entries, report_folder) for seed in seeds
    ])


def _run_and_report(
    seed: int, minutes: float, entries: int, report_folder: Path | None
) -> bool:
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    report = asyncio.run(run_soak(seed, minutes * _SECONDS_PER_MINUTE, folder, entries))
    _print_summary(report)
    passed = not report.violations and not report.recovery_failure
    if not passed:
        write_report(report, folder, folder / "report.html")
        print(f"  logs and report.html in {folder}")
    if report_folder is not None:
        report_folder.mkdir(parents=True, exist_ok=True)
        write_report(report, folder, report_folder / f"soak-{seed}.html")
    return passed


def _print_summary(report: Report) -> None:
    requests = sum(report.request_counts.values())
    print(
        f"seed {report.seed}: {requests} requests, "
        f"{len(report.injected_events)} injected events",
        flush=True,
    )
    for (kind, status), count in sorted(report.request_counts.items()):
        print(f"  {kind} {status}: {count}")
    for violation in report.violations:
        print(f"  VIOLATED {violation.request_id}: {violation.description}")
    if report.recovery_failure:
        print(f"  NOT RECOVERED {report.recovery_failure}")
