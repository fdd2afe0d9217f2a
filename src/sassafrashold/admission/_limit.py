"""Adaptive concurrency limits."""

import datetime

_DECREASE = 0.85
_ZERO = datetime.timedelta()


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease.

    The limit grows by about one per round of requests while it is in use and
    nothing is congested. It falls at most once per round, because the requests
    that started before a decrease say nothing about its effect.
    """

    def __init__(self, initial: float, minimum: float, maximum: float) -> None:
        self._value = initial
        self._minimum = minimum
        self._maximum = maximum
        self._last_decrease = _ZERO

    @property
    def value(self) -> int:
        """Requests that may run at once."""
        return int(self._value)

    def finished(
        self,
        started: datetime.timedelta,
        now: datetime.timedelta,
        running: int,
        congested: bool,
        rounds: float | None = None,
    ) -> None:
        """Adapts the limit after a request.

        Args:
            started: Monotonic start of the request.
            now: Monotonic time.
            running: Requests that ran just before this one ended.
            congested: Whether it waited more than it worked, or was shed.
            rounds: How many rounds of requests it stands for; a single request
                is its part of one round.
        """
        if congested:
            if started >= self._last_decrease:
                self._last_decrease = now
                self._value = max(self._minimum, self._value * _DECREASE)
        elif running + 1 >= self.value:
            gain = 1 / self._value if rounds is None else rounds
            self._value = min(self._maximum, self._value + gain)
