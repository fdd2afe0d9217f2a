"""A log handler that never blocks, and a rate limit for log lines."""

import collections
from collections.abc import Mapping
import datetime
import logging
import os
from typing import Any
from typing import TextIO

from sassafrashold import clock as clock_lib

_SECOND = datetime.timedelta(seconds=1)


class NonBlockingHandler(logging.StreamHandler[TextIO]):
    """Writes whole lines to a file descriptor and drops what does not fit.

    A slow reader of the output must not delay requests. The number of lost
    lines is written after the next line that fits.
    """

    def __init__(self, stream: TextIO) -> None:
        """Initializes the handler.

        Args:
            stream: Stream whose file descriptor is written to; it is made
                non-blocking.
        """
        super().__init__(stream)
        self._descriptor = stream.fileno()
        os.set_blocking(self._descriptor, False)
        self._unwritten = b""
        self.lost_lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or counts it as lost."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if self.lost_lines:
            line += (
                b'{"message":"log lines lost","lines":%d}\n' % self.lost_lines
            )
        if self._write(self._unwritten):
            self._unwritten = b""
            if self._write(line):
                self.lost_lines = 0
                return
        self.lost_lines += 1

    def _write(self, data: bytes) -> bool:
        """Writes data and keeps what is left of a partly written line.

        Returns:
            False if nothing could be written without blocking.
        """
        if not data:
            return True
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed its end; the line is dropped, not counted.
            return True
        if written < len(data):
            self._unwritten = data[written:]
        return True


class LineBudget:
    """Limits the number of lines of each kind per second."""

    def __init__(self, per_second: int, clock: clock_lib.Clock) -> None:
        """Initializes the limit.

        Args:
            per_second: Maximum number of lines of one kind per second.
            clock: The clock.
        """
        self._per_second = per_second
        self._clock = clock
        self._second_start = clock.monotonic()
        self._lines_by_kind: collections.Counter[str] = collections.Counter()
        self._left_out_by_kind: collections.Counter[str] = collections.Counter()
        self.left_out = 0

    def info(
        self,
        logger: logging.Logger,
        kind: str,
        message: str,
        fields: Mapping[str, Any],
    ) -> None:
        """Logs one line of a kind at level INFO, or leaves it out.

        Args:
            logger: Where the line goes.
            kind: Kind of the line.
            message: Message of the line.
            fields: Its fields; `lines_left_out` is added.
        """
        left_out = self.admit(kind)
        if left_out is not None:
            logger.info(message, extra={**fields, "lines_left_out": left_out})

    def admit(self, kind: str) -> int | None:
        """Asks to write one line of a kind.

        Returns:
            Number of lines of the kind that were left out since the last
            admitted one; None if this line must be left out.
        """
        now = self._clock.monotonic()
        if now - self._second_start >= _SECOND:
            self._second_start = now
            self._lines_by_kind.clear()
        if self._lines_by_kind[kind] >= self._per_second:
            self._left_out_by_kind[kind] += 1
            self.left_out += 1
            return None
        self._lines_by_kind[kind] += 1
        return self._left_out_by_kind.pop(kind, 0)
