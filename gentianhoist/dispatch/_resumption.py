"""Decides which events of a stream are passed on when it is resumed elsewhere."""

from __future__ import annotations

from typing import NamedTuple

from gentianhoist.dispatch._events import StreamEvent

__all__ = ["CheckedEvents", "EventSequence"]

# Longer ids are not taken for numbers.
_MAX_ID_DIGITS = 20


class CheckedEvents(NamedTuple):
    """What becomes of some events.

    Attributes:
        accepted: Events to pass on.
        fault: Why the part must not go on after them, None if it may.
    """

    accepted: list[StreamEvent]
    fault: str | None


class EventSequence:
    """The events passed on to one caller, from the responses of several servers.

    The response of each server is a part of the stream. Events are dropped only at the
    beginning of a resumed part, up to the event at which it was resumed. If all ids so
    far went up by one, a resumed part has to go on with the next one. Otherwise ids
    need only increase, and a gap can't be told.

    Args:
        last_event_id: Id of the last event that the caller received before, if any.
        may_resume: Whether the stream may be resumed.
    """

    def __init__(self, last_event_id: bytes | None, *, may_resume: bool) -> None:
        self._last_event_id = last_event_id
        self._may_resume = may_resume
        self._has_events = False
        # Whether the last event has a number as id, and all ids so far increased.
        self._is_last_known = False
        self._is_increasing = True
        self._greatest = -1
        # None before the first two events of one part with numbers as ids.
        self._is_consecutive: bool | None = None
        self._is_joined = False
        self._is_part_empty = True
        self._previous_in_part: int | None = None
        # Set at the beginning of a resumed part only.
        self._resumed_at: int | None = None
        self._last_repeat: int | None = None

    @property
    def last_event_id(self) -> bytes | None:
        """Id of the last event that the caller has, None without one."""
        return self._last_event_id

    @property
    def can_resume(self) -> bool:
        """Whether the events so far determine where another server has to go on."""
        if not self._has_events:
            return True
        return self._is_last_known and self._is_increasing

    def begin_part(self) -> None:
        """Begin the response of another server."""
        self._is_joined = self._has_events
        self._is_part_empty = True
        self._previous_in_part = None
        self._last_repeat = None
        self._resumed_at = _number(self._last_event_id) if self._may_resume else None

    def check(self, events: list[StreamEvent]) -> CheckedEvents:
        """Decide which of the next events of the part are passed on.

        Args:
            events: The events, which count as passed on if they are accepted.
        """
        accepted = []
        for event in events:
            self._is_part_empty = False
            try:
                is_new = self._is_new(event)
            except ValueError as error:
                return CheckedEvents(accepted, str(error))
            if is_new:
                self._record(event)
                accepted.append(event)
        return CheckedEvents(accepted, None)

    def end_fault(self, *, has_stated_end: bool) -> str | None:
        """Return why the end of the part isn't the end of the stream, or None.

        Args:
            has_stated_end: Whether the response states its end; otherwise a lost
                connection looks the same.
        """
        if self._resumed_at is None:
            is_end = not self._is_part_empty
        elif self._last_repeat is None:
            is_end = has_stated_end
        elif self._last_repeat == self._resumed_at:
            is_end = True
        else:
            return "the stream ended before the event at which it was resumed"
        return None if is_end else "the stream ended without an event"

    def _is_new(self, event: StreamEvent) -> bool:
        if event.is_comment:
            return True
        number = _number(event.id)
        if self._resumed_at is not None:
            if self._is_repeat(number, self._resumed_at):
                return False
            self._resumed_at = self._last_repeat = None
        elif self._is_joined and number is not None and number <= self._greatest:
            raise ValueError("the resumed stream repeats an event")
        return True

    def _is_repeat(self, number: int | None, resumed_at: int) -> bool:
        """Whether the caller has an event at the beginning of a resumed part."""
        if number is None:
            if self._last_repeat is not None:
                return self._last_repeat != resumed_at
            if self._is_joined:
                raise ValueError("the resumed stream begins without a number as id")
            return False
        if number <= resumed_at:
            self._last_repeat = number
            return True
        if not self._follows(number, resumed_at):
            raise ValueError("the resumed stream lacks an event")
        return False

    def _follows(self, number: int, resumed_at: int) -> bool:
        if self._last_repeat is not None:
            return self._last_repeat == resumed_at
        return not self._is_consecutive or number == resumed_at + 1

    def _record(self, event: StreamEvent) -> None:
        if event.is_comment:
            return
        self._has_events = True
        number = _number(event.id)
        self._is_last_known = number is not None
        if number is None:
            return
        self._last_event_id = event.id
        if number > self._greatest:
            self._greatest = number
        else:
            self._is_increasing = False
        if self._previous_in_part is not None and self._is_consecutive is not False:
            self._is_consecutive = number == self._previous_in_part + 1
        self._previous_in_part = number


def _number(id_: bytes | None) -> int | None:
    if id_ is None or not id_.isdigit() or len(id_) > _MAX_ID_DIGITS:
        return None
    return int(id_)
