"""One JSON line a decision, written by a thread so that nothing waits for it."""

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

_MAX_LINES = 5_000
_FLUSH_S = 0.2
_WHOLE_WRITE_BYTES = 4096
_RESERVED = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class DecisionLog:
    """Queues lines for a writer thread; drops and counts what it can't keep.

    Args:
        fields: Put on every line.
        stream: Where lines go; standard output if not given.
        max_lines: Lines queued at the most.
    """

    def __init__(
        self,
        fields: Mapping[str, str],
        stream: TextIO | None = None,
        max_lines: int = _MAX_LINES,
    ) -> None:
        self._fields = dict(fields)
        self._stream = stream or sys.stdout
        self._max_lines = max_lines
        self._lines: deque[bytes] = deque()
        self._dropped = 0
        self._reported = 0
        self._stop = threading.Event()
        self._thread: threading.Thread | None = None
        self._encoder = msgspec.json.Encoder()

    @property
    def dropped_lines(self) -> int:
        """Lines dropped since the start."""
        return self._dropped

    def start(self) -> None:
        """Start the writer."""
        self._thread = threading.Thread(
            target=self._write_until_stopped, name="decision-log", daemon=True
        )
        self._thread.start()

    def close(self, timeout_s: float = 0.5) -> None:
        """Write what is queued, for a bounded time."""
        self._stop.set()
        if self._thread is not None:
            self._thread.join(timeout_s)

    def record(self, decision: str, request_id: str = "", **inputs: object) -> None:
        """Queue a line.

        Args:
            decision: What was decided or learnt.
            request_id: The request that it touches, if any.
            inputs: What decided it, with ages or versions, and the outcome.
        """
        if len(self._lines) >= self._max_lines:
            self._dropped += 1
            return
        line = {"time_s": round(time.time(), 3), "decision": decision}
        if request_id:
            line["request_id"] = request_id
        line.update(inputs)
        line.update(self._fields)
        self._lines.append(self._encoder.encode(line))

    def _write_until_stopped(self) -> None:
        while not self._stop.wait(_FLUSH_S):
            self._flush()
        self._flush()

    def _flush(self) -> None:
        lines = []
        while self._lines and len(lines) < self._max_lines:
            lines.append(self._lines.popleft())
        if self._dropped > self._reported:
            dropped = self._dropped - self._reported
            self._reported = self._dropped
            lines.append(
                self._encoder.encode({"decision": "lines_dropped", "count": dropped})
            )
        if not lines:
            return
        for chunk in _chunks(lines):
            self._write(chunk)

    def _write(self, lines: list[bytes]) -> None:
        try:
            self._stream.write(b"\n".join(lines).decode() + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # There is nowhere left to say it; the counter shows it.
            self._dropped += len(lines)


def _chunks(lines: list[bytes]) -> Iterator[list[bytes]]:
    """Lines in groups that a pipe takes whole, so that none is torn."""
    group: list[bytes] = []
    size = 0
    for line in lines:
        if group and size + len(line) + 1 > _WHOLE_WRITE_BYTES:
            yield group
            group, size = [], 0
        group.append(line)
        size += len(line) + 1
    if group:
        yield group


class _ToDecisionLog(logging.Handler):
    def __init__(self, log: DecisionLog) -> None:
        super().__init__()
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        extra = {
            key: value
            for key, value in vars(record).items()
            if key not in _RESERVED and isinstance(value, str | int | float | bool)
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
    """Send every record of `logging` to a decision log.

    Args:
        log: Where lines go.
        level: Lowest level that is written.
    """
    root = logging.getLogger()
    root.handlers[:] = [_ToDecisionLog(log)]
    root.setLevel(level.upper())
