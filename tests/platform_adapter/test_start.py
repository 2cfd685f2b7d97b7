"""Connections opened while an entry starts wait in the backlog and aren't refused."""

import asyncio
import subprocess
import sys

import pytest

from gentianhoist.gateway import Gateway
from gentianhoist.telemetry import DecisionLog
from gentianhoist_platform.entry import PlatformAdapter
from gentianhoist_platform.settings import gateway_settings, load_settings
from gentianhoist_platform.standins import (
    ServerStandin,
    StoreStandin,
    operator_configuration,
)
from gentianhoist_platform.start import listen_early


@pytest.fixture
def path(tmp_path, unused_tcp_port_factory):
    ports = [unused_tcp_port_factory() for _ in range(5)]
    path = tmp_path / "node.conf"
    path.write_text(
        "node_name=edge-1\nip=127.0.0.1\nzone=z1\n"
        f"listen.frontend=127.0.0.1:{ports[0]}\n"
        f"listen.ready=127.0.0.1:{ports[1]}\n"
        f"internal_ports={ports[2]},{ports[2]}\n"
        f"platform.address=127.0.0.1:{ports[3]}\n"
        f"metrics_port={ports[4]}\n"
    )
    return path


async def test_request_sent_before_the_start_is_answered(path):
    listener = listen_early(str(path))
    reader, writer = await asyncio.open_connection(*listener.getsockname())
    writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
    settings = load_settings(path, {})
    gateway = Gateway(
        gateway_settings(settings), PlatformAdapter(settings), DecisionLog({})
    )
    await gateway.start(listener)
    response = await asyncio.wait_for(reader.read(), 3.0)
    # The request lacks the platform's headers; the test needs any response to it.
    assert response.startswith(b"HTTP/1.1 400 ")
    writer.close()
    await gateway.close()


@pytest.mark.parametrize(
    "line", ["", "listen.frontend=127.0.0.1", "listen.frontend=127.0.0.1:x"]
)
def test_invalid_address_gives_no_listener(path, line, capsys):
    lines = path.read_text().splitlines()
    path.write_text("\n".join([lines[0], line, *lines[4:]]))
    assert listen_early(str(path)) is None
    assert "not listening" in capsys.readouterr().err


def test_address_in_use_gives_no_listener(path):
    first = listen_early(str(path))
    assert listen_early(str(path)) is None
    first.close()


def test_early_listener_imports_nothing_else():
    code = (
        "import sys, gentianhoist_platform.start;"
        "print('asyncio' in sys.modules, 'gentianhoist' in sys.modules)"
    )
    result = subprocess.run(
        [sys.executable, "-S", "-c", code],
        capture_output=True,
        text=True,
        check=True,
        env={"PYTHONPATH": "platform"},
    )
    assert result.stdout.split() == ["False", "False"]


class TestStartDuringStoreOutage:
    """All entries restart while the store is unreachable for some more seconds."""

    async def _send(self, path, deadline_ms: int, store_after_s: float) -> bytes:
        settings = load_settings(path, {})
        gateway = Gateway(
            gateway_settings(settings), PlatformAdapter(settings), DecisionLog({})
        )
        await gateway.start()
        reader, writer = await asyncio.open_connection(*settings.callers)
        writer.write(
            b"POST /look/x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
            b"Attempt-Id: a1\r\nKey: key-1\r\nContent-Length: 2\r\n"
            b"Deadline-Ms: %d\r\n\r\n{}" % deadline_ms
        )
        pending_response = asyncio.ensure_future(reader.read())
        await asyncio.wait([pending_response], timeout=store_after_s)
        store = StoreStandin()
        store.put("op", "config", operator_configuration(7))
        desk = ServerStandin("d0", "desk", "z1", store, streaming=False)
        await desk.start()
        await store.start(settings.store.port)
        response = await pending_response
        writer.close()
        await gateway.close()
        await desk.close()
        await store.close()
        return response

    async def test_request_with_long_deadline_waits_for_the_store(self, path):
        response = await self._send(path, deadline_ms=10_000, store_after_s=0.8)
        assert response.startswith(b"HTTP/1.1 200 ")

    async def test_request_with_short_deadline_gets_503_with_retry_after(self, path):
        response = await self._send(path, deadline_ms=600, store_after_s=0.8)
        assert response.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After" in response
