"""Reports of what waits: validity, order, and impossible figures."""

import msgspec
import pytest

from gentianhoist.admission import DemandReports, OrganisationDemand, check_demand


def _demand(count: int, age_ms: int = 0) -> OrganisationDemand:
    return OrganisationDemand([("a", count)], age_ms, "g", [(1, count)])


class TestDemandReports:
    def test_report_expires_after_one_second(self):
        """Requests of an entry that was killed must not hold others back for good."""
        reports = DemandReports()
        reports.receive("x", _demand(5), 10.0)
        reports.expire(10.9)
        assert reports.waiting["a"] == 5
        reports.expire(11.0)
        assert not reports.waiting
        assert not reports.on_time

    def test_later_report_replaces_the_one_before(self):
        reports = DemandReports()
        reports.receive("x", _demand(5), 10.0)
        reports.receive("x", _demand(2), 10.3)
        reports.receive("y", _demand(4), 10.3)
        assert reports.waiting == {"a": 6}

    def test_delayed_report_doesnt_replace_a_later_one(self):
        reports = DemandReports()
        reports.receive("x", _demand(2), 10.3)
        reports.receive("x", _demand(5, age_ms=400), 10.4)
        assert reports.waiting == {"a": 2}

    def test_repeated_report_counts_once(self):
        reports = DemandReports()
        reports.receive("x", _demand(5), 10.0)
        reports.receive("x", _demand(5), 10.01)
        assert reports.waiting == {"a": 5}

    def test_empty_report_ends_the_one_before(self):
        reports = DemandReports()
        reports.receive("x", _demand(5), 10.0)
        reports.receive("x", OrganisationDemand([], 0, "g"), 10.3)
        assert not reports.waiting

    def test_report_that_is_too_old_is_ignored(self):
        reports = DemandReports()
        reports.receive("x", _demand(5, age_ms=1000), 10.0)
        assert not reports.waiting


class TestCheckDemand:
    def test_accepts_sixteen_organisations(self):
        waiting = [(f"organisation-{i}", 512) for i in range(16)]
        message = OrganisationDemand(waiting, 0, "g", [(0, 3), (1, 0)])
        assert check_demand(message) is None

    @pytest.mark.parametrize(
        ("message", "field"),
        [
            (OrganisationDemand([(str(i), 1) for i in range(17)], 0), "waiting"),
            (OrganisationDemand([("a", -1)], 0), "waiting"),
            (OrganisationDemand([("a", 10**9)], 0), "waiting"),
            (OrganisationDemand([("a", 1), ("a", 2)], 0), "waiting"),
            (OrganisationDemand([("a" * 300, 1)], 0), "waiting"),
            (OrganisationDemand([("a", 1)], -1), "age_ms"),
            (OrganisationDemand([("a", 1)], 0, "g" * 300), "group"),
            (OrganisationDemand([("a", 1)], 0, "g", [(1, -2)]), "on_time"),
        ],
    )
    def test_names_the_impossible_field(self, message, field):
        """Impossible figures would shift the shares of all organisations."""
        assert check_demand(message) == field

    def test_fits_in_a_datagram_with_others(self):
        waiting = [(f"organisation-{i:030d}", 512) for i in range(16)]
        message = OrganisationDemand(waiting, 0, "engines", [(0, 3), (1, 512)])
        assert len(msgspec.msgpack.encode(message)) < 1_000
