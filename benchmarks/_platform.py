"""Costs of an entry's decisions on the users' platform, as engines and entries grow."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from benchmarks._results import BenchmarkResults
from gentianhoist.clocks import ManualClock
from gentianhoist.fleet import BackendServer, EngineProfile
from gentianhoist.peers import PeerLink
from gentianhoist.placement import (
    Candidate,
    Commitment,
    CommitmentLedger,
    Demand,
    choose_engines,
)

__all__ = ["measure_platform"]

_PROFILE = EngineProfile(
    8, 232_000, 206e3, 138e-12, 1.02e-3, 4.52e-6, 4.31e-9, 43, 2048, 7.5e-5
)
_SHORT = Demand(5_000, 1_300, 0.3, 0.25, 1.5)
_LONG = Demand(133_000, 700, 2.5, 1.0, 14.0)
_STREAMS_PER_ENGINE = 3
_ROUNDS = 20
# Commitments in one datagram.
_GATHERED = 12


async def measure_platform(results: BenchmarkResults) -> None:
    """Measure a choice of engines, and the news of one.

    Args:
        results: Takes what is found.
    """
    for engines in (23, 78, 300, 1_000):
        candidates = _candidates(engines, random.Random(results.seed))
        for name, demand in (("short", _SHORT), ("long", _LONG)):
            taken_s = _time(
                lambda demand=demand, candidates=candidates: choose_engines(
                    demand, candidates, _PROFILE, 0.2
                )
            )
            results.add(f"placement_s.{name}.{engines}", taken_s, "s")
    size, received_s = _datagrams()
    results.add("commitment_bytes", size, "bytes")
    results.add("commitment_received_s", received_s, "s")


def _candidates(engines: int, rng: random.Random) -> list[Candidate]:
    ledger = CommitmentLedger()
    servers = [
        BackendServer(f"s{i}", "g", "10.0.0.1", i, "z", 8) for i in range(engines)
    ]
    for number in range(engines * _STREAMS_PER_ENGINE):
        server = rng.choice(servers)
        ledger.add(_commitment(f"c{number}", server.id), 0.0)
        ledger.record_first_event(f"c{number}", 0.1)
    return [
        Candidate(item, ledger.load(item.id), preference_cost=rng.random() / 30)
        for item in servers
    ]


def _commitment(id_: str, server_id: str) -> Commitment:
    return Commitment(id_, server_id, False, 0.02, 1.5, 6_000, 0.25, 1.5, 0.3, 100.0)


def _datagrams() -> tuple[float, float]:
    """Bytes of a commitment on the wire, and seconds to take it in."""
    clock = ManualClock()
    receiver = PeerLink("b", "10.0.0.2", 1, CommitmentLedger(), clock, lambda: None)
    sender = PeerLink("a", "10.0.0.1", 1, CommitmentLedger(), clock, lambda: None)
    sent: list[bytes] = []

    class Wire:
        def sendto(self, data: bytes, address: tuple[str, int]) -> None:
            sent.append(data)

    sender.connection_made(Wire())  # type: ignore[arg-type]
    sender.set_peers(["10.0.0.2"])
    sent.clear()
    for number in range(_GATHERED * _ROUNDS):
        id_ = f"10.0.0.1-abcdef.{number}"
        sender.publish_added(_commitment(id_, f"i-{number % 78:010}"), 0.0)
    datagrams = iter(sent)
    taken_s = _time(
        lambda: receiver.datagram_received(next(datagrams), ("10.0.0.1", 1))
    )
    return len(sent[0]) / _GATHERED, taken_s / _GATHERED


def _time(work: Callable[[], object]) -> float:
    """Seconds that a piece of work takes, the median of several rounds."""
    taken = []
    for _ in range(_ROUNDS):
        began_s = time.perf_counter()
        work()
        taken.append(time.perf_counter() - began_s)
    return sorted(taken)[len(taken) // 2]
