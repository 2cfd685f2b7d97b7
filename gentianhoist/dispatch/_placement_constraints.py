"""What limits the choice of engines for one request."""

from __future__ import annotations

from typing import Protocol

from gentianhoist.fleet import BackendServer, ServerGroup
from gentianhoist.quarantine import Refused

__all__ = ["PlacementConstraints"]


class PlacementConstraints(Protocol):
    """What limits the choice of engines for one request."""

    @property
    def group(self) -> ServerGroup:
        """The server group chosen for the request."""
        ...

    @property
    def is_trial(self) -> bool:
        """Whether the request is the trial of something that is held."""
        ...

    def servers(self) -> list[BackendServer]:
        """Servers that may be chosen."""
        ...

    def quarantine_refusal(self) -> Refused | None:
        """Why the request may not be sent to any server now, or None."""
        ...

    def raise_if_all_pause(self) -> None:
        """Raise the error for the caller if all servers have named a pause."""
        ...

    def raise_if_quarantined(self) -> None:
        """Raise the error for the caller if the request may not be sent now."""
        ...
