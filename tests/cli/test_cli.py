"""The command line, as real processes."""

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


def _run(*arguments: str, **variables: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "gentianhoist", *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        env={**os.environ, **variables},
    )


async def _operate(fleet: EmbeddedFleet, *arguments: str):
    """Run an operator's command while the fleet's loop goes on."""
    return await asyncio.to_thread(
        _run,
        *arguments,
        GENTIANHOIST_ENTRY=fleet.entry_url(),
        GENTIANHOIST_KEY=fleet.operator_api_key,
    )


def test_help_names_every_command():
    text = _run("--help").stdout
    for name in ("entry", "sidecar", "preset", "zone", "timeline", "replay", "check"):
        assert name in text


def test_wrong_settings_exit_with_2_and_name_the_item(tmp_path):
    (tmp_path / "deployment.yaml").write_text("name: x\n")
    done = _run("check", str(tmp_path / "deployment.yaml"))
    assert done.returncode == 2
    assert "deployment.yaml: organisations: Field required" in done.stdout
    done = _run("entry", str(tmp_path / "absent.yaml"))
    assert done.returncode == 2
    assert "absent.yaml" in done.stderr + done.stdout


def test_examples_are_in_order():
    files = [str(path) for path in sorted(_EXAMPLES.glob("*/*.yaml"))]
    assert _run("check", *files).returncode == 0


async def test_operators_commands(fleet):
    status = json.loads((await _operate(fleet, "status", "--json")).stdout)
    assert status["confirmed"]
    assert {member["state"] for member in status["members"]} == {"live"}
    seen = str(status["configuration_version"])
    done = await _operate(fleet, "instance", "out", "absent-1", "--wait")
    assert done.returncode == 0
    assert "every process has it" in done.stdout
    done = await _operate(
        fleet, "instance", "in", "absent-1", "--expected-version", seen
    )
    assert done.returncode == 3
    assert "operator made version" in done.stderr + done.stdout
    done = await _operate(fleet, "preset", "switch", "absent")
    assert done.returncode == 4
    done = await _operate(fleet, "preset", "switch", "maintenance", "--dry-run")
    assert "would make version" in done.stdout
    done = await _operate(fleet, "config", "history")
    assert "set_instance" in done.stdout
    assert (await _operate(fleet, "instance", "in", "absent-1")).returncode == 0


@pytest.mark.parametrize("form", ["--json", "--html", ""])
async def test_time_line_has_all_processes(fleet, form):
    done = await _operate(fleet, "timeline", *([form] if form else []))
    for name in ("entry-0", "entry-1", "engine-0", "service-1"):
        assert name in done.stdout


async def test_entry_that_does_not_answer_exits_with_5():
    (port,) = find_free_ports(1)
    done = _run("status", GENTIANHOIST_ENTRY=f"http://127.0.0.1:{port}")
    assert done.returncode == 5


def test_processes_stop_gracefully():
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
