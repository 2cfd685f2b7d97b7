"""A short seeded soak: real entry processes through faults, no promise broken.

Longer ones are run by hand: ``python -m soak SEED...``. How much is served again after
the faults is judged there only, since it depends on the speed of the machine.
"""

import asyncio
import signal

import pytest

from soak._fleet import EntryProcess
from soak._proxy import FaultyProxy
from soak.core import soak


class TestSoak:
    @pytest.mark.parametrize("seed", [7])
    async def test_no_promise_is_broken(self, seed, tmp_path):
        report = await soak(seed, seconds=3.0, folder=tmp_path, entries=2)
        assert report.broken == []
        assert len(report.faults) > 2
        assert sum(report.calls.values()) > 20


class TestEntryProcess:
    def test_stays_paused_through_other_signals(self, tmp_path):
        """Seed 905: a SIGHUP to a paused entry left it paused for good."""
        sent = []

        class Process:
            returncode = None

            def send_signal(self, number) -> None:
                sent.append(number)

        entry = EntryProcess(0, 1, tmp_path)
        entry._process = Process()
        entry.signal(signal.SIGSTOP)
        entry.signal(signal.SIGHUP)
        assert entry.paused
        entry.signal(signal.SIGCONT)
        assert not entry.paused
        assert len(sent) == 3


class TestFaultyProxy:
    async def test_forwards_and_resets(self):
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
