"""Exit codes, and leaving with them."""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from pathlib import Path
from typing import TypeVar

import cappa

_Result = TypeVar("_Result")


class ExitCode(IntEnum):
    """What the command's exit code tells."""

    OK = 0
    FAILED = 1
    BAD_SETTINGS = 2
    CONFLICT = 3
    REJECTED = 4
    UNREACHABLE = 5


def load_settings_or_exit(load: Callable[[Path], _Result], path: Path) -> _Result:
    """Load settings, or print every fault and exit with 2.

    Args:
        load: Loads a file.
        path: The file.

    Returns:
        What it loads.
    """
    try:
        return load(path)
    except ExceptionGroup as group:
        faults = "\n".join(str(error) for error in group.exceptions)
        raise cappa.Exit(faults, code=ExitCode.BAD_SETTINGS) from None
