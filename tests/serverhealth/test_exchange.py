"""Many entries that tell each other about failing and slow engines."""

from __future__ import annotations

import asyncio
import io
import json
import random
from collections import Counter

import pytest

from gentianhoist.clocks import ManualClock
from gentianhoist.fleet import BackendServer
from gentianhoist.peers import MessageKind, Sender
from gentianhoist.serverhealth import (
    HealthExchange,
    ServerHealthRegistry,
    ServerObserved,
)
from gentianhoist.telemetry import DecisionLog, EntryMetrics
from tests.peers.test_core import _deliver, _make_link

STEP_S = 0.01
TICK_STEPS = 25
ENTRIES = 36
ENGINES = 54
ENGINE_RATE_PER_S = 8.0
SERVERS = [
    BackendServer(f"s{i}", "g", "10.1.0.1", 8000 + i, "z", 6) for i in range(ENGINES)
]
FAULTY = {server.incarnation for server in SERVERS[: ENGINES // 5]}


class _Network:
    """Delivers messages to the other entries in the next step, unless they are lost."""

    def __init__(self, rng: random.Random, lost_ratio: float) -> None:
        self.rng = rng
        self.lost_ratio = lost_ratio
        self.entries: list[_Entry] = []
        self.in_flight: list[tuple[_Entry, _Entry, ServerObserved]] = []
        self.sent = 0

    def send(self, sender: _Entry, message: ServerObserved) -> None:
        for entry in self.entries:
            self.sent += 1
            if entry is not sender and self.rng.random() >= self.lost_ratio:
                self.in_flight.append((sender, entry, message))

    def deliver(self, now_s: float) -> None:
        arriving, self.in_flight = self.in_flight, []
        for sender, entry, message in arriving:
            assert entry.kind.check(message) is None
            entry.kind.receive(message, Sender(sender.host, sender.host), now_s)


class _Entry:
    """One entry: its registry and exchange, and its side of the network."""

    def __init__(self, host: str, network: _Network, clock: ManualClock) -> None:
        self.host = host
        self.network = network
        self.output = io.StringIO()
        self.log = DecisionLog({}, self.output)
        self.registry = ServerHealthRegistry()
        network.entries.append(self)
        self.metrics = EntryMetrics()
        self.exchange = HealthExchange(
            self.registry, self, host, clock, self.log, self.metrics, lambda: None
        )

    @property
    def live_hosts(self) -> list[str]:
        if self.network.lost_ratio >= 1.0:
            return []
        return [item.host for item in self.network.entries if item is not self]

    @property
    def peers(self) -> frozenset[str]:
        return frozenset(item.host for item in self.network.entries) - {self.host}

    def register(self, *kinds: MessageKind) -> None:
        (self.kind,) = kinds

    def broadcast(self, message: ServerObserved) -> None:
        self.network.send(self, message)

    def log_lines(self) -> list[dict]:
        self.log._flush()
        return [json.loads(line) for line in self.output.getvalue().splitlines()]


class _Fleet:
    """Entries that choose among the available engines at random, least slow first."""

    def __init__(self, *, seed: int, lost_ratio: float, entries: int = ENTRIES) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock(100.0)
        self.network = _Network(self.rng, lost_ratio)
        for number in range(entries):
            _Entry(f"10.0.0.{number}", self.network, self.clock)
        self.requests: Counter = Counter()
        self.failures = 0

    def run(self, seconds: float, *, failing_ratio: float, slowness: float) -> None:
        for step in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            now_s = self.clock.monotonic_s()
            self.network.deliver(now_s)
            for _ in range(round(ENGINES * ENGINE_RATE_PER_S * STEP_S)):
                self._send(failing_ratio, slowness, now_s)
            if step % TICK_STEPS == 0:
                for entry in self.network.entries:
                    entry.exchange.tick(now_s)

    def _send(self, failing_ratio: float, slowness: float, now_s: float) -> None:
        registry = self.rng.choice(self.network.entries).registry
        available = registry.available(SERVERS, now_s)
        drawn = self.rng.sample(available, min(4, len(available)))
        server = min(
            drawn, key=lambda item: registry.get(item.incarnation).slowness(now_s)
        )
        is_faulty = server.incarnation in FAULTY
        self.requests[server.incarnation] += 1
        if is_faulty and self.rng.random() < failing_ratio:
            self.failures += 1
            registry.record_failure(server.incarnation, now_s)
            return
        ratio = (slowness if is_faulty else 1.0) * self.rng.uniform(0.7, 1.6)
        registry.record_success(server.incarnation, now_s, ratio)


def _requests_to_faulty(fleet: _Fleet) -> int:
    return sum(fleet.requests[incarnation] for incarnation in FAULTY)


class TestFleet:
    """A fifth of 54 engines is faulty before 36 entries with few requests each."""

    SECONDS = 12.0

    def _run(self, lost_ratio: float, **fault) -> _Fleet:
        fleet = _Fleet(seed=3, lost_ratio=lost_ratio)
        fleet.run(self.SECONDS, **fault)
        return fleet

    def test_failing_engines_lose_fewer_requests(self):
        fault = {"failing_ratio": 0.4, "slowness": 1.0}
        alone = self._run(1.0, **fault)
        together = self._run(0.05, **fault)
        assert together.failures < 0.5 * alone.failures

    def test_slow_engines_get_fewer_requests(self):
        fault = {"failing_ratio": 0.0, "slowness": 6.0}
        alone = self._run(1.0, **fault)
        together = self._run(0.05, **fault)
        assert _requests_to_faulty(together) < 0.5 * _requests_to_faulty(alone)

    def test_half_of_the_datagrams_lost_still_helps(self):
        fault = {"failing_ratio": 0.4, "slowness": 1.0}
        alone = self._run(1.0, **fault)
        assert self._run(0.5, **fault).failures < 0.75 * alone.failures

    def test_messages_are_bounded(self):
        fleet = self._run(0.0, failing_ratio=0.4, slowness=6.0)
        received_per_s = fleet.network.sent / ENTRIES / self.SECONDS
        assert received_per_s <= 100.0 + ENTRIES * 8 / self.SECONDS

    def test_healthy_fleet_ejects_nothing_and_says_little(self):
        fleet = self._run(0.0, failing_ratio=0.0, slowness=1.0)
        assert fleet.network.sent == 0
        for entry in fleet.network.entries:
            assert entry.registry.excluded_count == 0

    def test_recovered_engines_get_requests_again(self):
        fleet = self._run(0.05, failing_ratio=0.4, slowness=6.0)
        fleet.run(12.0, failing_ratio=0.0, slowness=1.0)
        fleet.requests.clear()
        fleet.run(8.0, failing_ratio=0.0, slowness=1.0)
        mean = fleet.requests.total() / ENGINES
        assert max(fleet.requests.values()) < 1.4 * mean
        assert min(fleet.requests[item] for item in FAULTY) > 0.6 * mean

    def test_an_entry_with_a_bad_link_gets_no_engine_ejected(self):
        fleet = _Fleet(seed=5, lost_ratio=0.0)
        bad = fleet.network.entries[0]
        for _ in range(40):
            for server in SERVERS:
                bad.registry.record_failure(
                    server.incarnation, fleet.clock.monotonic_s(), 1.5
                )
            fleet.run(0.25, failing_ratio=0.0, slowness=1.0)
        for entry in fleet.network.entries[1:]:
            assert entry.registry.excluded_count == 0
            assert entry.registry.slow_count == 0


class TestProbing:
    """An engine goes down, and 36 entries have requests for it when it returns."""

    def test_few_requests_fail_while_it_stays_down(self):
        fleet = _Fleet(seed=7, lost_ratio=0.0)
        fleet.run(10.0, failing_ratio=1.0, slowness=1.0)
        alone = _Fleet(seed=7, lost_ratio=1.0)
        alone.run(10.0, failing_ratio=1.0, slowness=1.0)
        assert fleet.failures < 0.35 * alone.failures

    def test_log_names_the_witnesses_and_the_return(self):
        fleet = _Fleet(seed=7, lost_ratio=0.0, entries=4)
        fleet.run(6.0, failing_ratio=1.0, slowness=1.0)
        lines = fleet.network.entries[0].log_lines()
        decisions = {line["decision"] for line in lines}
        assert {"server_assessed", "server_ejected", "server_returned"} <= decisions
        shared = [
            line
            for line in lines
            if line["decision"] == "server_ejected" and line["source"] == "entries"
        ]
        assert all(line["entries"] for line in shared)
        metrics = fleet.network.entries[0].metrics.render().decode()
        assert 'entry_server_ejections_total{source="entries"}' in metrics


class TestPeerLink:
    """The message on the wire of the entries."""

    def _make(self, host: str, clock: ManualClock):
        link, transport = _make_link(f"run-{host}", host, clock)
        registry = ServerHealthRegistry()
        HealthExchange(
            registry, link, host, clock, DecisionLog({}), EntryMetrics(), lambda: None
        )
        return link, transport, registry

    async def test_reports_arrive_and_a_new_entry_gets_them(self):
        clock, late_clock = ManualClock(5.0), ManualClock(105.0)
        incarnation = SERVERS[0].incarnation
        first, first_transport, first_health = self._make("10.0.0.1", clock)
        second, second_transport, second_health = self._make("10.0.0.2", clock)
        links = {"10.0.0.1": first, "10.0.0.2": second}
        for link in links.values():
            link.set_peers(links)
        for _ in range(3):
            first_health.record_success(incarnation, 5.0, 6.0)
            second_health.record_success(incarnation, 5.0, 5.0)
        await asyncio.sleep(0.01)
        _deliver(first_transport, "10.0.0.1", links)
        _deliver(second_transport, "10.0.0.2", links)
        assert first_health.get(incarnation).shared_slowness(5.0) == pytest.approx(5.0)
        third, third_transport, third_health = self._make("10.0.0.3", late_clock)
        third.set_peers(links)
        links["10.0.0.3"] = third
        _deliver(third_transport, "10.0.0.3", links)
        _deliver(first_transport, "10.0.0.1", links)
        _deliver(second_transport, "10.0.0.2", links)
        assert third_health.get(incarnation).shared_slowness(105.0) == 5.0

    async def test_impossible_figures_are_dropped(self):
        clock = ManualClock(5.0)
        first, transport, _ = self._make("10.0.0.1", clock)
        second, _, health = self._make("10.0.0.2", clock)
        first.set_peers({"10.0.0.2"})
        transport.sent.clear()
        incarnation = SERVERS[0].incarnation
        first.broadcast(ServerObserved(incarnation, 1.0, 9.0, 0.0, 0, 1))
        await asyncio.sleep(0.01)
        _deliver(transport, "10.0.0.1", {"10.0.0.2": second})
        assert not health.get(incarnation).has_reports
