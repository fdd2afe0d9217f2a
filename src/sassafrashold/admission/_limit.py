"""Adaptive concurrency limits."""

import datetime

_DECREASE_FACTOR = 0.85
_ZERO = datetime.timedelta()


class ConcurrencyLimit:
    """Concurrency limit with additive increase, multiplicative decrease (AIMD).

    A round is as many requests as the limit allows at once. The limit grows by
    about one per round while it is fully used and nothing is congested. It
    decreases at most once per round, because requests that started before a
    decrease do not show its effect.
    """

    def __init__(self, initial: float, minimum: float, maximum: float) -> None:
        self._value = initial
        self._minimum = minimum
        self._maximum = maximum
        self._last_decrease = _ZERO

    @property
    def value(self) -> int:
        """Maximum number of concurrent requests."""
        return int(self._value)

    def record_finish(
        self,
        started: datetime.timedelta,
        now: datetime.timedelta,
        running: int,
        congested: bool,
        rounds: float | None = None,
    ) -> None:
        """Adapts the limit after a request has ended.

        Args:
            started: Monotonic start of the request.
            now: Monotonic time.
            running: Requests still running after this one has ended.
            congested: Whether the request showed signs of overload, for
                example more time queued than in service, or load shedding.
            rounds: Rounds that this sample stands for; None for a single
                request, which is one part in `value` of a round.
        """
        if congested:
            if started >= self._last_decrease:
                self._last_decrease = now
                self._value = max(self._minimum, self._value * _DECREASE_FACTOR)
        elif running + 1 >= self.value:
            increase = 1 / self._value if rounds is None else rounds
            self._value = min(self._maximum, self._value + increase)
