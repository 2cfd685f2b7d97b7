"""One page about a soak: service over time with its faults, and broken promises."""

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

__all__ = ["timeline", "write_report"]

_BIN_S = 0.5
# Faults and log lines this long before a broken promise's first line are shown.
_BEFORE_S = 1.0
_PAGE = """<!doctype html>
<meta charset="utf-8">
<title>Soak, seed {seed}</title>
<h1>Soak, seed {seed}</h1>
<p>{calls} requests, {served} served; {faults} faults; {broken} broken promises.
{unrecovered}</p>
{plot}
<h2>Broken promises</h2>
{timelines}
<h2>Faults</h2>
<pre>{fault_lines}</pre>
"""


def write_report(report: Report, folder: Path, path: Path) -> None:
    """Write the page.

    Args:
        report: What the soak saw.
        folder: Where the entries' logs are.
        path: Where the page goes.
    """
    begin_s = report.completions[0][0] if report.completions else 0.0
    timelines = "".join(
        f"<h3>{html.escape(f'{item.request_id}: {item.description}')}</h3><pre>"
        f"{html.escape(chr(10).join(timeline(report, item.request_id, folder)))}</pre>"
        for item in report.violations
    )
    faults = (
        f"{item.at_s - begin_s:8.3f} s  {item.description}" for item in report.faults
    )
    page = _PAGE.format(
        seed=report.seed,
        calls=sum(report.call_counts.values()),
        served=sum(whole for _, whole in report.completions),
        faults=len(report.faults),
        broken=len(report.violations),
        unrecovered=html.escape(report.recovery_failure),
        plot=_plot(report, begin_s),
        timelines=timelines or "<p>None.</p>",
        fault_lines=html.escape("\n".join(faults)),
    )
    path.write_text(page, encoding="utf-8")


def timeline(report: Report, request_id: str, folder: Path) -> list[str]:
    """What all processes logged of a request, with the faults around it.

    Args:
        report: What the soak saw.
        request_id: The request.
        folder: Where the entries' logs are.

    Returns:
        Lines in order of time, in Unix seconds.
    """
    lines: list[tuple[float, str]] = []
    for log in sorted(folder.glob("*.log")):
        for line in log.read_bytes().splitlines():
            if f'"{request_id}"'.encode() in line:
                lines.append((_time_s(line), line.decode(errors="replace")))
    if not lines:
        return ["no process logged this request"]
    first_s = min(lines)[0] - _BEFORE_S
    last_s = max(lines)[0]
    lines += [
        (item.at_s, f"fault: {item.description}")
        for item in report.faults
        if first_s <= item.at_s <= last_s
    ]
    return [f"{at_s:.3f} {text}" for at_s, text in sorted(lines)]


def _time_s(line: bytes) -> float:
    try:
        return float(msgspec.json.decode(line)["time_s"])
    except (msgspec.DecodeError, KeyError, TypeError):
        # A line that was cut by a kill has no time; it comes first.
        return 0.0


def _plot(report: Report, begin_s: float) -> str:
    served: Counter[int] = Counter()
    failed: Counter[int] = Counter()
    for at_s, whole in report.completions:
        (served if whole else failed)[int((at_s - begin_s) / _BIN_S)] += 1
    bins = range(max([*served, *failed], default=0) + 1)
    figure, axes = pyplot.subplots(figsize=(11, 3.5))
    times = [number * _BIN_S for number in bins]
    axes.stackplot(
        times,
        [served[number] / _BIN_S for number in bins],
        [failed[number] / _BIN_S for number in bins],
        labels=["served", "not served"],
    )
    for fault in report.faults:
        axes.axvline(fault.at_s - begin_s, linewidth=0.6, alpha=0.5, color="black")
    axes.set_xlabel("seconds")
    axes.set_ylabel("requests a second")
    axes.legend(loc="lower left")
    text = io.StringIO()
    figure.savefig(text, format="svg", bbox_inches="tight")
    pyplot.close(figure)
    drawing = text.getvalue()
    return drawing[drawing.index("<svg") :]
