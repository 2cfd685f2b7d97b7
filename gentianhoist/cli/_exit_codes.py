"""Exit codes of the command line."""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from pathlib import Path
from typing import TypeVar

import cappa

_Settings = TypeVar("_Settings")


class ExitCode(IntEnum):
    """Exit code of a command.

    Attributes:
        OK: Success.
        FAILED: Any failure that has no code of its own.
        BAD_SETTINGS: Settings, arguments or input files are invalid.
        CONFLICT: The configuration has changed since the expected version.
        REJECTED: The entry rejected the change as invalid.
        UNREACHABLE: The entry doesn't respond.
    """

    OK = 0
    FAILED = 1
    BAD_SETTINGS = 2
    CONFLICT = 3
    REJECTED = 4
    UNREACHABLE = 5


def load_settings_or_exit(load: Callable[[Path], _Settings], path: Path) -> _Settings:
    """Load a settings file, or print all its errors and exit.

    Args:
        load: Function that loads the file.
        path: The file.

    Returns:
        The settings that ``load`` returns.

    Raises:
        cappa.Exit: With code 2 if the settings are invalid.
    """
    try:
        return load(path)
    except ExceptionGroup as errors:
        messages = "\n".join(str(error) for error in errors.exceptions)
        raise cappa.Exit(messages, code=ExitCode.BAD_SETTINGS) from None
