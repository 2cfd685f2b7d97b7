"""Short soak with a fixed seed, and tests of the soak's processes, proxy and report.

Longer soaks are run by hand: ``gentianhoist soak --seed N``. Only those check recovery
after the faults, since it depends on the speed of the machine.
"""

import asyncio
import signal
from collections import Counter

import pytest

from soak._fleet import EntryProcess, SoakFleet, _allocate_port
from soak._proxy import FaultyProxy
from soak._report import process_lines, timeline, write_report
from soak.core import InjectedEvent, InvariantViolation, Report, run_soak


class TestSoak:
    @pytest.mark.parametrize("seed", [7])
    async def test_no_invariant_is_violated(self, seed, tmp_path):
        report = await run_soak(seed, seconds=3.0, folder=tmp_path, entries=2)
        assert report.violations == []
        assert len(report.injected_events) > 2
        assert sum(report.request_counts.values()) > 20


class TestReport:
    def _report(self) -> Report:
        return Report(
            7,
            Counter({("PRESS", 200): 2}),
            [(100.0, True), (101.2, False)],
            [
                InjectedEvent(90.0, "link 1 reset"),
                InjectedEvent(100.4, "entry <2> SIGKILL"),
            ],
            [InvariantViolation("q7", "ran 2 times")],
            "",
        )

    def test_timeline_merges_logs_of_all_processes_with_injected_events(self, tmp_path):
        line = '{"time_s":%s,"decision":"%s","request_id":"q7"}\n'
        (tmp_path / "entry-0.log").write_text(line % (100.6, "second"))
        (tmp_path / "entry-1.log").write_text(
            line % (100.2, "first") + '{"time_s":100.3,"request_id":"q77"}\n'
        )
        lines = timeline(self._report(), "q7", tmp_path)
        assert [line.split(" ")[0] for line in lines] == [
            "100.200",
            "100.400",
            "100.600",
        ]
        assert "SIGKILL" in lines[1]

    # Guards against: a process that isn't started again leaves no trace of the cause.
    def test_report_shows_starts_and_ends_of_processes(self, tmp_path):
        entry = EntryProcess(0, 1, 2, tmp_path)
        entry.log("process_not_started", cause="OSError")
        with (tmp_path / "entry-0.log").open("a") as log:
            log.write('{"time_s":1.5,"decision":"stopped"}\n{"decision":"placed"}\n')
        write_report(self._report(), tmp_path, tmp_path / "report.html")
        lines = process_lines(tmp_path)
        assert ["stopped" in line for line in lines] == [True, False]
        assert "process_not_started" in (tmp_path / "report.html").read_text()

    def test_report_shows_plot_and_violations(self, tmp_path):
        write_report(self._report(), tmp_path, tmp_path / "report.html")
        report_html = (tmp_path / "report.html").read_text()
        assert "<svg" in report_html
        assert "q7: ran 2 times" in report_html
        assert "entry &lt;2&gt; SIGKILL" in report_html


class TestEntryProcess:
    def test_ports_are_distinct(self, tmp_path, monkeypatch):
        """The caller port of an entry must differ from the peer port of all entries.

        Regression: the soak with seed 3111 allocated the same port for both.
        """

        class FakeSocket:
            ports = iter([5000, 5000, 5000, 5001, 5001, 5002, 5003])

            def __enter__(self):
                return self

            def __exit__(self, *error) -> None:
                return None

            def bind(self, address) -> None:
                return None

            def getsockname(self):
                return ("127.0.1.1", next(self.ports))

        monkeypatch.setattr("soak._fleet.socket.socket", FakeSocket)
        monkeypatch.setattr("soak._fleet._allocated_ports", set())
        peers_port = _allocate_port()
        EntryProcess(0, 1, peers_port, tmp_path)
        text = (tmp_path / "entry-0.conf").read_text()
        ports = {"5000,5000", *(f":{port}" for port in (5001, 5002))}
        assert all(port in text for port in ports)
        assert "metrics_port=5003" in text

    def test_other_signals_keep_paused_state(self, tmp_path):
        """A signal other than SIGCONT must not clear the paused state.

        Regression: in the soak with seed 905, SIGHUP cleared the paused state of an
        entry, which decides whether SIGCONT is sent, so that it never got SIGCONT.
        """
        sent_signals = []

        class FakeProcess:
            returncode = None

            def send_signal(self, signal_number) -> None:
                sent_signals.append(signal_number)

        entry = EntryProcess(0, 1, 2, tmp_path)
        entry._process = FakeProcess()
        entry.send_signal(signal.SIGSTOP)
        entry.send_signal(signal.SIGHUP)
        assert entry.is_paused
        entry.send_signal(signal.SIGCONT)
        assert not entry.is_paused
        assert len(sent_signals) == 3


class TestFaultyProxy:
    async def test_forwards_data_and_refuses_connections(self):
        async def echo(reader, writer) -> None:
            writer.write(await reader.read(10))
            await writer.drain()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        proxy = FaultyProxy(server.sockets[0].getsockname()[1])
        port = await proxy.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"abc")
        assert await reader.read(10) == b"abc"
        writer.close()
        proxy.faults.refuse = True
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            writer.write(b"abc")
            await reader.readexactly(1)
        writer.close()
        await proxy.close()
        server.close()


class FailingEntry(EntryProcess):
    """Entry whose first starts fail."""

    failures_left = 2

    async def start(self) -> None:
        if self.failures_left:
            self.failures_left -= 1
            raise OSError("no more processes")


class TestSupervisor:
    # Guards against: the supervisor ends with the first start that fails.
    async def test_entry_is_started_again_after_a_failed_start(self, tmp_path):
        fleet = SoakFleet(0, tmp_path)
        entry = FailingEntry(0, 1, 2, tmp_path)
        fleet.entries = [entry]
        supervisor = asyncio.ensure_future(fleet._supervise())
        async with asyncio.timeout(5.0):
            while entry.failures_left:
                await asyncio.sleep(0.05)
        supervisor.cancel()
        assert len(process_lines(tmp_path)) == 2
