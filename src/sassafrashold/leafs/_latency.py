"""Latency of one leaf over its most recent calls."""

import bisect
import collections
import datetime

from sassafrashold.leafs import _work

_WINDOW_CALLS = 256
_DECAY = 0.98
_MIN_SAMPLES = 20
_JUMP_FACTOR = 3.0
_JUMP_FLOOR_S = 0.003
_JUMP_CALLS = 2
# With less spread in batch sizes the fit of the cost per item is noise.
_MIN_SIZE_VARIANCE = 0.05
_TRIAL_BATCH = 4
_FIXED_COST_SHARE = 4


class Latency:
    """Quantiles over a sliding window, cost per batch size, jump detection.

    Durations are made comparable over batch sizes by a decaying linear fit of
    the duration against the number of items.
    """

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []
        self._weight = 0.0
        self._sizes = 0.0
        self._square_sizes = 0.0
        self._seconds = 0.0
        self._products = 0.0
        self._slow_in_a_row = 0

    def record(self, duration: datetime.timedelta, size: int) -> bool:
        """Adds a successful call.

        Args:
            duration: Time from sending to the answer.
            size: Items in the call.

        Returns:
            Whether the last few calls show a jump against the window.
        """
        seconds = duration.total_seconds()
        single = seconds * self._ratio(size)
        jumped = self._is_jump(single)
        self._fit(seconds, size)
        if len(self._recent) == _WINDOW_CALLS:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        self._recent.append(single)
        bisect.insort(self._sorted, single)
        return jumped

    def quantile(self, fraction: float) -> datetime.timedelta:
        """Returns a quantile of single-item calls; zero without samples."""
        if not self._sorted:
            return datetime.timedelta()
        position = min(int(fraction * len(self._sorted)), len(self._sorted) - 1)
        return datetime.timedelta(seconds=self._sorted[position])

    def expected(self, size: int) -> datetime.timedelta:
        """Returns the usual duration of a call with `size` items."""
        if not self._sorted:
            return datetime.timedelta()
        return self.quantile(0.5) / self._ratio(size)

    def is_slow(self, duration: datetime.timedelta, size: int) -> bool:
        """Returns whether a call takes far longer than is usual."""
        return self._exceeds_usual(duration.total_seconds() * self._ratio(size))

    def useful_batch(self) -> int:
        """Returns the size from which larger calls gain little.

        At this size the fixed cost of a call is a fifth of the whole. Without
        a fit, another size than the usual one is tried so that one can be made.
        """
        fixed, per_item = self._costs()
        if fixed <= 0 and self._variance() < _MIN_SIZE_VARIANCE:
            usual = self._sizes / self._weight if self._weight else 1.0
            return _TRIAL_BATCH if usual < _TRIAL_BATCH / 2 else 1
        if per_item <= 0:
            return _work.MAX_BATCH_ITEMS
        size = _FIXED_COST_SHARE * fixed / per_item
        return max(1, min(int(size), _work.MAX_BATCH_ITEMS))

    def batch_within(self, duration: datetime.timedelta) -> int:
        """Returns how many items a call of that duration has; at least 1."""
        fixed, per_item = self._costs()
        if per_item <= 0:
            return _work.MAX_BATCH_ITEMS
        return max(1, int((duration.total_seconds() - fixed) / per_item))

    def _variance(self) -> float:
        if self._weight == 0:
            return 0.0
        mean_size = self._sizes / self._weight
        return self._square_sizes / self._weight - mean_size**2

    def _costs(self) -> tuple[float, float]:
        """Returns the fixed cost of a call and the cost per item.

        While all calls have had the same size, all cost is taken as cost per
        item, which is the careful reading.
        """
        if self._weight == 0:
            return 0.0, 0.0
        mean_size = self._sizes / self._weight
        mean = self._seconds / self._weight
        variance = self._variance()
        if variance < _MIN_SIZE_VARIANCE:
            return 0.0, mean / mean_size
        covariance = self._products / self._weight - mean_size * mean
        per_item = min(max(covariance / variance, 0.0), mean / mean_size)
        return mean - per_item * mean_size, per_item

    def _ratio(self, size: int) -> float:
        """Returns the cost of one item divided by that of a whole call."""
        fixed, per_item = self._costs()
        whole = fixed + per_item * size
        return (fixed + per_item) / whole if whole > 0 else 1.0

    def _fit(self, seconds: float, size: int) -> None:
        self._weight = self._weight * _DECAY + 1
        self._sizes = self._sizes * _DECAY + size
        self._square_sizes = self._square_sizes * _DECAY + size**2
        self._seconds = self._seconds * _DECAY + seconds
        self._products = self._products * _DECAY + seconds * size

    def _exceeds_usual(self, single: float) -> bool:
        if len(self._sorted) < _MIN_SAMPLES:
            return False
        usual = self._sorted[int(0.95 * len(self._sorted))]
        return single > max(usual * _JUMP_FACTOR, usual + _JUMP_FLOOR_S)

    def _is_jump(self, single: float) -> bool:
        if not self._exceeds_usual(single):
            self._slow_in_a_row = 0
            return False
        self._slow_in_a_row += 1
        return self._slow_in_a_row >= _JUMP_CALLS
