"""What one response of a backend server says about the server itself."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from gentianhoist.http1 import parse_decimal

__all__ = [
    "NoPauseNamed",
    "PauseNamed",
    "PauseNotice",
    "PauseUnreadable",
    "ServerNotice",
    "parse_pause",
]


# Characters of an unreadable value that are kept for the log.
_MAX_TEXT = 64


@dataclass(frozen=True)
class PauseNamed:
    """The response refuses a request and names a pause.

    Attributes:
        pause_s: Seconds for which the server wants no requests from this entry.
    """

    pause_s: float


@dataclass(frozen=True)
class NoPauseNamed:
    """The response names no pause."""


@dataclass(frozen=True)
class PauseUnreadable:
    """The response names something that isn't a pause.

    Attributes:
        text: What it names.
    """

    text: str


PauseNotice = PauseNamed | NoPauseNamed | PauseUnreadable


class ServerNotice(NamedTuple):
    """What a response says about its server, beside what it says about the request.

    Attributes:
        pause: The pause that it names, if it refuses the request.
        is_leaving: Whether the server is about to stop.
    """

    pause: PauseNotice = NoPauseNamed()
    is_leaving: bool = False


def parse_pause(text: str | None) -> PauseNotice:
    """Parse the pause in a response.

    Args:
        text: A number of seconds, or None if there is none.

    Example:
        >>> parse_pause("1.5")
        PauseNamed(pause_s=1.5)
        >>> parse_pause("0")
        NoPauseNamed()
        >>> parse_pause("-1")
        PauseUnreadable(text='-1')
    """
    if text is None:
        return NoPauseNamed()
    pause_s = parse_decimal(text)
    if pause_s is None:
        return PauseUnreadable(text[:_MAX_TEXT])
    return PauseNamed(pause_s) if pause_s else NoPauseNamed()
