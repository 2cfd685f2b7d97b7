"""Who this process is, and what it puts on each message."""

from __future__ import annotations

import uuid

from gentianhoist.clocks import HybridClock
from gentianhoist.configuration._replica import ConfigurationReplica
from gentianhoist.wire import Stamp


class Identity:
    """Makes the stamps of one process's messages.

    Args:
        instance: Name of its instance.
        availability_zone: Its availability zone.
        clock: Issues time stamps.
        configuration: Its copy of the configuration.
    """

    def __init__(
        self,
        instance: str,
        availability_zone: str,
        clock: HybridClock,
        configuration: ConfigurationReplica,
    ) -> None:
        self._instance = instance
        self._availability_zone = availability_zone
        self._clock = clock
        self._configuration = configuration
        self._incarnation = uuid.uuid4().hex

    @property
    def instance(self) -> str:
        """Name of the instance."""
        return self._instance

    @property
    def availability_zone(self) -> str:
        """Its availability zone."""
        return self._availability_zone

    @property
    def incarnation(self) -> str:
        """Random name of the process's present life."""
        return self._incarnation

    def stamp(self) -> Stamp:
        """The stamp of a message sent now."""
        return Stamp(
            self._instance,
            self._incarnation,
            self._configuration.version,
            self._clock.tick(),
        )

    def observe_stamp(self, stamp: Stamp) -> None:
        """Take note of a received message's time."""
        self._clock.receive(stamp.time)
