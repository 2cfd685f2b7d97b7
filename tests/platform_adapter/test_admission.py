"""Admission over two real entries while two organisations call.

The checks don't depend on the speed of the machine.
"""

import asyncio

from gentianhoist_platform.standins import operator_configuration

_OTHER_ENTRY = "127.0.0.2"


def _two_organisations(version: int) -> dict:
    configuration = operator_configuration(version)
    configuration["tenants"] = [
        {"name": "flood", "api_keys": ["key-1"]},
        {"name": "small", "api_keys": ["key-2"]},
    ]
    return configuration


def _admission(gateway):
    return gateway._state.admission


async def _start_two_entries(deployment) -> None:
    deployment.store.put("op", "config", _two_organisations(8))
    await deployment.add_entry(_OTHER_ENTRY)
    await deployment.wait_until(
        lambda: all(
            _admission(gateway).is_active and len(gateway._peers.live_hosts) == 1
            for gateway in deployment.gateways.values()
        )
    )


def _in_use(gateway, organisation: str) -> int:
    group = _admission(gateway).groups.get("engines")
    return 0 if group is None else group.usage.in_use(organisation)


class TestTwoEntries:
    async def test_both_count_the_use_by_organisation(self, deployment):
        """Slots that an entry never gives back would be lost to an organisation."""
        await _start_two_entries(deployment)
        for server in deployment.servers.values():
            server.faults.silent = True
        tasks = [
            asyncio.ensure_future(
                deployment.send("/brief/x", f"f{number}", Token_Count="500,100")
            )
            for number in range(3)
        ]
        entries = list(deployment.gateways.values())
        await deployment.wait_until(
            lambda: all(_in_use(entry, "flood") == 3 for entry in entries)
        )
        for server in deployment.servers.values():
            server.faults.silent = False
        await asyncio.gather(*tasks)
        await deployment.wait_until(
            lambda: all(_in_use(entry, "flood") == 0 for entry in entries)
        )
        for entry in entries:
            assert _admission(entry).groups["engines"].usage.total_in_use == 0

    async def test_flood_is_answered_once_each_and_leaves_nothing(self, deployment):
        """Requests that wait, are refused or placed must all end the counts."""
        await _start_two_entries(deployment)
        tasks = [
            asyncio.ensure_future(
                deployment.send(
                    "/brief/x",
                    f"r{number}",
                    entry=("127.0.0.1", _OTHER_ENTRY)[number % 2],
                    Key="key-2" if number % 10 == 0 else "key-1",
                    Token_Count="500,100",
                )
            )
            for number in range(120)
        ]
        answers = await asyncio.gather(*tasks)
        for number, (status, headers, _) in enumerate(answers):
            runs = sum(s.runs[f"r{number}"] for s in deployment.servers.values())
            assert status in {200, 429, 503}
            if status != 200:
                assert runs == 0
                assert float(headers["Retry-After"]) > 0.0
        assert any(status == 200 for status, _, _ in answers)
        entries = list(deployment.gateways.values())
        await deployment.wait_until(
            lambda: all(
                _admission(entry).groups["engines"].usage.total_in_use == 0
                and not _admission(entry).groups["engines"].usage.all_waiting
                for entry in entries
            )
        )
        metrics = entries[0]._metrics.render()
        assert b"entry_fleet_admission 1.0" in metrics
        assert b"entry_admission_decisions_total" in metrics

    async def test_one_organisation_is_served_as_before(self, deployment):
        """Deployments with one organisation must not change."""
        await deployment.add_entry(_OTHER_ENTRY)
        status, _, _ = await deployment.send("/brief/x", "o1", Token_Count="500,100")
        assert status == 200
        assert not _admission(deployment.gateway).is_active
        metrics = deployment.gateway._metrics.render()
        assert b"entry_admission_decisions_total{" not in metrics
