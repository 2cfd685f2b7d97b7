"""Merge the events of several processes into one timeline, and render it."""

from __future__ import annotations

import html
from collections.abc import Iterable
from datetime import UTC, datetime
from typing import NamedTuple

import msgspec

from gentianhoist.events.core import Event

_MICROSECONDS_PER_S = 1_000_000
_HTML_HEAD = """<!doctype html><html lang="en"><meta charset="utf-8">
<title>gentianhoist timeline</title><style>
body{font:14px/1.4 system-ui,sans-serif;margin:2rem}table{border-collapse:collapse}
td,th{padding:.2rem .6rem;text-align:left;border-bottom:1px solid #ddd}
td:first-child{font-family:monospace;white-space:nowrap}
</style><h1>Timeline</h1><table><tr><th>time</th><th>instance</th><th>zone</th>
<th>event</th><th>request</th><th>version</th><th>cause</th></tr>
"""


class EventFilter(NamedTuple):
    """Filter on the fields of events; an empty or zero field matches all events.

    Attributes:
        request_id: Id of the request concerned.
        instance: Name of the instance that recorded the event.
        availability_zone: Availability zone of that instance.
        since_us: Earliest wall time, in microseconds.
    """

    request_id: str = ""
    instance: str = ""
    availability_zone: str = ""
    since_us: int = 0

    def matches(self, event: Event) -> bool:
        """Whether an event matches all fields of the filter."""
        return (
            self.request_id in ("", event.request_id)
            and self.instance in ("", event.instance)
            and self.availability_zone in ("", event.availability_zone)
            and event.time.wall_us >= self.since_us
        )


def merge_events(
    rings: Iterable[Iterable[Event]], event_filter: EventFilter
) -> list[Event]:
    """Merge the events of several processes into one timeline.

    Args:
        rings: The events of each process.
        event_filter: Selects the events to return.

    Returns:
        The selected events without duplicates, in order of their hybrid timestamps.
    """
    selected = {
        event for ring in rings for event in ring if event_filter.matches(event)
    }
    return sorted(selected, key=lambda event: (event.time, event.instance))


def _format_time(event: Event) -> str:
    wall_time = datetime.fromtimestamp(event.time.wall_us / _MICROSECONDS_PER_S, UTC)
    return wall_time.strftime("%H:%M:%S.%f") + f"+{event.time.counter}"


def render_text(events: Iterable[Event]) -> str:
    """Render events as aligned lines of text for a terminal."""
    return "\n".join(
        f"{_format_time(event):18} {event.instance:24} {event.kind:26} "
        f"v{event.configuration_version:<4} {event.request_id:36} {event.cause}"
        for event in events
    )


def render_json_lines(events: Iterable[Event]) -> str:
    """Render events as JSON lines, one object for each event."""
    return "\n".join(
        msgspec.json.encode({
            "wall_us": event.time.wall_us,
            "counter": event.time.counter,
            "instance": event.instance,
            "availability_zone": event.availability_zone,
            "kind": event.kind,
            "request_id": event.request_id,
            "configuration_version": event.configuration_version,
            "cause": event.cause,
        }).decode()
        for event in events
    )


def render_html(events: Iterable[Event]) -> str:
    """Render events as a self-contained HTML page."""
    rows = []
    for event in events:
        cells = (
            _format_time(event),
            event.instance,
            event.availability_zone,
            event.kind,
            event.request_id,
            str(event.configuration_version),
            event.cause,
        )
        rows.append("".join(f"<td>{html.escape(cell)}</td>" for cell in cells))
    return _HTML_HEAD + "\n".join(f"<tr>{row}</tr>" for row in rows) + "</table></html>"
