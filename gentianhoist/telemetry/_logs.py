"""Logging as JSON lines with role, instance, availability zone and request id."""

from __future__ import annotations

import logging
import sys
from collections.abc import Mapping

import msgspec


class _JsonLinesFormatter(logging.Formatter):
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
    """Write every log record to standard error as one JSON object a line.

    Args:
        role: Role of this process, a field of each line.
        instance: Name of its instance, a field of each line.
        availability_zone: Its availability zone, a field of each line.
        level: Lowest level that is written.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        _JsonLinesFormatter({
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
    """Return a logger that adds a request id to each of its lines.

    Args:
        logger: Logger that writes the lines.
        request_id: Id of the request.

    Returns:
        The logger for the request.
    """
    return logging.LoggerAdapter(logger, {"request_id": request_id})
