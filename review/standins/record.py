"""Record of what was sent, answered and run."""

from __future__ import annotations

import time
from pathlib import Path

__all__ = ["Record"]


class Record:
    """Writes lines with the seconds since its creation.

    Args:
        path: File that is written anew.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def write(self, line: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._start_s:8.3f} {line}\n")
        self._file.flush()
