"""Choice of the entries that send the first requests after an ejection."""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nlargest

from gentianhoist.hashing import rendezvous_weight
from gentianhoist.serverhealth._evidence import Incarnation

__all__ = ["is_prober"]

# Two of them suffice to eject the server again; one may have no request for it.
_PROBERS = 3


def is_prober(incarnation: Incarnation, host: str, others: Iterable[str]) -> bool:
    """Whether an entry is one of the few that probe a server.

    All entries that know the same entries agree on it without a message.

    Args:
        incarnation: The server.
        host: IP address of the entry.
        others: IP addresses of the other entries that live.
    """
    id_, address, started_ms = incarnation
    seed = f"probe/{id_}/{address}/{started_ms}"
    hosts = {host, *others}
    probers = nlargest(_PROBERS, hosts, key=lambda item: rendezvous_weight(seed, item))
    return host in probers
