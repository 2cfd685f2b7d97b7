"""What backend servers ask of an entry in their responses: to pause, or to stop."""

from gentianhoist.backoff._notice import (
    NoPauseNamed,
    PauseNamed,
    PauseNotice,
    PauseUnreadable,
    ServerNotice,
    parse_pause,
)
from gentianhoist.backoff.core import ServerPauses

__all__ = [
    "NoPauseNamed",
    "PauseNamed",
    "PauseNotice",
    "PauseUnreadable",
    "ServerNotice",
    "ServerPauses",
    "parse_pause",
]
