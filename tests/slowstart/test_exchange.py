"""Messages between entries about servers that start."""

import msgspec
import pytest

from gentianhoist.slowstart import (
    ColdUnitLent,
    ColdUnitRequested,
    PaceObserved,
    PaceReport,
    SlowStartExchange,
    SlowStarts,
)
from gentianhoist.slowstart._messages import check_pace, check_unit
from tests.slowstart.fleet import DELAY_S, PORT, Fleet

SERVER = ("s", "10.1.0.1:1", 0)


class TestMessages:
    def test_carry_ages_since_the_clocks_of_entries_differ(self):
        message = PaceObserved.of(SERVER, PaceReport(0.5, 3, 100.0), 100.5)
        assert message.age_ms == 500
        assert message.report(7.0) == PaceReport(0.5, 3, 6.5)

    @pytest.mark.parametrize(
        ("message", "field"),
        [
            (PaceObserved(SERVER, 0.5, 3, 500), None),
            (PaceObserved(SERVER, 1.0, 0, 2_000), None),
            (PaceObserved(("", "", 0), 0.5, 3, 500), "server"),
            (PaceObserved(SERVER, 0.0, 3, 500), "pace"),
            (PaceObserved(SERVER, 1.01, 3, 500), "pace"),
            (PaceObserved(SERVER, float("nan"), 3, 500), "pace"),
            (PaceObserved(SERVER, 0.5, -1, 500), "answered"),
            (PaceObserved(SERVER, 0.5, 3, -1), "age_ms"),
            (PaceObserved(SERVER, 0.5, 3, 2_001), "age_ms"),
        ],
    )
    def test_with_an_impossible_pace_are_named(self, message, field):
        assert check_pace(message) == field

    @pytest.mark.parametrize("kind", [ColdUnitRequested, ColdUnitLent])
    def test_with_an_impossible_unit_are_named(self, kind):
        assert check_unit(kind("s", 0)) is None
        assert check_unit(kind("", 0)) == "server_id"
        assert check_unit(kind("s", -1)) == "number"

    def test_have_tags_of_their_own(self, loop):
        """Entries of other versions tell kinds apart by them."""
        fleet = Fleet(loop, 1)
        kinds = fleet.entries["10.0.0.0"].link._registry._kinds
        tags = [kind.__struct_config__.tag for kind in kinds]
        assert len(set(tags)) == len(tags)
        assert issubclass(PaceObserved, msgspec.Struct)


