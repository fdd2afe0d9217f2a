"""Quantiles of recent durations, kept in two rotating histograms."""

import datetime

from hdrh import histogram

_MICROSECOND = datetime.timedelta(microseconds=1)
_UNIT_US = 10
_MAX_UNITS = 6_000_000
_DIGITS = 1
_REFRESH_SAMPLES = 32


class RecentQuantile:
    """One quantile of the durations of the last one to two windows.

    The value is computed anew after some samples only, because a query of the
    histogram takes about ten times as long as a recording.
    """

    __slots__ = (
        "_current",
        "_percentile",
        "_previous",
        "_since_refresh",
        "_value",
        "_window",
        "_window_end",
        "min_samples",
    )

    def __init__(
        self,
        percentile: float,
        window: datetime.timedelta = datetime.timedelta(seconds=5),
        min_samples: int = 20,
    ) -> None:
        """Initializes an empty record.

        Args:
            percentile: Which quantile, 0 to 100.
            window: Time that a histogram covers.
            min_samples: Fewer recent samples give no value.
        """
        self.min_samples = min_samples
        self._percentile = percentile
        self._window = window
        self._window_end = datetime.timedelta()
        self._current = histogram.HdrHistogram(1, _MAX_UNITS, _DIGITS)
        self._previous = histogram.HdrHistogram(1, _MAX_UNITS, _DIGITS)
        self._since_refresh = 0
        self._value: datetime.timedelta | None = None

    def value(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Returns the quantile; None without enough recent samples.

        Args:
            now: Monotonic time.
        """
        if now >= self._window_end + self._window:
            return None
        return self._value

    def record(
        self, duration: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Records a duration; the histogram resolves about 6%."""
        if now >= self._window_end:
            self._rotate(now)
        units = int(duration / _MICROSECOND / _UNIT_US)
        self._current.record_value(min(max(units, 1), _MAX_UNITS))
        self._since_refresh += 1
        if self._since_refresh >= _REFRESH_SAMPLES or self._value is None:
            self._refresh()

    def _rotate(self, now: datetime.timedelta) -> None:
        self._previous, self._current = self._current, self._previous
        if now >= self._window_end + self._window:
            self._previous.reset()
            # The value of samples that are gone must not come back.
            self._value = None
        self._current.reset()
        self._window_end = now + self._window

    def _refresh(self) -> None:
        self._since_refresh = 0
        samples = (
            self._current.get_total_count() + self._previous.get_total_count()
        )
        if samples < self.min_samples:
            self._value = None
            return
        units = max(
            recorded.get_value_at_percentile(self._percentile)
            for recorded in (self._current, self._previous)
            if recorded.get_total_count()
        )
        self._value = units * _UNIT_US * _MICROSECOND
