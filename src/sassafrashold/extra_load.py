"""Budget for extra leaf calls made by hedges and retries."""

# The capacity of the bucket bounds the burst of extra calls after a time in
# which few were made: the tokens earned by `_MAX_BURST_QUERIES` queries, but at
# least the minimum, which lets a service with few shards save up for the loss
# of a leaf.
_MIN_BURST_CALLS = 10.0
_MAX_BURST_QUERIES = 4
# Tokens that only urgent calls may take: a share of the capacity, but at least
# the minimum.
_MIN_RESERVE_CALLS = 5.0
_RESERVE_RATIO = 0.125


class ExtraLoadBudget:
    """A token bucket that primary sub-queries refill.

    The bucket starts empty, so after n primary sub-queries at most
    `percent` * n / 100 extra calls have been allowed. In any interval, at
    most the bucket's capacity is allowed on top of this share of the primaries
    in the interval.
    """

    def __init__(self, percent: float) -> None:
        """Initializes an empty bucket.

        Args:
            percent: Extra calls per hundred primary sub-queries.
        """
        self.percent = percent
        self._tokens = 0.0
        self._capacity = _MIN_BURST_CALLS
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
        earned_tokens = primaries * self.percent / 100
        self._capacity = max(
            _MIN_BURST_CALLS, earned_tokens * _MAX_BURST_QUERIES
        )
        self._tokens = min(self._tokens + earned_tokens, self._capacity)

    def try_spend(self, urgent: bool = True) -> bool:
        """Takes a token for one extra call; False if there is none.

        Args:
            urgent: Whether the call may use the reserve. Hedges at the p95
                must not: they are sent all the time and would leave no tokens
                for the sub-queries of a straggler, which wait much longer.
        """
        reserve = 0.0
        if not urgent:
            reserve = max(_MIN_RESERVE_CALLS, self._capacity * _RESERVE_RATIO)
        if self._tokens < 1.0 + reserve:
            self.denied += 1
            return False
        self._tokens -= 1.0
        self.spent += 1
        return True
