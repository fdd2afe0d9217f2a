"""Log output that never blocks, and bounds on the number of lines."""

import collections
import datetime
import logging
import os
from typing import TextIO

from sassafrashold import clock as clock_lib

_SECOND = datetime.timedelta(seconds=1)


class NonBlockingHandler(logging.StreamHandler[TextIO]):
    """Writes whole lines to a file descriptor and drops what does not fit.

    A reader that does not keep up must not hold up requests. The number of
    lost lines is written with the next line that fits.
    """

    def __init__(self, stream: TextIO) -> None:
        """Initializes the handler.

        Args:
            stream: Stream whose descriptor is written; becomes non-blocking.
        """
        super().__init__(stream)
        self._descriptor = stream.fileno()
        os.set_blocking(self._descriptor, False)
        self._rest = b""
        self.lost = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or counts it as lost."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if self.lost:
            line += b'{"message":"log lines lost","lines":%d}\n' % self.lost
        if self._write(self._rest):
            self._rest = b""
            if self._write(line):
                self.lost = 0
                return
        self.lost += 1

    def _write(self, data: bytes) -> bool:
        """Writes data; keeps the rest of a line that was begun."""
        if not data:
            return True
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            return False
        except OSError:
            # The reader is gone; there is nobody to tell.
            return True
        if written < len(data):
            self._rest = data[written:]
        return True


class LineBudget:
    """Admits a number of lines of each kind in each second."""

    def __init__(self, per_second: int, clock: clock_lib.Clock) -> None:
        """Initializes the budget.

        Args:
            per_second: Lines of one kind in a second.
            clock: The clock.
        """
        self._per_second = per_second
        self._clock = clock
        self._second_start = clock.monotonic()
        self._lines_by_kind: collections.Counter[str] = collections.Counter()
        self._left_out_by_kind: collections.Counter[str] = collections.Counter()
        self.left_out = 0

    def admit(self, kind: str) -> int | None:
        """Asks for a line.

        Returns:
            Lines of the kind that were left out since the last admitted one;
            None if this one is to be left out.
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
