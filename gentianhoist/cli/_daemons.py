"""Commands that run a process until it is told to stop."""

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
    """A process of gentianhoist."""

    async def start(self) -> None:
        """Start to serve."""

    async def drain(self) -> None:
        """Take no new work, and finish what is in progress."""

    async def close(self) -> None:
        """Stop at once."""


async def _serve(process: Process) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await process.start()
    await stop.wait()
    await process.drain()
    await process.close()


def run_process(make_process) -> None:  # type: ignore[no-untyped-def]
    """Run a process until SIGTERM or SIGINT, then stop it gracefully.

    Args:
        make_process: Makes the process inside the event loop.
    """

    async def _main() -> None:
        await _serve(make_process())

    uvloop.run(_main())


@cappa.command(name="entry")
@dataclass(kw_only=True)
class EntryCommand:
    """Run an entry.

    Stops gracefully on SIGTERM or SIGINT: it is not ready at once, finishes the
    requests in progress, gives back its share of the allowance, and exits with 0.
    """

    settings: Annotated[Path, cappa.Arg(help="The entry's YAML file.")]

    def __call__(self) -> int:
        """Run until told to stop."""
        # Each role imports only its own libraries, which halves a sidecar's memory.
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
    """Run an entry on the users' platform.

    Stops gracefully on SIGTERM or SIGINT, and reads its settings again on SIGHUP.
    """

    settings: Annotated[
        Path | None, cappa.Arg(help="By default the file that the environment names.")
    ] = None

    def __call__(self) -> int:
        """Run until told to stop."""
        from gentianhoist_platform.entry import main as run

        return run(self.settings)


@cappa.command(name="sidecar")
@dataclass(kw_only=True)
class SidecarCommand:
    """Run the sidecar of one backend server.

    Stops gracefully on SIGTERM or SIGINT: it takes no new work, finishes what is in
    progress, and exits with 0.
    """

    settings: Annotated[Path, cappa.Arg(help="The sidecar's YAML file.")]

    def __call__(self) -> int:
        """Run until told to stop."""
        from gentianhoist.sidecar import Sidecar

        settings, deployment = load_settings_or_exit(load_sidecar, self.settings)
        configure_logging(
            "sidecar", settings.instance, settings.availability_zone, settings.log_level
        )
        run_process(lambda: Sidecar(settings, deployment))
        return ExitCode.OK
