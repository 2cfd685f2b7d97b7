"""Message by which an entry tells the others what waits at it."""

from __future__ import annotations

import msgspec

__all__ = ["MAX_REPORTED", "OrganisationDemand", "check_demand"]

# Organisations in one message; with names of 50 bytes it stays under 1 kB.
MAX_REPORTED = 16
_MAX_NAME_LENGTH = 256
# More than the queue of any entry holds, so a larger figure is a fault of the sender.
_MAX_WAITING = 10_000
_MAX_PRIORITIES = 16


class OrganisationDemand(msgspec.Struct, tag="d", array_like=True):
    """Requests that wait at the sender for engines of one server group.

    Attributes:
        waiting: Organisations and their numbers of waiting requests, the largest first.
        age_ms: Age of the figures in ms.
        group: Name of the server group.
        on_time: Priority classes, and the waiting requests of each whose first event
            can still be on time.
    """

    waiting: list[tuple[str, int]]
    age_ms: int
    group: str = ""
    on_time: list[tuple[int, int]] = []


def check_demand(message: OrganisationDemand) -> str | None:
    """Return the name of a field with an impossible value, or None."""
    names = [organisation for organisation, _ in message.waiting]
    if len(names) > MAX_REPORTED or len(set(names)) < len(names):
        return "waiting"
    if any(len(name) > _MAX_NAME_LENGTH for name in names):
        return "waiting"
    if not all(0 < count <= _MAX_WAITING for _, count in message.waiting):
        return "waiting"
    if message.age_ms < 0:
        return "age_ms"
    if len(message.group) > _MAX_NAME_LENGTH:
        return "group"
    if len(message.on_time) > _MAX_PRIORITIES:
        return "on_time"
    if not all(0 <= count <= _MAX_WAITING for _, count in message.on_time):
        return "on_time"
    return None
