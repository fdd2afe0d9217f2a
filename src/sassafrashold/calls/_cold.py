"""The bound on requests to a cold leaf."""

import collections
import datetime

_SECOND = datetime.timedelta(seconds=1)


class ColdLimiter:
    """Admits a bounded number of requests to a leaf in each sliding second."""

    def __init__(self) -> None:
        self._sent: collections.deque[datetime.timedelta] = collections.deque()

    def note_sent(self, now: datetime.timedelta) -> None:
        """Counts a request, whether or not the leaf is cold."""
        self._sent.append(now)
        self._drop_old(now)

    def admits(self, per_second: int, now: datetime.timedelta) -> bool:
        """Returns whether one more request keeps the bound.

        Args:
            per_second: This host's share of what a cold leaf bears.
            now: Monotonic time.
        """
        self._drop_old(now)
        return len(self._sent) < per_second

    def _drop_old(self, now: datetime.timedelta) -> None:
        while self._sent and self._sent[0] <= now - _SECOND:
            self._sent.popleft()
