"""HTML report of a soak: throughput, injected events and violated invariants."""

from __future__ import annotations

import html
import io
from collections import Counter
from pathlib import Path

import matplotlib as mpl
import msgspec

from soak.core import Report

mpl.use("svg")

from matplotlib import pyplot

__all__ = ["process_lines", "timeline", "write_report"]

_BIN_WIDTH_S = 0.5
# Injected events this long before the first log line of a request are part of its
# timeline.
_EVENT_LOOKBACK_S = 1.0
# Begins and ends of processes, as they and their supervisor log them.
_PROCESS_DECISIONS = (
    b'"process_started"',
    b'"process_not_started"',
    b'"started"',
    b'"stopping"',
    b'"stopped"',
)
_PAGE = """<!doctype html>
<meta charset="utf-8">
<title>Soak, seed {seed}</title>
<h1>Soak, seed {seed}</h1>
<p>{requests} requests, {served} served; {events} injected events;
{violations} violated invariants.
{recovery_failure}</p>
{plot}
<h2>Violated invariants</h2>
{timelines}
<h2>Injected events</h2>
<pre>{event_lines}</pre>
<h2>Processes</h2>
<pre>{process_lines}</pre>
"""


def write_report(report: Report, folder: Path, path: Path) -> None:
    """Write the HTML report.

    Args:
        report: Result of the soak.
        folder: Folder with the logs of the entries.
        path: File to write.
    """
    start_s = report.completions[0][0] if report.completions else 0.0
    timelines = "".join(
        f"<h3>{html.escape(f'{item.request_id}: {item.description}')}</h3><pre>"
        f"{html.escape(chr(10).join(timeline(report, item.request_id, folder)))}</pre>"
        for item in report.violations
    )
    event_lines = (
        f"{item.at_s - start_s:8.3f} s  {item.description}"
        for item in report.injected_events
    )
    page = _PAGE.format(
        seed=report.seed,
        requests=sum(report.request_counts.values()),
        served=sum(succeeded for _, succeeded in report.completions),
        events=len(report.injected_events),
        violations=len(report.violations),
        recovery_failure=html.escape(report.recovery_failure),
        plot=_plot_throughput(report, start_s),
        timelines=timelines or "<p>None.</p>",
        event_lines=html.escape("\n".join(event_lines)),
        process_lines=html.escape("\n".join(process_lines(folder))),
    )
    path.write_text(page, encoding="utf-8")


def process_lines(folder: Path) -> list[str]:
    """Return what all entries' logs say of the starts and ends of processes.

    Args:
        folder: Folder with the logs of the entries.

    Returns:
        Lines in order of time, each with its time in Unix seconds and its log.
    """
    lines = [
        (_parse_time_s(line), f"{log.name} {line.decode(errors='replace')}")
        for log in sorted(folder.glob("*.log"))
        for line in log.read_bytes().splitlines()
        if any(b'"decision":' + name in line for name in _PROCESS_DECISIONS)
    ]
    return [f"{at_s:.3f} {text}" for at_s, text in sorted(lines)]


def timeline(report: Report, request_id: str, folder: Path) -> list[str]:
    """Merge all entries' log lines about a request with the injected events around it.

    Args:
        report: Result of the soak.
        request_id: Id of the request.
        folder: Folder with the logs of the entries.

    Returns:
        Lines in order of time; each starts with its time in Unix seconds.
    """
    lines: list[tuple[float, str]] = []
    for log in sorted(folder.glob("*.log")):
        for line in log.read_bytes().splitlines():
            if f'"{request_id}"'.encode() in line:
                lines.append((_parse_time_s(line), line.decode(errors="replace")))
    if not lines:
        return ["no process logged this request"]
    first_s = min(lines)[0] - _EVENT_LOOKBACK_S
    last_s = max(lines)[0]
    lines += [
        (item.at_s, f"injected: {item.description}")
        for item in report.injected_events
        if first_s <= item.at_s <= last_s
    ]
    return [f"{at_s:.3f} {text}" for at_s, text in sorted(lines)]


def _parse_time_s(line: bytes) -> float:
    try:
        return float(msgspec.json.decode(line)["time_s"])
    except (msgspec.DecodeError, KeyError, TypeError):
        # A line truncated by SIGKILL has no readable time; it sorts first.
        return 0.0


def _plot_throughput(report: Report, start_s: float) -> str:
    served: Counter[int] = Counter()
    failed: Counter[int] = Counter()
    for at_s, succeeded in report.completions:
        (served if succeeded else failed)[int((at_s - start_s) / _BIN_WIDTH_S)] += 1
    bins = range(max([*served, *failed], default=0) + 1)
    figure, axes = pyplot.subplots(figsize=(11, 3.5))
    times = [index * _BIN_WIDTH_S for index in bins]
    axes.stackplot(
        times,
        [served[index] / _BIN_WIDTH_S for index in bins],
        [failed[index] / _BIN_WIDTH_S for index in bins],
        labels=["served", "not served"],
    )
    for event in report.injected_events:
        axes.axvline(event.at_s - start_s, linewidth=0.6, alpha=0.5, color="black")
    axes.set_xlabel("seconds")
    axes.set_ylabel("requests per second")
    axes.legend(loc="lower left")
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg", bbox_inches="tight")
    pyplot.close(figure)
    svg = buffer.getvalue()
    return svg[svg.index("<svg") :]
