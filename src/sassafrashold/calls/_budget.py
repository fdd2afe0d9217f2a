"""Sliding-window budget of extra calls (retries and hedges) to a service."""

import collections
import datetime

# Ratio of the budget that ordinary hedges leave to retries and to hedges of
# very late calls. There is no reserve if it would be less than one call.
_RESERVE_RATIO = 0.25
# Ratio of the allowance that is spent. Requests and extra calls take a few
# milliseconds to reach a leaf, so the same window may hold slightly more extra
# calls when it is measured at the leafs.
_USABLE_RATIO = 0.95


class ExtraCallBudget:
    """Admits extra calls within a bound for each sliding window; no I/O.

    Each window allows `ratio` extra calls per request, plus `burst`. A token
    bucket would grant the burst only once in a long period of failures; here
    every window grants it.

    After a restart the calls spent by the previous process are unknown, so the
    burst grows linearly from 0 over the first window.
    """

    def __init__(
        self,
        ratio: float,
        burst: float,
        window: datetime.timedelta,
        started: datetime.timedelta,
    ) -> None:
        """Initializes an unspent budget.

        Args:
            ratio: Extra calls per request.
            burst: This host's share of the extra calls on top of that.
            window: Length of the sliding window.
            started: Monotonic time at which this process started.
        """
        self._ratio = ratio
        self._burst = burst
        self._window = window
        self._started = started
        self._requests: collections.deque[datetime.timedelta] = (
            collections.deque()
        )
        self._extra: collections.deque[datetime.timedelta] = collections.deque()

    def set_burst(self, burst: float) -> None:
        """Changes this host's share of the burst."""
        self._burst = burst

    def add_request(self, now: datetime.timedelta) -> None:
        """Counts a request to the service.

        Args:
            now: Monotonic time.
        """
        self._requests.append(now)
        self._drop_expired(now)

    def charge(self, now: datetime.timedelta) -> None:
        """Counts an extra call that is sent even over the budget.

        Args:
            now: Monotonic time.
        """
        self._drop_expired(now)
        self._extra.append(now)

    def allowance(self, now: datetime.timedelta) -> float:
        """Returns the limit on extra calls in the window that ends now."""
        self._drop_expired(now)
        grown_ratio = min((now - self._started) / self._window, 1.0)
        burst = self._burst * max(grown_ratio, 0.0)
        return (self._ratio * len(self._requests) + burst) * _USABLE_RATIO

    def try_spend(self, now: datetime.timedelta, urgent: bool = True) -> bool:
        """Spends one extra call; returns False if the budget is exhausted.

        Args:
            now: Monotonic time.
            urgent: Whether the call may use the reserve, as a retry or as the
                hedge of a very late call.
        """
        allowance = self.allowance(now)
        reserve = 0.0 if urgent else allowance * _RESERVE_RATIO
        if reserve < 1.0:
            reserve = 0.0
        if len(self._extra) + 1 > allowance - reserve:
            return False
        self._extra.append(now)
        return True

    def _drop_expired(self, now: datetime.timedelta) -> None:
        oldest = now - self._window
        for times in (self._requests, self._extra):
            while times and times[0] <= oldest:
                times.popleft()
