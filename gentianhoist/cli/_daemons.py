"""Commands that run an entry or a sidecar until SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Protocol

import cappa
import uvloop

from gentianhoist.cli._exit_codes import ExitCode, load_settings_or_exit
from gentianhoist.settings import load_entry, load_sidecar
from gentianhoist.telemetry import configure_logging


class Process(Protocol):
    """A server with a graceful shutdown, as an entry or a sidecar."""

    async def start(self) -> None:
        """Start serving."""

    async def drain(self) -> None:
        """Accept no new requests, and wait for those in progress."""

    async def close(self) -> None:
        """Close all connections without waiting."""


async def _serve(process: Process) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await process.start()
    await stop.wait()
    await process.drain()
    await process.close()


def run_process(make_process) -> None:  # type: ignore[no-untyped-def]
    """Run a server until SIGTERM or SIGINT, then drain and close it.

    Args:
        make_process: Function without arguments that returns the `Process`; it is
            called inside the event loop.
    """

    async def _main() -> None:
        await _serve(make_process())

    uvloop.run(_main())


@cappa.command(name="entry")
@dataclass(kw_only=True)
class EntryCommand:
    """Run an entry.

    On SIGTERM or SIGINT it reports that it is not ready, finishes the requests in
    progress, returns its share of the rate limit, and exits with code 0.
    """

    settings: Annotated[
        Path, cappa.Arg(help="YAML file with the settings of the entry.")
    ]

    def __call__(self) -> int:
        """Run until SIGTERM or SIGINT; returns the exit code."""
        # Imported here, so that a sidecar doesn't load the libraries of an entry, which
        # would double its memory.
        from gentianhoist.entry import Entry

        settings, deployment = load_settings_or_exit(load_entry, self.settings)
        configure_logging(
            "entry", settings.instance, settings.availability_zone, settings.log_level
        )
        run_process(lambda: Entry(settings, deployment))
        return ExitCode.OK


@cappa.command(name="platform-entry")
@dataclass(kw_only=True)
class PlatformEntryCommand:
    """Run an entry on the platform that `gentianhoist_platform` adapts to.

    Drains and exits on SIGTERM or SIGINT, and reloads its settings on SIGHUP.
    """

    settings: Annotated[
        Path | None, cappa.Arg(help="By default the file named in the environment.")
    ] = None

    def __call__(self) -> int:
        """Run until SIGTERM or SIGINT; returns the exit code."""
        from gentianhoist_platform.entry import main as run

        return run(self.settings)


@cappa.command(name="sidecar")
@dataclass(kw_only=True)
class SidecarCommand:
    """Run the sidecar of one backend server.

    On SIGTERM or SIGINT it accepts no new requests, finishes those in progress, and
    exits with code 0.
    """

    settings: Annotated[
        Path, cappa.Arg(help="YAML file with the settings of the sidecar.")
    ]

    def __call__(self) -> int:
        """Run until SIGTERM or SIGINT; returns the exit code."""
        from gentianhoist.sidecar import Sidecar

        settings, deployment = load_settings_or_exit(load_sidecar, self.settings)
        configure_logging(
            "sidecar", settings.instance, settings.availability_zone, settings.log_level
        )
        run_process(lambda: Sidecar(settings, deployment))
        return ExitCode.OK
