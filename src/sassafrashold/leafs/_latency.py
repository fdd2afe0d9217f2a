"""Latency statistics of the most recent calls to a leaf."""

import bisect
import collections
import datetime

from sassafrashold.leafs import _work

_MAX_WINDOW_CALLS = 256
_DECAY_FACTOR = 0.98
_MIN_SAMPLES = 20
_SLOW_CALL_FACTOR = 3.0
_MIN_SLOWDOWN_S = 0.003
_SLOW_CALLS_FOR_JUMP = 2
# Below this variance of the batch sizes, the fitted cost per item is noise.
_MIN_SIZE_VARIANCE = 0.05
_TRIAL_BATCH_ITEMS = 4
_ITEM_TO_FIXED_COST_RATIO = 4


class Latency:
    """Latency quantiles, cost by batch size and detection of latency jumps.

    Quantiles are taken over a sliding window of calls. Durations of different
    batch sizes are normalized to a single item by an exponentially weighted
    linear fit of the duration against the number of items.
    """

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []
        self._weight_sum = 0.0
        self._size_sum = 0.0
        self._squared_size_sum = 0.0
        self._seconds_sum = 0.0
        self._product_sum = 0.0
        self._consecutive_slow_calls = 0

    def record(self, duration: datetime.timedelta, size: int) -> bool:
        """Records a successful call.

        Args:
            duration: Time from sending to the answer.
            size: Items in the call.

        Returns:
            Whether the last few calls are far slower than those of the window.
        """
        seconds = duration.total_seconds()
        single_item_s = seconds * self._single_item_ratio(size)
        jumped = self._is_jump(single_item_s)
        self._update_fit(seconds, size)
        if len(self._recent) == _MAX_WINDOW_CALLS:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        self._recent.append(single_item_s)
        bisect.insort(self._sorted, single_item_s)
        return jumped

    def quantile(self, fraction: float) -> datetime.timedelta:
        """Returns a latency quantile for one item; zero without samples."""
        if not self._sorted:
            return datetime.timedelta()
        position = min(int(fraction * len(self._sorted)), len(self._sorted) - 1)
        return datetime.timedelta(seconds=self._sorted[position])

    def expected_duration(self, size: int) -> datetime.timedelta:
        """Returns the median duration of a call with `size` items."""
        if not self._sorted:
            return datetime.timedelta()
        return self.quantile(0.5) / self._single_item_ratio(size)

    def is_slow(self, duration: datetime.timedelta, size: int) -> bool:
        """Returns whether a call takes far longer than the 95th percentile."""
        return self._is_far_above_p95(
            duration.total_seconds() * self._single_item_ratio(size)
        )

    def useful_batch_size(self) -> int:
        """Returns the batch size beyond which larger calls gain little.

        At this size the fixed cost is a fifth of the cost of the call. Without
        a usable fit, returns a size that differs from the mean one, so that
        the sizes vary enough for a fit.
        """
        fixed, per_item = self._costs()
        if fixed <= 0 and self._variance() < _MIN_SIZE_VARIANCE:
            average_size = (
                self._size_sum / self._weight_sum if self._weight_sum else 1.0
            )
            return (
                _TRIAL_BATCH_ITEMS
                if average_size < _TRIAL_BATCH_ITEMS / 2
                else 1
            )
        if per_item <= 0:
            return _work.MAX_BATCH_ITEMS
        size = _ITEM_TO_FIXED_COST_RATIO * fixed / per_item
        return max(1, min(int(size), _work.MAX_BATCH_ITEMS))

    def max_items_within(self, duration: datetime.timedelta) -> int:
        """Returns how many items fit into a call of a duration; at least 1."""
        fixed, per_item = self._costs()
        if per_item <= 0:
            return _work.MAX_BATCH_ITEMS
        return max(1, int((duration.total_seconds() - fixed) / per_item))

    def _variance(self) -> float:
        if self._weight_sum == 0:
            return 0.0
        mean_size = self._size_sum / self._weight_sum
        return self._squared_size_sum / self._weight_sum - mean_size**2

    def _costs(self) -> tuple[float, float]:
        """Returns the fixed cost of a call and the cost per item, in seconds.

        Without enough variance in the batch sizes, the whole cost is attributed
        to the items. This never underestimates the cost of a larger call.
        """
        if self._weight_sum == 0:
            return 0.0, 0.0
        mean_size = self._size_sum / self._weight_sum
        mean_s = self._seconds_sum / self._weight_sum
        variance = self._variance()
        if variance < _MIN_SIZE_VARIANCE:
            return 0.0, mean_s / mean_size
        covariance = self._product_sum / self._weight_sum - mean_size * mean_s
        per_item = min(max(covariance / variance, 0.0), mean_s / mean_size)
        return mean_s - per_item * mean_size, per_item

    def _single_item_ratio(self, size: int) -> float:
        """Returns the cost of a one-item call divided by that of this size."""
        fixed, per_item = self._costs()
        call_cost = fixed + per_item * size
        return (fixed + per_item) / call_cost if call_cost > 0 else 1.0

    def _update_fit(self, seconds: float, size: int) -> None:
        self._weight_sum = self._weight_sum * _DECAY_FACTOR + 1
        self._size_sum = self._size_sum * _DECAY_FACTOR + size
        self._squared_size_sum = (
            self._squared_size_sum * _DECAY_FACTOR + size**2
        )
        self._seconds_sum = self._seconds_sum * _DECAY_FACTOR + seconds
        self._product_sum = self._product_sum * _DECAY_FACTOR + seconds * size

    def _is_far_above_p95(self, single_item_s: float) -> bool:
        if len(self._sorted) < _MIN_SAMPLES:
            return False
        p95 = self._sorted[int(0.95 * len(self._sorted))]
        return single_item_s > max(
            p95 * _SLOW_CALL_FACTOR, p95 + _MIN_SLOWDOWN_S
        )

    def _is_jump(self, single_item_s: float) -> bool:
        if not self._is_far_above_p95(single_item_s):
            self._consecutive_slow_calls = 0
            return False
        self._consecutive_slow_calls += 1
        return self._consecutive_slow_calls >= _SLOW_CALLS_FOR_JUMP
