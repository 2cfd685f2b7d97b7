"""Decides which events of a stream are passed on when it is resumed elsewhere."""

from __future__ import annotations

from gentianhoist.dispatch._events import StreamEvent

__all__ = ["EventSequence"]

# Longer ids are not taken for numbers.
_MAX_ID_DIGITS = 20


class EventSequence:
    """The events passed on to one caller, from the responses of several servers.

    The response of each server is a part of the stream. Events are dropped only at the
    beginning of a resumed part, up to the event at which it was resumed.

    Args:
        last_event_id: Id of the last event that the caller received before, if any.
        may_resume: Whether the stream may be resumed.
    """

    def __init__(self, last_event_id: bytes | None, *, may_resume: bool) -> None:
        self._last_event_id = last_event_id
        self._may_resume = may_resume
        # Set at the beginning of a resumed part only.
        self._resumed_at: int | None = None

    @property
    def last_event_id(self) -> bytes | None:
        """Id of the last event that the caller has, None without one."""
        return self._last_event_id

    def begin_part(self) -> None:
        """Begin the response of another server."""
        self._resumed_at = _number(self._last_event_id) if self._may_resume else None

    def check(self, events: list[StreamEvent]) -> list[StreamEvent]:
        """Decide which of the next events of the part are passed on.

        Args:
            events: The events, which count as passed on if they are accepted.
        """
        accepted = []
        for event in events:
            if self._is_new(event):
                self._record(event)
                accepted.append(event)
        return accepted

    def _is_new(self, event: StreamEvent) -> bool:
        number = _number(event.id)
        if self._resumed_at is None or number is None:
            return True
        if number <= self._resumed_at:
            return False
        self._resumed_at = None
        return True

    def _record(self, event: StreamEvent) -> None:
        if event.id is not None:
            self._last_event_id = event.id


def _number(id_: bytes | None) -> int | None:
    if id_ is None or not id_.isdigit() or len(id_) > _MAX_ID_DIGITS:
        return None
    return int(id_)
