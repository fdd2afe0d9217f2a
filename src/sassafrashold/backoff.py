"""Delays between attempts."""

import dataclasses
import datetime
import random


@dataclasses.dataclass(frozen=True, kw_only=True)
class Backoff:
    """Exponential delays with full jitter, for a bounded number of attempts."""

    attempts: int = 4
    """Number of attempts, the first one included."""

    base: datetime.timedelta = datetime.timedelta(milliseconds=25)
    """Longest delay before the second attempt."""

    cap: datetime.timedelta = datetime.timedelta(milliseconds=500)
    """Longest delay before any attempt."""

    def delay(self, attempt: int) -> datetime.timedelta:
        """Returns a random delay to wait after attempt number `attempt`.

        Args:
            attempt: Number of attempts made so far, from 1.
        """
        ceiling = min(self.cap, self.base * 2.0 ** min(attempt - 1, 16))
        return ceiling * random.random()
