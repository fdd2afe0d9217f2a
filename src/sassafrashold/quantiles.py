"""Quantiles of recent durations, kept in two rotating histograms."""

import datetime

from hdrh import histogram

_MICROSECOND = datetime.timedelta(microseconds=1)
_RESOLUTION_US = 10
_MAX_UNITS = 6_000_000
_SIGNIFICANT_DIGITS = 1
_SAMPLES_PER_REFRESH = 32


class RecentQuantiles:
    """Quantiles of the durations of the last one to two windows.

    The quantiles are recomputed only every `_SAMPLES_PER_REFRESH` samples,
    because a query of the histogram takes about ten times as long as recording
    a sample.
    """

    __slots__ = (
        "_current",
        "_percentiles",
        "_previous",
        "_samples_since_refresh",
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
        """Initializes the histograms without samples.

        Args:
            percentiles: Percentiles to compute, each from 0 to 100.
            window: Time that a histogram covers.
            min_samples: Minimum number of recent samples; with fewer there is
                no value.
        """
        self.min_samples = min_samples
        self._percentiles = percentiles
        self._window = window
        self._window_end = datetime.timedelta()
        self._current = histogram.HdrHistogram(
            1, _MAX_UNITS, _SIGNIFICANT_DIGITS
        )
        self._previous = histogram.HdrHistogram(
            1, _MAX_UNITS, _SIGNIFICANT_DIGITS
        )
        self._samples_since_refresh = 0
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
        """Records a duration; the histogram's resolution is about 6%."""
        if now >= self._window_end:
            self._rotate(now)
        units = int(duration / _MICROSECOND / _RESOLUTION_US)
        self._current.record_value(min(max(units, 1), _MAX_UNITS))
        self._samples_since_refresh += 1
        if (
            self._samples_since_refresh >= _SAMPLES_PER_REFRESH
            or self._values is None
        ):
            self._refresh()

    def _rotate(self, now: datetime.timedelta) -> None:
        self._previous, self._current = self._current, self._previous
        if now >= self._window_end + self._window:
            self._previous.reset()
            # Quantiles of expired samples must not be returned again.
            self._values = None
        self._current.reset()
        self._window_end = now + self._window

    def _refresh(self) -> None:
        self._samples_since_refresh = 0
        samples = (
            self._current.get_total_count() + self._previous.get_total_count()
        )
        if samples < self.min_samples:
            self._values = None
            return
        self._values = tuple(
            self._quantile_units(percentile) * _RESOLUTION_US * _MICROSECOND
            for percentile in self._percentiles
        )

    def _quantile_units(self, percentile: float) -> int:
        return max(
            int(window_histogram.get_value_at_percentile(percentile))
            for window_histogram in (self._current, self._previous)
            if window_histogram.get_total_count()
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
        """Initializes the histograms without samples.

        Args:
            percentile: Percentile to compute, from 0 to 100.
            window: Time that a histogram covers.
            min_samples: Minimum number of recent samples; with fewer there is
                no value.
        """
        super().__init__((percentile,), window, min_samples)

    def value(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Returns the quantile; None without enough recent samples.

        Args:
            now: Monotonic time.
        """
        values = self.values(now)
        return None if values is None else values[0]
