"""The ``gentianhoist`` command."""

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
    """Show the whole path on embedded stand-ins, in one process."""

    def __call__(self) -> int:
        """Run the demo."""
        # Imported here so that no daemon loads the demo.
        from gentianhoist.demo import run_demo

        return ExitCode.OK if uvloop.run(run_demo()) else ExitCode.FAILED


@cappa.command(name="key")
@dataclass(kw_only=True)
class KeyCommand:
    """Make an idempotency key."""

    def __call__(self) -> int:
        """Print the key."""
        print(new_idempotency_key())
        return ExitCode.OK


@cappa.command(name="gentianhoist")
@dataclass(kw_only=True)
class Gentianhoist:
    """Serve prompts of very unlike lengths.

    Exit codes: 0 done; 1 failed; 2 wrong settings or arguments; 3 the configuration has
    moved on; 4 the change is rejected; 5 the entry doesn't answer.

    Operators' commands take --entry and --key, or the variables GENTIANHOIST_ENTRY and
    GENTIANHOIST_KEY.
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
    """Run the command line."""
    sys.exit(cappa.invoke(Gentianhoist, version=__version__))
