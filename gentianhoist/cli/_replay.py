"""The command that replays recorded traces of decisions."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from gentianhoist.cli._exit_codes import ExitCode
from gentianhoist.replay import ReplayMismatch, load_trace, replay_trace


@cappa.command(name="replay")
@dataclass(kw_only=True)
class ReplayCommand:
    """Replay recorded traces of decisions and compare the outcomes."""

    files: Annotated[list[Path], cappa.Arg(help="Traces in JSON Lines format.")]

    def __call__(self) -> int:
        """Replay the traces; exits with 1 if one differs and 2 if one is unreadable."""
        code = ExitCode.OK
        for file in self.files:
            try:
                trace = load_trace(file)
                calls = replay_trace(trace)
            except ReplayMismatch as fault:
                print(f"{file.name}: {fault}")
                code = ExitCode.FAILED
            except (OSError, ValueError, msgspec.MsgspecError) as error:
                message = f"{file.name}: not a readable trace: {error}"
                raise cappa.Exit(message, code=ExitCode.BAD_SETTINGS) from None
            else:
                print(f"{file.name}: {calls} calls as recorded ({trace.header.title})")
        return code
