"""Call history of one incarnation of a leaf, as seen by this host."""

import datetime

from sassafrashold.calls import _cold

_ZERO = datetime.timedelta()
# Avoid time after a single failure, which may come from a short pause of the
# leaf: pauses end within this time.
_FIRST_AVOID_TIME = datetime.timedelta(milliseconds=200)
# Avoid time after the second failure in a row; doubled with each further one.
_REPEATED_AVOID_TIME = datetime.timedelta(milliseconds=400)
_MAX_AVOID_TIME = datetime.timedelta(seconds=4)
_MAX_DOUBLINGS = 4
# Minimum avoid time in mean intervals between calls, doubled with each failure:
# a host that rarely calls a leaf would else hit a slow leaf with every call.
_MIN_AVOIDED_CALLS = 1.5
_MAX_CALL_INTERVAL = datetime.timedelta(seconds=2)
# Weight of the latest interval in the moving average.
_CALL_INTERVAL_WEIGHT = 0.25


class LeafRecord:
    """In-flight calls and consecutive failures of a leaf.

    A slow answer counts as a failure. After a first failure the leaf is avoided
    for the length of a pause, or for a few call intervals if calls are rare.
    Each further failure in a row doubles the time, so that a leaf is tried
    again soon after a pause and rarely while it stays slow.
    """

    __slots__ = (
        "_avoid_until",
        "_call_interval",
        "_consecutive_failures",
        "_last_failure_at",
        "_last_sent_at",
        "cold",
        "sent_at_by_call",
    )

    def __init__(self) -> None:
        self.sent_at_by_call: dict[object, datetime.timedelta] = {}
        self.cold = _cold.ColdLimiter()
        self._consecutive_failures = 0
        self._avoid_until = _ZERO
        self._last_failure_at = _ZERO
        self._last_sent_at: datetime.timedelta | None = None
        self._call_interval = _ZERO

    @property
    def open_calls(self) -> int:
        """Number of calls in flight."""
        return len(self.sent_at_by_call)

    @property
    def consecutive_failures(self) -> int:
        """Failures and slow answers in a row; those of one pause count once."""
        return self._consecutive_failures

    def call_sent(self, call: object, now: datetime.timedelta) -> None:
        """Records a call that is sent now."""
        if self._last_sent_at is not None:
            interval = min(now - self._last_sent_at, _MAX_CALL_INTERVAL)
            self._call_interval += (
                interval - self._call_interval
            ) * _CALL_INTERVAL_WEIGHT
        self._last_sent_at = now
        self.sent_at_by_call[call] = now
        self.cold.request_sent(now)

    def call_ended(
        self,
        call: object,
        now: datetime.timedelta,
        slow_from: datetime.timedelta,
        failed: bool,
    ) -> datetime.timedelta:
        """Records the end of a call that was answered or failed.

        Args:
            call: The call given to `call_sent`.
            now: Monotonic time.
            slow_from: Duration from which an answer counts as slow.
            failed: Whether the call failed.

        Returns:
            The duration of the call.
        """
        sent_at = self.sent_at_by_call.pop(call, now)
        if failed or now - sent_at >= slow_from:
            # A call sent before the last failure has the same cause.
            if sent_at >= self._last_failure_at:
                self._record_failure(now)
        elif sent_at >= self._last_failure_at:
            self._consecutive_failures = 0
            self._avoid_until = _ZERO
        return now - sent_at

    def call_cancelled(
        self, call: object, now: datetime.timedelta, overdue: bool
    ) -> None:
        """Records that this host no longer waits for a call.

        Args:
            call: The call given to `call_sent`.
            now: Monotonic time.
            overdue: Whether the call has taken longer than usual, which counts
                as a failure.
        """
        sent_at = self.sent_at_by_call.pop(call, None)
        if overdue and sent_at is not None and sent_at >= self._last_failure_at:
            self._record_failure(now)

    def is_avoided(
        self, now: datetime.timedelta, overdue_from: datetime.timedelta
    ) -> bool:
        """Returns whether other leafs are preferred to this one.

        Args:
            now: Monotonic time.
            overdue_from: Age from which an open call counts against the leaf.
        """
        if now < self._avoid_until:
            return True
        if not self.sent_at_by_call:
            return False
        oldest = next(iter(self.sent_at_by_call.values()))
        return now - oldest >= overdue_from

    def _record_failure(self, now: datetime.timedelta) -> None:
        self._last_failure_at = now
        self._consecutive_failures += 1
        doublings = min(self._consecutive_failures - 1, _MAX_DOUBLINGS + 1)
        by_time = _FIRST_AVOID_TIME if doublings == 0 else _REPEATED_AVOID_TIME
        by_time *= 2 ** max(doublings - 1, 0)
        by_calls = self._call_interval * (_MIN_AVOIDED_CALLS * 2**doublings)
        self._avoid_until = now + min(max(by_time, by_calls), _MAX_AVOID_TIME)
