"""Logging as JSON lines, with role, instance, zone and request id on each."""

from __future__ import annotations

import logging
import sys
from collections.abc import Mapping

import msgspec


class _JsonLines(logging.Formatter):
    def __init__(self, fields: Mapping[str, str]) -> None:
        super().__init__()
        self._fields = dict(fields)

    def format(self, record: logging.LogRecord) -> str:
        line = {
            "time_s": round(record.created, 6),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
            **self._fields,
        }
        request_id = getattr(record, "request_id", "")
        if request_id:
            line["request_id"] = request_id
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def configure_logging(
    role: str, instance: str, availability_zone: str, level: str = "INFO"
) -> None:
    """Send every log record to standard error as one JSON object a line.

    Args:
        role: Role of this process.
        instance: Name of its instance.
        availability_zone: Its availability zone.
        level: Lowest level that is written.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        _JsonLines({
            "role": role,
            "instance": instance,
            "availability_zone": availability_zone,
        })
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def make_request_logger(
    logger: logging.Logger, request_id: str
) -> logging.LoggerAdapter:
    """A logger that puts the request id on each of its lines."""
    return logging.LoggerAdapter(logger, {"request_id": request_id})
