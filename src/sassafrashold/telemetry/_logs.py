"""JSON log lines on standard error or standard output."""

import contextvars
import logging
import sys

from pythonjsonlogger import json as jsonlogger

trace_id_variable: contextvars.ContextVar[str | None] = contextvars.ContextVar(
    "trace_id", default=None
)
"""Trace id of the request that the current task serves; None without one."""


class _TraceIdFilter(logging.Filter):
    """Adds the trace id of the current task to each record."""

    def filter(self, record: logging.LogRecord) -> bool:
        record.trace_id = trace_id_variable.get()
        return True


def configure_logging(
    process: str,
    host: str,
    level: str = "INFO",
    handler: logging.Handler | None = None,
) -> None:
    """Makes the root logger write all records as JSON lines.

    Args:
        process: Name of the binary.
        host: Host id of the process.
        level: Name of the lowest level that is written.
        handler: Where lines go; standard error if None.
    """
    if handler is None:
        handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(_TraceIdFilter())
    handler.setFormatter(
        jsonlogger.JsonFormatter(
            "{asctime}{levelname}{name}{message}{trace_id}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"process": process, "host": host},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
