"""Experiment: cost of placement decisions, and of commitments sent between peers.

The cost of a decision is measured by the number of engines.
"""

from __future__ import annotations

import random

from benchmarks._results import BenchmarkResults, measure_median_s
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

__all__ = ["measure_placement"]

# 8 slots, KV cache of 232,000 tokens, prefill of 206,000 tokens per second, attention
# cost of each pair of tokens, decode step (base, per stream, per context token), 43
# steps per event, chunks of 2,048 tokens, added step time of a split prefill.
_PROFILE = EngineProfile(
    8, 232_000, 206e3, 138e-12, 1.02e-3, 4.52e-6, 4.31e-9, 43, 2048, 7.5e-5
)
# Prompt tokens, output tokens, TTFT budget and pause goal in seconds, value.
_SHORT = Demand(5_000, 1_300, 0.3, 0.25, 1.5)
_LONG = Demand(133_000, 700, 2.5, 1.0, 14.0)
_STREAMS_PER_ENGINE = 3
_ROUNDS = 20
# The sender puts this many commitments into one datagram.
_PER_DATAGRAM = 12


async def measure_placement(results: BenchmarkResults) -> None:
    """Measure the time of a placement, and the size and cost of a peer's commitment.

    Args:
        results: Collects the measurements.
    """
    for engines in (23, 78, 300, 1_000):
        candidates = _make_candidates(engines, random.Random(results.seed))
        for name, demand in (("short", _SHORT), ("long", _LONG)):
            duration_s = measure_median_s(
                lambda demand=demand, candidates=candidates: choose_engines(
                    demand, candidates, _PROFILE, 0.2
                )
            )
            results.add(f"placement_s.{name}.{engines}", duration_s, "s")
    commitment_bytes, receive_s = _measure_datagrams()
    results.add("commitment_bytes", commitment_bytes, "bytes")
    results.add("commitment_received_s", receive_s, "s")


def _make_candidates(engines: int, rng: random.Random) -> list[Candidate]:
    ledger = CommitmentLedger()
    servers = [
        BackendServer(f"s{i}", "g", "10.0.0.1", i, "z", 8) for i in range(engines)
    ]
    for number in range(engines * _STREAMS_PER_ENGINE):
        server = rng.choice(servers)
        ledger.add(_make_commitment(f"c{number}", server.id), 0.0)
        ledger.record_first_event(f"c{number}", 0.1)
    return [
        Candidate(item, ledger.load(item.id), preference_cost=rng.random() / 30)
        for item in servers
    ]


def _make_commitment(id_: str, server_id: str) -> Commitment:
    # Not a helper; prefill and decode time in seconds, KV cache in tokens, pause goal
    # in seconds, value, deadline of the first event, expiry.
    return Commitment(id_, server_id, False, 0.02, 1.5, 6_000, 0.25, 1.5, 0.3, 100.0)


def _measure_datagrams() -> tuple[float, float]:
    """Measure bytes per commitment on the wire, and seconds to apply a received one."""
    clock = ManualClock()
    receiver = PeerLink("b", "10.0.0.2", 1, CommitmentLedger(), clock, lambda: None)
    sender = PeerLink("a", "10.0.0.1", 1, CommitmentLedger(), clock, lambda: None)
    sent: list[bytes] = []

    class RecordingTransport:
        def sendto(self, data: bytes, address: tuple[str, int]) -> None:
            sent.append(data)

    sender.connection_made(RecordingTransport())  # type: ignore[arg-type]
    sender.set_peers(["10.0.0.2"])
    sent.clear()
    for number in range(_PER_DATAGRAM * _ROUNDS):
        id_ = f"10.0.0.1-abcdef.{number}"
        sender.publish_added(_make_commitment(id_, f"i-{number % 78:010}"), 0.0)
    datagrams = iter(sent)
    duration_s = measure_median_s(
        lambda: receiver.datagram_received(next(datagrams), ("10.0.0.1", 1))
    )
    return len(sent[0]) / _PER_DATAGRAM, duration_s / _PER_DATAGRAM
