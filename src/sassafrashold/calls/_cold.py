"""Rate limit for cold leafs."""

import collections
import datetime

_SECOND = datetime.timedelta(seconds=1)


class ColdLimiter:
    """Limits the requests to a leaf in each sliding window of one second."""

    def __init__(self) -> None:
        self._sent_at: collections.deque[datetime.timedelta] = (
            collections.deque()
        )

    def request_sent(self, now: datetime.timedelta) -> None:
        """Counts a request, whether or not the leaf is cold."""
        self._sent_at.append(now)
        self._drop_expired(now)

    def admits(self, max_per_second: int, now: datetime.timedelta) -> bool:
        """Returns whether one more request is within the limit.

        Args:
            max_per_second: This host's share of the limit of a cold leaf.
            now: Monotonic time.
        """
        self._drop_expired(now)
        return len(self._sent_at) < max_per_second

    def _drop_expired(self, now: datetime.timedelta) -> None:
        while self._sent_at and self._sent_at[0] <= now - _SECOND:
            self._sent_at.popleft()
