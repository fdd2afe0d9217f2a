"""Leafs that this host avoids because the zone detected them as outliers."""

from collections.abc import Iterable
import datetime
import random

from sassafrashold import directory
from sassafrashold.leaf_health import _outliers

# Jitter on the time for which a host avoids a leaf: hosts resume calls at
# different times, and the first ones find out whether the leaf has recovered.
_MAX_JITTER_RATIO = 0.5


class AvoidedLeafs:
    """Leafs to avoid, each for a bounded time; no I/O."""

    def __init__(self, random_source: random.Random) -> None:
        """Initializes an empty list.

        Args:
            random_source: Source of the jitter.
        """
        self._random = random_source
        self._avoid_until_by_leaf: dict[
            directory.LeafRef, datetime.timedelta
        ] = {}

    def __len__(self) -> int:
        """Returns the number of entries, with those expired since `update`."""
        return len(self._avoid_until_by_leaf)

    def update(
        self, outliers: Iterable[_outliers.Outlier], now: datetime.timedelta
    ) -> None:
        """Adds the outliers that the zone has detected.

        A leaf that is avoided already keeps its time; a leaf that is no longer
        listed is avoided until its time ends.

        Args:
            outliers: Leafs to avoid.
            now: Monotonic time.
        """
        avoid_until_by_leaf = {
            leaf: avoid_until
            for leaf, avoid_until in self._avoid_until_by_leaf.items()
            if now < avoid_until
        }
        for outlier in outliers:
            if outlier.leaf not in avoid_until_by_leaf:
                factor = self._random.uniform(1.0, 1.0 + _MAX_JITTER_RATIO)
                avoid_until_by_leaf[outlier.leaf] = (
                    now + outlier.avoid_for * factor
                )
        self._avoid_until_by_leaf = avoid_until_by_leaf

    def is_outlier(
        self, leaf: directory.LeafRef, now: datetime.timedelta
    ) -> bool:
        """Returns whether a leaf is currently avoided as an outlier.

        Args:
            leaf: The leaf.
            now: Monotonic time.
        """
        avoid_until = self._avoid_until_by_leaf.get(leaf)
        return avoid_until is not None and now < avoid_until
