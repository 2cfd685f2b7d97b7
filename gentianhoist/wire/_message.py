"""Base class and common part of the messages between gentianhoist's processes.

Messages carry times as durations, never as readings of the sender's clock, because the
clocks of two processes differ. The exceptions are not compared with the receiver's
clock: hybrid timestamps, which only order events, and the wall time from which a preset
is in force, which identifies the switch to it.
"""

from __future__ import annotations

import msgspec

from gentianhoist.clocks import HybridTime


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all messages, which are encoded as arrays without field names."""


class Stamp(Message, frozen=True):
    """Sender, configuration version and time of a message.

    Attributes:
        sender: Name of the sending instance.
        incarnation: Random id of the sender's process, new at each start.
        configuration_version: Configuration version of the sender.
        time: Hybrid logical timestamp at which the message was sent.
    """

    sender: str
    incarnation: str
    configuration_version: int
    time: HybridTime
