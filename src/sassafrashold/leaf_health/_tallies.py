"""Results of the calls of one host since its last health report."""

import dataclasses
import datetime

from sassafrashold import directory


@dataclasses.dataclass(frozen=True)
class Tally:
    """Results of the calls to one leaf."""

    leaf: directory.LeafRef
    """The leaf."""

    good: int
    """Calls answered in the usual time."""

    bad: int
    """Calls that failed, were slow or got no answer."""

    first_bad_age: datetime.timedelta
    """Time since the first bad call; 0 if there is none."""

    last_bad_age: datetime.timedelta
    """Time since the last bad call; 0 if there is none."""


@dataclasses.dataclass
class _MutableTally:
    """A tally in progress."""

    good: int = 0
    """Calls answered in the usual time."""

    bad: int = 0
    """Calls that failed, were slow or got no answer."""

    first_bad_at: datetime.timedelta = datetime.timedelta()
    """Monotonic time of the first bad call; unset if `bad` is 0."""

    last_bad_at: datetime.timedelta = datetime.timedelta()
    """Monotonic time of the last bad call; unset if `bad` is 0."""


class TallyCounter:
    """Counts good and bad calls by leaf; no I/O."""

    def __init__(self) -> None:
        self._count_by_leaf: dict[directory.LeafRef, _MutableTally] = {}

    def add_call(
        self, leaf: directory.LeafRef, bad: bool, now: datetime.timedelta
    ) -> None:
        """Counts a call that has ended.

        Args:
            leaf: The leaf that was called.
            bad: Whether it failed, was slow or got no answer.
            now: Monotonic time.
        """
        count = self._count_by_leaf.setdefault(leaf, _MutableTally())
        if not bad:
            count.good += 1
            return
        if not count.bad:
            count.first_bad_at = now
        count.last_bad_at = now
        count.bad += 1

    def pop_all(self, now: datetime.timedelta) -> tuple[Tally, ...]:
        """Returns the tallies since the previous call and resets them.

        Args:
            now: Monotonic time.
        """
        tallies = tuple(
            Tally(
                leaf,
                count.good,
                count.bad,
                now - count.first_bad_at if count.bad else datetime.timedelta(),
                now - count.last_bad_at if count.bad else datetime.timedelta(),
            )
            for leaf, count in self._count_by_leaf.items()
        )
        self._count_by_leaf.clear()
        return tallies
