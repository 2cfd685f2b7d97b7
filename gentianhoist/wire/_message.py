"""What all messages between gentianhoist's own processes share.

Times on the wire are durations, never readings of a sender's clock, except for hybrid
time stamps, which only order events.
"""

from __future__ import annotations

import msgspec

from gentianhoist.clocks import HybridTime


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages."""


class Stamp(Message, frozen=True):
    """What every message carries.

    Attributes:
        sender: Name of the sending instance.
        incarnation: Random name of the sender's present life.
        configuration_version: Version that the sender has.
        time: Sender's hybrid time.
    """

    sender: str
    incarnation: str
    configuration_version: int
    time: HybridTime
