"""Detection of outlier leafs from the call tallies of all hosts of a zone."""

import collections
from collections.abc import Iterable
import dataclasses
import datetime

from sassafrashold import directory
from sassafrashold.leaf_health import _tallies

_ZERO = datetime.timedelta()
# Older tallies are ignored.
_TALLY_WINDOW = datetime.timedelta(milliseconds=1500)
# Bad calls within a shorter span may come from a single pause of the leaf,
# which is over before the other hosts are notified.
_MIN_FAILURE_SPAN = datetime.timedelta(milliseconds=250)
_MIN_BAD_CALLS = 3
# Threshold for a leaf that was an outlier shortly before.
_MIN_BAD_CALLS_OF_RECENT_OUTLIER = 2
_MIN_BAD_CALL_RATIO = 0.4
# A single host that is slow itself measures every leaf as slow.
_MIN_REPORTING_HOSTS = 2
# Time for which a leaf is avoided; doubled each time that the leaf is detected
# again shortly afterwards.
_INITIAL_AVOID_TIME = datetime.timedelta(seconds=1)
_MAX_AVOID_TIME = datetime.timedelta(seconds=4)


@dataclasses.dataclass(frozen=True)
class Outlier:
    """A leaf that fails or is slow for several hosts."""

    leaf: directory.LeafRef
    """The leaf."""

    avoid_for: datetime.timedelta
    """Remaining time for which the leaf is avoided."""


@dataclasses.dataclass(frozen=True)
class _HostTally:
    """A tally of one host, with times on the local clock."""

    host: str
    """Name of the reporting host."""

    received_at: datetime.timedelta
    """Monotonic time at which the report arrived."""

    good: int
    """Calls answered in the usual time."""

    bad: int
    """Calls that failed or were slow."""

    first_bad_at: datetime.timedelta
    """Monotonic time of the first bad call."""

    last_bad_at: datetime.timedelta
    """Monotonic time of the last bad call."""


@dataclasses.dataclass(frozen=True)
class _AvoidPeriod:
    """Latest period in which an outlier is, or was, avoided."""

    avoid_until: datetime.timedelta
    """Monotonic time at which the period ends."""

    avoid_time: datetime.timedelta
    """Length of the period."""


class OutlierDetector:
    """Detects leafs that are slow or fail for several hosts; no I/O."""

    def __init__(self) -> None:
        self._tallies_by_leaf: dict[
            directory.LeafRef, collections.deque[_HostTally]
        ] = {}
        self._period_by_leaf: dict[directory.LeafRef, _AvoidPeriod] = {}

    def add(
        self,
        host: str,
        tallies: Iterable[_tallies.Tally],
        now: datetime.timedelta,
    ) -> tuple[directory.LeafRef, ...]:
        """Adds the tallies of a host and updates the outliers.

        Args:
            host: Name of the host.
            tallies: Results of its calls, by leaf.
            now: Monotonic time.

        Returns:
            Newly detected outliers.
        """
        detected = []
        for tally in tallies:
            recent = self._tallies_by_leaf.setdefault(
                tally.leaf, collections.deque()
            )
            recent.append(
                _HostTally(
                    host,
                    now,
                    tally.good,
                    tally.bad,
                    now - tally.first_bad_age,
                    now - tally.last_bad_age,
                )
            )
            if tally.bad and self._detect(tally.leaf, now):
                detected.append(tally.leaf)
        return tuple(detected)

    def outliers(self, now: datetime.timedelta) -> tuple[Outlier, ...]:
        """Returns the current outliers.

        Args:
            now: Monotonic time.
        """
        self._drop_expired(now)
        return tuple(
            Outlier(leaf, period.avoid_until - now)
            for leaf, period in self._period_by_leaf.items()
            if now < period.avoid_until
        )

    def _detect(self, leaf: directory.LeafRef, now: datetime.timedelta) -> bool:
        """Returns whether a leaf has just become an outlier."""
        period = self._period_by_leaf.get(leaf)
        if period is not None and now < period.avoid_until:
            return False
        min_bad = (
            _MIN_BAD_CALLS
            if period is None
            else _MIN_BAD_CALLS_OF_RECENT_OUTLIER
        )
        if not _is_outlier(self._recent_tallies(leaf, now), min_bad):
            return False
        avoid_time = _INITIAL_AVOID_TIME
        if period is not None:
            avoid_time = min(period.avoid_time * 2, _MAX_AVOID_TIME)
        self._period_by_leaf[leaf] = _AvoidPeriod(now + avoid_time, avoid_time)
        return True

    def _recent_tallies(
        self, leaf: directory.LeafRef, now: datetime.timedelta
    ) -> collections.deque[_HostTally]:
        recent = self._tallies_by_leaf[leaf]
        while recent and now - recent[0].received_at > _TALLY_WINDOW:
            recent.popleft()
        return recent

    def _drop_expired(self, now: datetime.timedelta) -> None:
        for leaf in list(self._tallies_by_leaf):
            if not self._recent_tallies(leaf, now):
                del self._tallies_by_leaf[leaf]
        for leaf, period in list(self._period_by_leaf.items()):
            # Until then the leaf keeps its lower threshold and doubled time.
            if now - period.avoid_until > _TALLY_WINDOW + period.avoid_time:
                del self._period_by_leaf[leaf]


def _is_outlier(recent: Iterable[_HostTally], min_bad: int) -> bool:
    tallies_with_bad_calls = [item for item in recent if item.bad]
    bad = sum(item.bad for item in tallies_with_bad_calls)
    total = bad + sum(item.good for item in recent)
    if bad < min_bad or bad < _MIN_BAD_CALL_RATIO * total:
        return False
    if (
        len({item.host for item in tallies_with_bad_calls})
        < _MIN_REPORTING_HOSTS
    ):
        return False
    first = min(item.first_bad_at for item in tallies_with_bad_calls)
    last = max(item.last_bad_at for item in tallies_with_bad_calls)
    return last - first >= _MIN_FAILURE_SPAN
