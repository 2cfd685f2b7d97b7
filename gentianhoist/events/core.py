"""Events: what a process decided, why, and under which configuration."""

from __future__ import annotations

from collections import deque
from enum import StrEnum
from typing import NamedTuple

from gentianhoist.clocks import HybridClock, HybridTime

__all__ = ["Event", "EventKind", "EventRing"]


class EventKind(StrEnum):
    """What an event is about."""

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
    MEMBER_SUSPECTED = "member_suspected"
    MEMBER_RECOVERED = "member_recovered"


class Event(NamedTuple):
    """One entry of a process's event ring.

    Attributes:
        time: Hybrid logical time.
        instance: Name of the instance that recorded it.
        availability_zone: Zone of that instance.
        kind: What it is about.
        request_id: The request concerned, or empty.
        configuration_version: Version in force in the process.
        cause: Why, as a short sentence.
    """

    time: HybridTime
    instance: str
    availability_zone: str
    kind: EventKind
    request_id: str
    configuration_version: int
    cause: str


class EventRing:
    """The newest events of one process.

    Args:
        clock: Issues the time stamps.
        instance: Name of this process's instance.
        availability_zone: Its availability zone.
        capacity: Number of events kept.
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
        """The clock that stamps the events."""
        return self._clock

    def record(self, kind: EventKind, cause: str, request_id: str = "") -> Event:
        """Append an event stamped now.

        Args:
            kind: What it is about.
            cause: Why, as a short sentence.
            request_id: The request concerned.

        Returns:
            The event.
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
        """The events kept, oldest first, from a wall time in microseconds on."""
        return [event for event in self._ring if event.time.wall_us >= since_us]
