"""Typed events recorded by each process, and their merge into one timeline."""

from gentianhoist.events._timeline import (
    EventFilter,
    merge_events,
    render_html,
    render_json_lines,
    render_text,
)
from gentianhoist.events.core import Event, EventKind, EventRing

__all__ = [
    "Event",
    "EventFilter",
    "EventKind",
    "EventRing",
    "merge_events",
    "render_html",
    "render_json_lines",
    "render_text",
]
