"""Events: what a process decided, why, and with which configuration version."""

from __future__ import annotations

from collections import deque
from enum import StrEnum
from typing import NamedTuple

from gentianhoist.clocks import HybridClock, HybridTime

__all__ = ["Event", "EventKind", "EventRing"]


class EventKind(StrEnum):
    """Kinds of events."""

    PROCESS_STARTED = "process_started"
    PROCESS_LEAVING = "process_leaving"
    PROCESS_STOPPED = "process_stopped"
    REQUEST_RECEIVED = "request_received"
    REQUEST_ROUTED = "request_routed"
    REQUEST_REFUSED = "request_refused"
    REQUEST_RETRIED = "request_retried"
    REQUEST_FINISHED = "request_finished"
    REQUEST_FAILED = "request_failed"
    WORK_ADMITTED = "work_admitted"
    WORK_REFUSED = "work_refused"
    STREAM_RESUMED = "stream_resumed"
    CONNECTION_REPLACED = "connection_replaced"
    CALL_EXECUTED = "call_executed"
    CALL_VOIDED = "call_voided"
    BACKEND_COLD = "backend_cold"
    BACKEND_LIMIT = "backend_limit"
    CONFIGURATION_APPLIED = "configuration_applied"
    CONFIGURATION_UNCONFIRMED = "configuration_unconfirmed"
    SHARE_CHANGED = "share_changed"
    QUARANTINE = "quarantine"
    MEMBER_SUSPECTED = "member_suspected"
    MEMBER_RECOVERED = "member_recovered"


class Event(NamedTuple):
    """Event recorded by a process.

    Attributes:
        time: Hybrid logical timestamp of the event.
        instance: Name of the instance that recorded it.
        availability_zone: Availability zone of that instance.
        kind: Kind of the event.
        request_id: Id of the request concerned, empty for none.
        configuration_version: Configuration version of the process.
        cause: Short description of the cause or of the details.
    """

    time: HybridTime
    instance: str
    availability_zone: str
    kind: EventKind
    request_id: str
    configuration_version: int
    cause: str


class EventRing:
    """Ring buffer of the most recent events of a process.

    Args:
        clock: Issues the timestamps.
        instance: Name of this process's instance.
        availability_zone: Availability zone of that instance.
        capacity: Maximum number of events; the oldest are overwritten.

    Attributes:
        configuration_version: Configuration version recorded with new events.
    """

    def __init__(
        self,
        clock: HybridClock,
        instance: str,
        availability_zone: str,
        capacity: int = 4096,
    ) -> None:
        self._clock = clock
        self._instance = instance
        self._availability_zone = availability_zone
        self._ring: deque[Event] = deque(maxlen=capacity)
        self.configuration_version = 0

    @property
    def clock(self) -> HybridClock:
        """Clock that issues the timestamps."""
        return self._clock

    def record(self, kind: EventKind, cause: str, request_id: str = "") -> Event:
        """Append an event with the current time.

        Args:
            kind: Kind of the event.
            cause: Short description of the cause or of the details.
            request_id: Id of the request concerned, empty for none.

        Returns:
            The recorded event.
        """
        event = Event(
            self._clock.tick(),
            self._instance,
            self._availability_zone,
            kind,
            request_id,
            self.configuration_version,
            cause,
        )
        self._ring.append(event)
        return event

    def snapshot(self, since_us: int = 0) -> list[Event]:
        """Buffered events, oldest first.

        Args:
            since_us: Wall time in microseconds; earlier events are left out.
        """
        return [event for event in self._ring if event.time.wall_us >= since_us]
