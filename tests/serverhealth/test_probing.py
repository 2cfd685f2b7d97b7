"""Which entries send the first requests to a server after its ejection."""

import collections

from gentianhoist.serverhealth import is_prober

HOSTS = [f"10.0.0.{number}" for number in range(36)]


def _probers(server: str, hosts: list[str]) -> set[str]:
    incarnation = (server, "10.1.0.1:8000", 7)
    return {host for host in hosts if is_prober(incarnation, host, set(hosts) - {host})}


def test_three_entries_probe_each_server():
    """Engines go down and up by turns, before 36 entries that all have requests."""
    for number in range(54):
        assert len(_probers(f"engine-{number}", HOSTS)) == 3


def test_probing_is_spread_over_the_entries():
    counts = collections.Counter(
        host for number in range(54) for host in _probers(f"engine-{number}", HOSTS)
    )
    assert max(counts.values()) <= 14


def test_the_next_entry_takes_the_place_of_a_lost_one():
    before = _probers("engine-1", HOSTS)
    lost = min(before)
    after = _probers("engine-1", [host for host in HOSTS if host != lost])
    assert after > before - {lost}


def test_an_entry_that_hears_no_other_probes_by_itself():
    assert is_prober(("engine-1", "10.1.0.1:8000", 7), "10.0.0.1", ())
