"""One entry's health of servers, with reports of others that may be false."""

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gentianhoist.fleet import BackendServer
from gentianhoist.serverhealth import (
    Ejected,
    Evidence,
    Report,
    Returned,
    ServerHealthRegistry,
)
from gentianhoist.serverhealth._evidence import VALIDITY_S, ResultPhase

SERVERS = [BackendServer(f"s{i}", "g", "10.1.0.1", 8000 + i, "z", 6) for i in range(6)]
INCARNATIONS = [server.incarnation for server in SERVERS]
# Longest ejection, and the time after it for which an entry leaves probing to others.
LONGEST_EXCLUSION_S = 6.0 + 1.0


class _Listener:
    """Notes the changes; the entry probes servers or leaves it to others."""

    def __init__(self, *, probes: bool) -> None:
        self.probes = probes
        self.changes: list[tuple] = []
        self.results: list[tuple] = []

    def is_prober(self, incarnation) -> bool:
        return self.probes

    def on_result(self, incarnation, evidence, now_s, phase) -> None:
        self.results.append((incarnation, evidence, phase))

    def on_change(self, incarnation, change, now_s) -> None:
        self.changes.append((incarnation, change, now_s))


def _report(
    host: str, number: int, now_s: float, failures: float = 2.0, ratio: float = 0.0
) -> Report:
    requests = max(1.0, failures)
    return Report(host, "r", number, Evidence(requests, failures, ratio, now_s))


def _registry(*, probes: bool = True) -> tuple[ServerHealthRegistry, _Listener]:
    registry, listener = ServerHealthRegistry(), _Listener(probes=probes)
    registry.set_listener(listener)
    return registry, listener


def _eject(registry: ServerHealthRegistry, now_s: float, number: int = 1) -> None:
    registry.receive(INCARNATIONS[0], _report("a", number, now_s), now_s)
    registry.receive(INCARNATIONS[0], _report("b", number, now_s), now_s)


class TestEjection:
    """Engines that fail 40 % of their requests, or go down and up by turns."""

    def test_two_other_entries_eject_a_server_that_this_one_never_used(self):
        registry, _ = _registry()
        _eject(registry, 10.0)
        assert registry.available(SERVERS, 10.0) == SERVERS[1:]
        assert registry.ejection_ended_s(INCARNATIONS[0]) == 11.0

    def test_own_failure_completes_the_evidence_of_another_entry(self):
        registry, listener = _registry()
        registry.receive(INCARNATIONS[0], _report("a", 1, 10.0), 10.0)
        registry.record_failure(INCARNATIONS[0], 10.0)
        assert not listener.changes
        registry.receive(INCARNATIONS[0], _report("b", 1, 10.1), 10.1)
        assert listener.changes[0][1] == Ejected(True, 11.1, True, ("a", "b"))

    def test_one_host_that_restarts_counts_once(self):
        # Guards against: the runs of an entry that crashes again and again are counted
        # as several entries.
        registry, _ = _registry()
        for run in range(10):
            report = _report("a", 1, 10.0)._replace(run=str(run))
            registry.receive(INCARNATIONS[0], report, 10.0)
        assert registry.available(SERVERS, 10.0) == SERVERS

    def test_without_reports_two_own_failures_eject_as_before(self):
        registry, _ = _registry()
        registry.record_failure(INCARNATIONS[0], 10.0)
        registry.record_failure(INCARNATIONS[0], 10.0)
        assert registry.available(SERVERS, 10.0) == SERVERS[1:]
        assert registry.available(SERVERS, 11.0) == SERVERS

    def test_reports_of_the_same_requests_do_not_prolong_it(self):
        registry, _ = _registry()
        _eject(registry, 10.0)
        for host in "cdef":
            registry.receive(INCARNATIONS[0], _report(host, 1, 10.5), 10.5)
        registry.tick(11.0)
        assert registry.available(SERVERS, 11.0) == SERVERS

    def test_new_failures_after_it_begin_a_longer_one(self):
        registry, _ = _registry()
        _eject(registry, 10.0)
        registry.receive(INCARNATIONS[0], _report("a", 2, 11.1, 1.0), 11.1)
        registry.receive(INCARNATIONS[0], _report("b", 2, 11.1, 1.0), 11.1)
        assert registry.ejection_ended_s(INCARNATIONS[0]) == 13.1

    def test_at_most_half_of_a_group_is_excluded_by_reports(self):
        # Guards against: the requests of the whole group meet the one engine left.
        registry, _ = _registry()
        for incarnation in INCARNATIONS[:4]:
            registry.receive(incarnation, _report("a", 1, 10.0), 10.0)
            registry.receive(incarnation, _report("b", 1, 10.0), 10.0)
        assert registry.available(SERVERS, 10.0) == SERVERS

    def test_restarted_server_is_not_ejected(self):
        registry, _ = _registry()
        _eject(registry, 10.0)
        restarted = SERVERS[0]._replace(started_ms=99)
        assert registry.available([restarted, *SERVERS[1:]], 10.0)[0] == restarted

    def test_refusals_are_no_evidence_for_other_entries(self):
        # Guards against: engines that are full, cold or limited refuse requests of many
        # entries, and all entries leave them idle.
        registry, listener = _registry()
        for _ in range(5):
            registry.record_failure(INCARNATIONS[0], 10.0, 0.3)
        assert listener.results == []
        assert registry.get(INCARNATIONS[0]).own.evidence is None

    def test_a_removed_server_leaves_nothing_behind(self):
        registry, _ = _registry()
        _eject(registry, 10.0)
        registry.keep_only(set())
        assert registry.excluded_count == 0
        assert registry.ejection_ended_s(INCARNATIONS[0]) is None


