"""The ``gentianhoist`` command and its subcommands."""

from __future__ import annotations

import sys
from dataclasses import dataclass

import cappa
import uvloop

from gentianhoist import __version__
from gentianhoist.calls import new_idempotency_key
from gentianhoist.cli._daemons import EntryCommand, PlatformEntryCommand, SidecarCommand
from gentianhoist.cli._exit_codes import ExitCode
from gentianhoist.cli._operators import (
    ConfigCommand,
    InstanceCommand,
    OrderCommand,
    PresetCommand,
    StatusCommand,
    TimelineCommand,
    ZoneCommand,
)
from gentianhoist.cli._replay import ReplayCommand
from gentianhoist.cli._settings import CheckCommand, SettingsCommand
from gentianhoist.cli._soak import SoakCommand
from gentianhoist.cli._standins import StandinCommand

__all__ = ["Gentianhoist", "main"]


@cappa.command(name="demo")
@dataclass(kw_only=True)
class DemoCommand:
    """Run a demo fleet with stand-ins for all external systems, in one process."""

    def __call__(self) -> int:
        """Run the demo; returns the exit code."""
        # Imported here, so that entries and sidecars don't load the demo.
        from gentianhoist.demo import run_demo

        return ExitCode.OK if uvloop.run(run_demo()) else ExitCode.FAILED


@cappa.command(name="key")
@dataclass(kw_only=True)
class KeyCommand:
    """Generate an idempotency key."""

    def __call__(self) -> int:
        """Print the key; returns the exit code."""
        print(new_idempotency_key())
        return ExitCode.OK


@cappa.command(name="gentianhoist")
@dataclass(kw_only=True)
class Gentianhoist:
    """Serve LLM requests whose prompts have very different lengths.

    Exit codes: 0 success; 1 failure; 2 invalid settings or arguments; 3 the
    configuration has changed since the expected version; 4 the change is rejected; 5
    the entry doesn't respond.

    Operators' commands take --entry and --key, or the environment variables
    GENTIANHOIST_ENTRY and GENTIANHOIST_KEY.
    """

    command: cappa.Subcommands[
        EntryCommand
        | SidecarCommand
        | PlatformEntryCommand
        | StatusCommand
        | PresetCommand
        | ZoneCommand
        | InstanceCommand
        | ConfigCommand
        | OrderCommand
        | TimelineCommand
        | CheckCommand
        | SettingsCommand
        | ReplayCommand
        | KeyCommand
        | DemoCommand
        | SoakCommand
        | StandinCommand
    ]


def main() -> None:
    """Run the command line and exit with the code of the command."""
    sys.exit(cappa.invoke(Gentianhoist, version=__version__))
