"""The budget of extra leaf calls by hedges and retries."""

# Bounds the extra calls that can follow each other after a quiet time. The
# minimum lets a service with few shards save up for the loss of a leaf.
_MIN_BURST = 10.0
_BURST_QUERIES = 4


class ExtraLoadBudget:
    """A token bucket that is filled by primary sub-queries.

    The bucket starts empty, so after n primary sub-queries at most
    `percent` * n / 100 extra calls have been allowed.
    """

    def __init__(self, percent: float) -> None:
        """Initializes an empty bucket.

        Args:
            percent: Extra calls per hundred primary sub-queries.
        """
        self.percent = percent
        self._tokens = 0.0
        self._capacity = _MIN_BURST
        self.spent = 0
        self.denied = 0

    @property
    def tokens(self) -> float:
        """Extra calls that are allowed now."""
        return self._tokens

    def with_percent(self, percent: float) -> "ExtraLoadBudget":
        """Returns a bucket with another rate and the same tokens."""
        budget = ExtraLoadBudget(percent)
        budget._tokens = self._tokens if percent else 0.0
        budget._capacity = self._capacity
        return budget

    def earn(self, primaries: int) -> None:
        """Adds the tokens of a query's primary sub-queries."""
        gain = primaries * self.percent / 100
        self._capacity = max(_MIN_BURST, gain * _BURST_QUERIES)
        self._tokens = min(self._tokens + gain, self._capacity)

    def try_spend(self) -> bool:
        """Takes a token for one extra call; False if there is none."""
        if self._tokens < 1.0:
            self.denied += 1
            return False
        self._tokens -= 1.0
        self.spent += 1
        return True