class TestProbing:
    """A server returns after an ejection, before dozens of entries with requests."""

    def test_other_entries_follow_one_second_later(self):
        registry, listener = _registry(probes=False)
        _eject(registry, 10.0)
        assert registry.available(SERVERS, 11.9) == SERVERS[1:]
        registry.tick(12.0)
        assert registry.available(SERVERS, 12.0) == SERVERS
        assert listener.changes[-1][1] == Returned(is_probe=True)

    def test_other_entries_follow_at_a_reported_success(self):
        registry, _ = _registry(probes=False)
        _eject(registry, 10.0)
        success = _report("c", 1, 11.2, failures=0.0, ratio=1.0)
        registry.receive(INCARNATIONS[0], success, 11.2)
        assert registry.available(SERVERS, 11.2) == SERVERS

    def test_success_during_the_ejection_does_not_end_it(self):
        registry, _ = _registry()
        _eject(registry, 10.0)
        success = _report("c", 1, 10.5, failures=0.0, ratio=1.0)
        registry.receive(INCARNATIONS[0], success, 10.5)
        assert registry.available(SERVERS, 10.9) == SERVERS[1:]

    def test_evidence_after_an_ejection_counts_from_its_end(self):
        # Guards against: the success of a probe is reported with the failures from
        # before, so the server counts as failing for the others.
        registry, listener = _registry()
        registry.record_failure(INCARNATIONS[0], 10.0)
        registry.record_failure(INCARNATIONS[0], 10.0)
        registry.record_success(INCARNATIONS[0], 11.1, 1.0)
        _, evidence, phase = listener.results[-1]
        assert phase is ResultPhase.AFTER_EJECTION
        assert evidence.failures == 0.0


class TestSlowness:
    """A fifth of the engines is 4 to 8 times slower."""

    def test_two_entries_make_a_server_slow_that_this_one_never_used(self):
        registry, _ = _registry()
        for host in "ab":
            report = _report(host, 1, 10.0, failures=0.0, ratio=6.0)
            registry.receive(INCARNATIONS[0], report, 10.0)
        assert registry.get(INCARNATIONS[0]).slowness(10.0) == 6.0
        assert registry.suspects(10.0) == {INCARNATIONS[0]}
        assert registry.available(SERVERS, 10.0) == SERVERS

    def test_own_evidence_counts_while_others_measure_no_slowness(self):
        registry, _ = _registry()
        for _ in range(10):
            registry.record_success(INCARNATIONS[0], 10.0, 6.0)
        for host in "abc":
            report = _report(host, 1, 10.0, failures=0.0, ratio=1.0)
            registry.receive(INCARNATIONS[0], report, 10.0)
        assert registry.get(INCARNATIONS[0]).slowness(10.0) > 4.0


def test_state_is_bounded_whatever_is_reported():
    """Guards against: an entry of another fleet reports servers without end."""
    registry, _ = _registry()
    for number in range(3_000):
        registry.receive((f"x{number}", "", 0), _report("a", 1, 1.0), 1.0)
    assert len(registry._by_incarnation) <= 1024
    for number in range(100):
        report = _report(f"h{number}", 1, 1.0)
        registry.receive(("x1", "", 0), report, 1.0)
    assert len(registry.get(("x1", "", 0))._reports) <= 16


# Few servers and figures near the thresholds, so that ejections are frequent.
_SERVER = strategies.sampled_from(INCARNATIONS[:2])
_COUNT = strategies.sampled_from([0.0, 1.0, 2.0, 4.0, 50.0])
_RATIO = strategies.sampled_from([0.0, 0.7, 1.0, 3.0, 20.0])
_AGE = strategies.sampled_from([0.0, 0.4, 3.0, 5.9, 8.0])
_ELAPSED = strategies.sampled_from([0.1, 0.9, 1.5, 3.0])


