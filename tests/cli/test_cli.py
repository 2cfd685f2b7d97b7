"""Tests of the command line, run as subprocesses."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from gentianhoist.demo import EmbeddedFleet, find_free_ports

_EXAMPLES = Path(__file__).parents[2] / "examples"


def _run(*arguments: str, **environment: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "gentianhoist", *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        env={**os.environ, **environment},
    )


async def _run_as_operator(fleet: EmbeddedFleet, *arguments: str):
    """Run an operator's command in a thread, so that the fleet's event loop runs on."""
    return await asyncio.to_thread(
        _run,
        *arguments,
        GENTIANHOIST_ENTRY=fleet.entry_url(),
        GENTIANHOIST_KEY=fleet.operator_api_key,
    )


def test_help_names_main_commands():
    text = _run("--help").stdout
    for name in ("entry", "sidecar", "preset", "zone", "timeline", "replay", "check"):
        assert name in text


def test_invalid_settings_exit_with_2_and_name_the_field(tmp_path):
    (tmp_path / "deployment.yaml").write_text("name: x\n")
    result = _run("check", str(tmp_path / "deployment.yaml"))
    assert result.returncode == 2
    assert "deployment.yaml: organisations: Field required" in result.stdout
    result = _run("entry", str(tmp_path / "absent.yaml"))
    assert result.returncode == 2
    assert "absent.yaml" in result.stderr + result.stdout


def test_example_settings_are_valid():
    files = [str(path) for path in sorted(_EXAMPLES.glob("*/*.yaml"))]
    assert _run("check", *files).returncode == 0


async def test_operator_commands_and_their_exit_codes(fleet):
    status = json.loads((await _run_as_operator(fleet, "status", "--json")).stdout)
    assert status["confirmed"]
    assert {member["state"] for member in status["members"]} == {"live"}
    version = str(status["configuration_version"])
    result = await _run_as_operator(fleet, "instance", "out", "absent-1", "--wait")
    assert result.returncode == 0
    assert "applied by all instances" in result.stdout
    result = await _run_as_operator(
        fleet, "instance", "in", "absent-1", "--expected-version", version
    )
    assert result.returncode == 3
    assert "operator made version" in result.stderr + result.stdout
    result = await _run_as_operator(fleet, "preset", "switch", "absent")
    assert result.returncode == 4
    result = await _run_as_operator(
        fleet, "preset", "switch", "maintenance", "--dry-run"
    )
    assert "would become version" in result.stdout
    result = await _run_as_operator(fleet, "config", "history")
    assert "set_instance" in result.stdout
    assert (await _run_as_operator(fleet, "instance", "in", "absent-1")).returncode == 0


@pytest.mark.parametrize("output_flag", ["--json", "--html", ""])
async def test_timeline_has_events_of_all_processes(fleet, output_flag):
    result = await _run_as_operator(
        fleet, "timeline", *([output_flag] if output_flag else [])
    )
    for name in ("entry-0", "entry-1", "engine-0", "service-1"):
        assert name in result.stdout


async def test_unreachable_entry_exits_with_5():
    (port,) = find_free_ports(1)
    result = _run("status", GENTIANHOIST_ENTRY=f"http://127.0.0.1:{port}")
    assert result.returncode == 5


def test_process_exits_with_0_on_sigterm():
    (port,) = find_free_ports(1)
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "gentianhoist",
            "standin",
            "engine",
            "--port",
            str(port),
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert "listening" in process.stdout.readline()
    process.send_signal(signal.SIGTERM)
    assert process.wait(timeout=10) == 0
