"""Identity of this process, as written into the stamp of each message it sends."""

from __future__ import annotations

import uuid

from gentianhoist.clocks import HybridClock
from gentianhoist.configuration._replica import ConfigurationReplica
from gentianhoist.wire import Stamp


class Identity:
    """Identity of one process; creates the stamps of its messages.

    A stamp holds the sender, its incarnation and configuration version, and the time.

    Args:
        instance: Name of the instance.
        availability_zone: Availability zone of the instance.
        clock: Hybrid logical clock that issues the timestamps.
        configuration: The process's replica of the configuration.
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
        """Availability zone of the instance."""
        return self._availability_zone

    @property
    def incarnation(self) -> str:
        """Random id of the process, new at each start."""
        return self._incarnation

    def stamp(self) -> Stamp:
        """Create the stamp of a message that is sent now."""
        return Stamp(
            self._instance,
            self._incarnation,
            self._configuration.version,
            self._clock.tick(),
        )

    def observe_stamp(self, stamp: Stamp) -> None:
        """Merge the timestamp of a received message into the hybrid logical clock."""
        self._clock.receive(stamp.time)