class _HealthMachine(RuleBasedStateMachine):
    """One entry, and reports of others that are lost, late, repeated and false."""

    hosts = ("a", "b", "c")

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.number = 0
        self.failed: dict[tuple, list[tuple[str, float]]] = {}
        self.reports: list[tuple] = []

    @initialize(probes=strategies.booleans())
    def start(self, probes: bool) -> None:
        self.registry, self.listener = _registry(probes=probes)

    @rule(
        incarnation=_SERVER,
        host=strategies.integers(0, 2),
        requests=_COUNT,
        ratio=_RATIO,
        part=strategies.sampled_from([0.0, 0.4, 1.0, 1.0]),
        age_s=_AGE,
    )
    def report(self, incarnation, host, requests, ratio, part, age_s) -> None:
        self.number += 1
        failures = part * requests
        host_name = self.hosts[host % len(self.hosts)]
        evidence = Evidence(requests, failures, ratio, self.now_s - age_s)
        report = Report(host_name, "r", self.number, evidence)
        self.reports.append((incarnation, report))
        self._receive(incarnation, report)

    @rule(data=strategies.data())
    def repeat(self, data) -> None:
        """A datagram arrives twice, or after a newer one."""
        if self.reports:
            self._receive(*data.draw(strategies.sampled_from(self.reports)))

    @rule(elapsed_s=_ELAPSED)
    def advance(self, elapsed_s: float) -> None:
        self.now_s += elapsed_s
        self.registry.tick(self.now_s)

    @rule(incarnation=_SERVER, ratio=_RATIO)
    def succeed(self, incarnation, ratio) -> None:
        self.registry.record_success(incarnation, self.now_s, ratio)

    @invariant()
    def some_server_is_available(self) -> None:
        available = self.registry.available(SERVERS, self.now_s)
        assert available
        if not any(
            self.registry.get(item).own.is_ejected(self.now_s) for item in INCARNATIONS
        ):
            assert len(available) >= len(SERVERS) / 2

    @invariant()
    def each_fact_ends_by_itself(self) -> None:
        """Without further messages and requests nothing is left after a while."""
        later_s = self.now_s + VALIDITY_S + LONGEST_EXCLUSION_S
        for incarnation in INCARNATIONS:
            health = self.registry.get(incarnation)
            assert not health.is_excluded(later_s)
            assert health.shared_slowness(later_s) == 1.0

    def _receive(self, incarnation, report: Report) -> None:
        if report.evidence.failures and report.evidence.is_valid(self.now_s):
            fact = (report.host, report.evidence.observed_s)
            self.failed.setdefault(incarnation, []).append(fact)
        self.registry.receive(incarnation, report, self.now_s)


class QuorumMachine(_HealthMachine):
    """No server is ejected without valid failures of two entries."""

    @rule(incarnation=_SERVER, weight=strategies.sampled_from([0.3, 1.0, 1.5]))
    def fail(self, incarnation, weight) -> None:
        self.failed.setdefault(incarnation, []).append(("own", self.now_s))
        self.registry.record_failure(incarnation, self.now_s, weight)

    @invariant()
    def ejections_have_two_witnesses(self) -> None:
        for incarnation, change, begun_s in self.listener.changes:
            match change:
                case Ejected(is_shared=True):
                    witnesses = {
                        host
                        for host, failed_s in self.failed.get(incarnation, ())
                        if begun_s - VALIDITY_S < failed_s <= begun_s
                    }
                    assert len(witnesses) >= 2
        self.listener.changes.clear()


class SingleReporterMachine(_HealthMachine):
    """One other entry reports what it likes, and this entry's requests succeed."""

    hosts = ("a",)

    @invariant()
    def nothing_is_ejected(self) -> None:
        assert self.registry.available(SERVERS, self.now_s) == SERVERS
        for incarnation in INCARNATIONS:
            assert not self.registry.get(incarnation).is_excluded(self.now_s)

    @invariant()
    def nothing_is_slower_than_measured_here(self) -> None:
        for incarnation in INCARNATIONS:
            health = self.registry.get(incarnation)
            own = health.own.evidence
            measured = own.ratio if own else 1.0
            assert health.shared_slowness(self.now_s) <= max(1.0, measured)


_SETTINGS = settings(max_examples=150, stateful_step_count=40, deadline=None)
TestQuorum = QuorumMachine.TestCase
TestQuorum.settings = _SETTINGS
TestSingleReporter = SingleReporterMachine.TestCase
TestSingleReporter.settings = _SETTINGS
