"""Quantiles of recent durations, kept in two rotating histograms."""

import datetime

from hdrh import histogram

_MICROSECOND = datetime.timedelta(microseconds=1)
_UNIT_US = 10
_MAX_UNITS = 6_000_000
_DIGITS = 1
_REFRESH_SAMPLES = 32


class RecentQuantiles:
    """Quantiles of the durations of the last one to two windows.

    The values are computed anew after some samples only, because a query of the
    histogram takes about ten times as long as a recording.
    """

    __slots__ = (
        "_current",
        "_percentiles",
        "_previous",
        "_since_refresh",
        "_values",
        "_window",
        "_window_end",
        "min_samples",
    )

    def __init__(
        self,
        percentiles: tuple[float, ...],
        window: datetime.timedelta = datetime.timedelta(seconds=5),
        min_samples: int = 20,
    ) -> None:
        """Initializes an empty record.

        Args:
            percentiles: Which quantiles, each 0 to 100.
            window: Time that a histogram covers.
            min_samples: Fewer recent samples give no value.
        """
        self.min_samples = min_samples
        self._percentiles = percentiles
        self._window = window
        self._window_end = datetime.timedelta()
        self._current = histogram.HdrHistogram(1, _MAX_UNITS, _DIGITS)
        self._previous = histogram.HdrHistogram(1, _MAX_UNITS, _DIGITS)
        self._since_refresh = 0
        self._values: tuple[datetime.timedelta, ...] | None = None

    def values(
        self, now: datetime.timedelta
    ) -> tuple[datetime.timedelta, ...] | None:
        """Returns the quantiles; None without enough recent samples.

        Args:
            now: Monotonic time.
        """
        if now >= self._window_end + self._window:
            return None
        return self._values

    def record(
        self, duration: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Records a duration; the histogram resolves about 6%."""
        if now >= self._window_end:
            self._rotate(now)
        units = int(duration / _MICROSECOND / _UNIT_US)
        self._current.record_value(min(max(units, 1), _MAX_UNITS))
        self._since_refresh += 1
        if self._since_refresh >= _REFRESH_SAMPLES or self._values is None:
            self._refresh()

    def _rotate(self, now: datetime.timedelta) -> None:
        self._previous, self._current = self._current, self._previous
        if now >= self._window_end + self._window:
            self._previous.reset()
            # The value of samples that are gone must not come back.
            self._values = None
        self._current.reset()
        self._window_end = now + self._window

    def _refresh(self) -> None:
        self._since_refresh = 0
        samples = (
            self._current.get_total_count() + self._previous.get_total_count()
        )
        if samples < self.min_samples:
            self._values = None
            return
        self._values = tuple(
            self._units(percentile) * _UNIT_US * _MICROSECOND
            for percentile in self._percentiles
        )

    def _units(self, percentile: float) -> int:
        return max(
            int(recorded.get_value_at_percentile(percentile))
            for recorded in (self._current, self._previous)
            if recorded.get_total_count()
        )


class RecentQuantile(RecentQuantiles):
    """One quantile of recent durations."""

    __slots__ = ()

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
        super().__init__((percentile,), window, min_samples)

    def value(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Returns the quantile; None without enough recent samples.

        Args:
            now: Monotonic time.
        """
        values = self.values(now)
        return None if values is None else values[0]
