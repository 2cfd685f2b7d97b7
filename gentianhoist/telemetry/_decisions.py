"""Log of decisions as JSON lines, written by a thread so that no caller blocks."""

from __future__ import annotations

import logging
import sys
import threading
import time
from collections import deque
from collections.abc import Iterator, Mapping
from typing import TextIO

import msgspec

__all__ = ["DecisionLog", "redirect_logging"]

_MAX_QUEUED_LINES = 5_000
_FLUSH_INTERVAL_S = 0.2
_MAX_ATOMIC_WRITE_BYTES = 4096  # PIPE_BUF on Linux
_STANDARD_RECORD_KEYS = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
}


class DecisionLog:
    """Log of decisions and events, one JSON object a line.

    Lines are queued in memory and written by a background thread, so that `record`
    never blocks on the output. Lines are dropped and counted when the queue is full or
    the write fails.

    Args:
        fields: Fields added to every recorded line.
        stream: Output stream; standard output if not given.
        max_lines: Largest number of queued lines.
    """

    def __init__(
        self,
        fields: Mapping[str, str],
        stream: TextIO | None = None,
        max_lines: int = _MAX_QUEUED_LINES,
    ) -> None:
        self._fields = dict(fields)
        self._stream = stream or sys.stdout
        self._max_lines = max_lines
        self._lines: deque[bytes] = deque()
        self._dropped_lines = 0
        self._reported_dropped_lines = 0
        self._stop = threading.Event()
        self._thread: threading.Thread | None = None
        self._encoder = msgspec.json.Encoder()

    @property
    def dropped_lines(self) -> int:
        """Number of lines dropped since the log was created."""
        return self._dropped_lines

    def start(self) -> None:
        """Start the writer thread."""
        self._thread = threading.Thread(
            target=self._write_until_stopped, name="decision-log", daemon=True
        )
        self._thread.start()

    def close(self, timeout_s: float = 0.5) -> None:
        """Stop the writer thread after it has written the queued lines.

        Args:
            timeout_s: Longest wait in seconds; lines not written by then may be lost.
        """
        self._stop.set()
        if self._thread is not None:
            self._thread.join(timeout_s)

    def record(self, decision: str, request_id: str = "", **details: object) -> None:
        """Queue one line, or drop it if the queue is full.

        Args:
            decision: Name of the decision or event.
            request_id: Id of the request concerned, if any.
            details: Further fields of the line: the inputs of the decision, with their
                ages or versions, and its outcome.
        """
        if len(self._lines) >= self._max_lines:
            self._dropped_lines += 1
            return
        line = {"time_s": round(time.time(), 3), "decision": decision}
        if request_id:
            line["request_id"] = request_id
        line.update(details)
        line.update(self._fields)
        self._lines.append(self._encoder.encode(line))

    def _write_until_stopped(self) -> None:
        while not self._stop.wait(_FLUSH_INTERVAL_S):
            self._flush()
        self._flush()

    def _flush(self) -> None:
        lines = []
        while self._lines and len(lines) < self._max_lines:
            lines.append(self._lines.popleft())
        if self._dropped_lines > self._reported_dropped_lines:
            dropped = self._dropped_lines - self._reported_dropped_lines
            self._reported_dropped_lines = self._dropped_lines
            lines.append(
                self._encoder.encode({"decision": "lines_dropped", "count": dropped})
            )
        if not lines:
            return
        for group in _group_lines(lines):
            self._write_lines(group)

    def _write_lines(self, lines: list[bytes]) -> None:
        try:
            self._stream.write(b"\n".join(lines).decode() + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # A failed log write can't be logged; the count of dropped lines shows it.
            self._dropped_lines += len(lines)


def _group_lines(lines: list[bytes]) -> Iterator[list[bytes]]:
    """Group lines into writes that a pipe accepts atomically, so that none is split.

    A line longer than the limit is a group of its own.
    """
    group: list[bytes] = []
    size = 0
    for line in lines:
        if group and size + len(line) + 1 > _MAX_ATOMIC_WRITE_BYTES:
            yield group
            group, size = [], 0
        group.append(line)
        size += len(line) + 1
    if group:
        yield group


class _DecisionLogHandler(logging.Handler):
    def __init__(self, log: DecisionLog) -> None:
        super().__init__()
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        extra = {
            key: value
            for key, value in vars(record).items()
            if key not in _STANDARD_RECORD_KEYS
            and isinstance(value, str | int | float | bool)
        }
        if record.exc_info:
            extra["exception"] = logging.Formatter().formatException(record.exc_info)
        self._log.record(
            record.getMessage(),
            level=record.levelname.lower(),
            logger=record.name,
            **extra,
        )


def redirect_logging(log: DecisionLog, level: str = "INFO") -> None:
    """Make a decision log the only handler of the root logger of `logging`.

    Args:
        log: Decision log that receives each record.
        level: Lowest level that is written.
    """
    root = logging.getLogger()
    root.handlers[:] = [_DecisionLogHandler(log)]
    root.setLevel(level.upper())