class TestEntries:
    def _fleet(self, loop, count: int = 4) -> Fleet:
        fleet = Fleet(loop, count, cold_per_s=400.0)
        loop.run(fleet.settle())
        return fleet

    def _starts(self, fleet: Fleet, number: int) -> SlowStarts:
        return fleet.entries[f"10.0.0.{number}"].state.slow_starts

    def _exchange(self, fleet: Fleet, number: int) -> SlowStartExchange:
        return fleet.entries[f"10.0.0.{number}"].exchange

    def test_tell_each_other_the_pace_with_the_next_tick(self, loop):
        fleet = self._fleet(loop)
        server = fleet.start_engine()
        for number in range(4):
            self._starts(fleet, number).may_start(server, fleet.group, 0, loop.time())
        for _ in range(3):
            self._exchange(fleet, 0).record_response(server, 0.1, 0.1)
        loop.run(fleet.play(0.3, lambda entry: None))
        paced = self._starts(fleet, 3)._paced[server.id]
        assert paced.pace.max_requests(loop.time()) == 5

    def test_repeat_what_was_lost(self, loop):
        fleet = self._fleet(loop)
        server = fleet.start_engine()
        for number in range(2):
            self._starts(fleet, number).may_start(server, fleet.group, 0, loop.time())
        fleet.lost_ratio = 1.0
        for _ in range(3):
            self._exchange(fleet, 0).record_response(server, 0.1, 0.1)
        loop.run(fleet.play(0.3, lambda entry: None))
        fleet.lost_ratio = 0.0
        loop.run(fleet.play(1.3, lambda entry: None))
        paced = self._starts(fleet, 1)._paced[server.id]
        assert paced.pace.max_requests(loop.time()) == 5

    def test_send_what_is_valid_to_an_entry_that_starts(self, loop):
        fleet = self._fleet(loop)
        server = fleet.start_engine()
        self._starts(fleet, 0).may_start(server, fleet.group, 0, loop.time())
        self._exchange(fleet, 0).record_response(server, 0.1, 0.1)
        link = fleet.entries["10.0.0.0"].link
        assert [
            message.server
            for message in link._registry.snapshot("10.0.0.9")
            if isinstance(message, PaceObserved)
        ] == [server.incarnation]

    def test_keep_their_units_while_they_need_them(self, loop):
        fleet = self._fleet(loop, 2)
        fleet.start_engine()
        lender = fleet.entries["10.0.0.1"]
        sent: list[object] = []
        lender.link.send = lambda message, hosts: sent.append(message)
        for has_demand in (True, False):
            lender.has_demand = has_demand
            request = ColdUnitRequested("s", 5)
            datagram = fleet.entries["10.0.0.0"].link._encode([request])
            lender.link.datagram_received(datagram, ("10.0.0.0", PORT))
        assert sent == [ColdUnitLent("s", 5)]

    def test_do_not_lend_units_of_servers_that_they_do_not_know(self, loop):
        fleet = self._fleet(loop, 2)
        lender = fleet.entries["10.0.0.1"]
        sent: list[object] = []
        lender.link.send = lambda message, hosts: sent.append(message)
        datagram = fleet.entries["10.0.0.0"].link._encode([ColdUnitRequested("x", 5)])
        lender.link.datagram_received(datagram, ("10.0.0.0", PORT))
        assert not sent

    def test_ask_for_units_rarely_and_few_of_the_others(self, loop):
        """Many cold servers and many waiting prompts must not make many messages."""
        fleet = Fleet(loop, 30, cold_per_s=20.0)
        loop.run(fleet.settle())
        server = fleet.start_engine()
        entry = fleet.entries["10.0.0.0"]
        entry.has_demand = True
        asked: list[str] = []
        entry.link.send = lambda message, hosts: asked.extend(hosts)

        def evaluate(item) -> None:
            if item is entry:
                now_s = loop.time()
                if item.state.is_within_cold_limit(server, fleet.group, now_s):
                    item.state.record_sent(server, now_s)

        loop.run(fleet.play(1.0, evaluate))
        assert 0 < len(asked) <= 3 * (1.0 / 0.05 + 1)

    def test_begin_a_slow_start_only_where_the_group_has_a_cold_rate(self, loop):
        for cold_per_s, count in ((20.0, 1), (0.0, 0)):
            fleet = Fleet(loop, 1, cold_per_s=cold_per_s)
            server = fleet.start_engine()
            self._exchange(fleet, 0).begin(server, loop.time())
            assert len(self._starts(fleet, 0)) == count

    def test_count_and_log_what_they_change(self, loop):
        fleet = self._fleet(loop, 1)
        lines = []
        exchange = self._exchange(fleet, 0)
        exchange._log.record = lambda name, *args, **fields: lines.append((
            name,
            fields,
        ))
        server = fleet.start_engine()
        exchange.begin(server, loop.time())
        exchange.record_refusal(server)
        assert [(name, item["cause"]) for name, item in lines] == [
            ("pace_changed", "recovered"),
            ("pace_changed", "refused"),
        ]
        loop.run(fleet.play(0.3 + DELAY_S, lambda entry: None))
        text = fleet.entries["10.0.0.0"].metrics.render().decode()
        assert 'entry_pace_changes_total{cause="refused"} 1.0' in text
        assert "entry_slow_starts 1.0" in text
