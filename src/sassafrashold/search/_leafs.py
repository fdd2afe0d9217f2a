"""Latency, failures and back-off of leafs and owners, seen by this process.

What leafs report about themselves is only a hint, so replicas are chosen by
the measurements of this process. Latencies include the hop to the owner and
the time in its queue.
"""

import datetime
import random

from sassafrashold import quantiles
from sassafrashold import settings

_ZERO = datetime.timedelta()
_MICROSECOND = datetime.timedelta(microseconds=1)
HEDGE_DELAY_MIN = datetime.timedelta(milliseconds=2)
# Used until a replica of the shard has enough samples for a p95.
HEDGE_DELAY_UNKNOWN = datetime.timedelta(milliseconds=100)

_HEDGE_PERCENTILE = 95

_SAMPLE_WEIGHT = 0.1
# A sub-query that lost to a hedge was cancelled before its latency was known.
# Twice its elapsed time is the expected latency if the tail of the latency
# distribution falls with the square of the latency.
_CENSORED_FACTOR = 2
_SLOW_FACTOR = 2
_SLOW_SLACK_US = 1000.0
# A slow leaf gets an occasional primary sub-query as a probe, to detect its
# recovery. A probe that stays slow delays its query until a hedge answers, so
# the interval grows until the probes no longer show in the p99. The answer to a
# probe has a much larger weight in the estimate than an ordinary sample.
_PROBE_INTERVAL_MIN = datetime.timedelta(seconds=3)
_PROBE_INTERVAL_MAX = datetime.timedelta(seconds=24)
_PROBE_WEIGHT = 0.5

_BACKOFF_MIN = datetime.timedelta(milliseconds=100)
_BACKOFF_MAX = datetime.timedelta(seconds=5)
_BACKOFF_MAX_DOUBLINGS = 6
# About the duration of one leaf call. After it, the owner decides again whether
# the leaf has a free slot.
_BUSY_DURATION = datetime.timedelta(milliseconds=20)
_OWNERSHIP_MOVE_BACKOFF = datetime.timedelta(milliseconds=50)
_VERSION_GONE_DURATION = datetime.timedelta(seconds=10)


class Backoff:
    """Failure back-off of one peer: exponential, with jitter of 50 to 100%."""

    __slots__ = ("_failures", "_next_attempt_at")

    def __init__(self) -> None:
        self._failures = 0
        self._next_attempt_at = _ZERO

    def is_active(self, now: datetime.timedelta) -> bool:
        """Returns whether the peer should be avoided."""
        return self._failures > 0 and now < self._next_attempt_at

    def fail(
        self, now: datetime.timedelta, random_source: random.Random
    ) -> None:
        """Records a failure; failures during the back-off are not counted."""
        if now < self._next_attempt_at:
            return
        doublings = min(self._failures, _BACKOFF_MAX_DOUBLINGS)
        ceiling = min(_BACKOFF_MIN * 2**doublings, _BACKOFF_MAX)
        self._failures += 1
        self._next_attempt_at = now + ceiling * random_source.uniform(0.5, 1.0)

    def avoid_for(
        self, now: datetime.timedelta, duration: datetime.timedelta
    ) -> None:
        """Starts or extends a back-off of a given, bounded duration."""
        self._failures = max(self._failures, 1)
        self._next_attempt_at = max(
            self._next_attempt_at, now + min(duration, _BACKOFF_MAX)
        )

    def succeed(self) -> None:
        """Records a success, which ends the back-off."""
        self._failures = 0
        self._next_attempt_at = _ZERO


class LeafRecord:
    """Latency, load and back-off of one leaf, as seen by this process."""

    __slots__ = (
        "_estimate_us",
        "_is_probe_pending",
        "_next_probe",
        "_p95",
        "_probe_interval",
        "backoff",
        "busy_until",
        "in_flight",
        "is_warming",
    )

    def __init__(self) -> None:
        self.backoff = Backoff()
        self.busy_until = _ZERO
        self.in_flight = 0
        # Whether the owner reported the leaf as cold with the last result.
        self.is_warming = False
        self._estimate_us = 0.0
        self._next_probe = _ZERO
        self._probe_interval = _PROBE_INTERVAL_MIN
        self._is_probe_pending = False
        self._p95 = quantiles.RecentQuantile(_HEDGE_PERCENTILE)

    @property
    def estimate_us(self) -> float:
        """Exponentially weighted mean latency; 0 without any sample."""
        return self._estimate_us

    def claim_probe(self, now: datetime.timedelta) -> bool:
        """Returns whether a slow leaf may be probed; reserves the probe."""
        if now < self._next_probe:
            return False
        self._probe_interval = min(
            self._probe_interval * 2, _PROBE_INTERVAL_MAX
        )
        self._next_probe = now + self._probe_interval
        self._is_probe_pending = True
        return True

    def hedge_delay(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Returns the leaf's p95; None without enough recent samples."""
        delay = self._p95.value(now)
        return None if delay is None else max(delay, HEDGE_DELAY_MIN)

    def record(
        self, latency: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Records the latency of an answered sub-query."""
        micros = latency / _MICROSECOND
        if (
            not self._is_probe_pending
            or micros < self._estimate_us / _SLOW_FACTOR
        ):
            self._probe_interval = _PROBE_INTERVAL_MIN
        self._update_estimate(micros, now)
        self._p95.record(latency, now)

    def record_unfinished(
        self, elapsed: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Records a sub-query that was cancelled or timed out.

        Its latency is unknown, so the expected latency is used, and only if it
        raises the estimate.
        """
        micros = elapsed / _MICROSECOND * _CENSORED_FACTOR
        if micros > self._estimate_us:
            self._update_estimate(micros, now)

    def _update_estimate(self, micros: float, now: datetime.timedelta) -> None:
        if not self._estimate_us:
            self._estimate_us = micros
            return
        weight = _PROBE_WEIGHT if self._is_probe_pending else _SAMPLE_WEIGHT
        self._is_probe_pending = False
        self._estimate_us += weight * (micros - self._estimate_us)
        self._next_probe = now + self._probe_interval


class LeafTracker:
    """The records of all leafs and owners that this process has called."""

    def __init__(self, random_source: random.Random) -> None:
        """Initializes an empty tracker.

        Args:
            random_source: Source of the jitter.
        """
        self._random = random_source
        self._record_by_leaf: dict[str, LeafRecord] = {}
        self._backoff_by_owner: dict[settings.Address, Backoff] = {}
        self._version_gone_until: dict[tuple[str, str], datetime.timedelta] = {}
        self.version_gone_changes = 0

    def leaf(self, leaf_id: str) -> LeafRecord:
        """Returns the record of a leaf; creates it on first use."""
        record = self._record_by_leaf.get(leaf_id)
        if record is None:
            record = self._record_by_leaf[leaf_id] = LeafRecord()
        return record

    def leaf_failed(self, leaf_id: str, now: datetime.timedelta) -> None:
        """Records a failed call of a leaf, which starts its back-off."""
        self.leaf(leaf_id).backoff.fail(now, self._random)

    def leaf_moving(self, leaf_id: str, now: datetime.timedelta) -> None:
        """Starts a short back-off while the ownership of a leaf moves."""
        self.leaf(leaf_id).backoff.avoid_for(now, _OWNERSHIP_MOVE_BACKOFF)

    def leaf_busy(self, leaf_id: str, now: datetime.timedelta) -> None:
        """Records that an extra call was refused: the leaf is busy or cold."""
        self.leaf(leaf_id).busy_until = now + _BUSY_DURATION

    def owner_failed(
        self, owner: settings.Address, now: datetime.timedelta
    ) -> None:
        """Records that an owner could not be reached."""
        backoff = self._backoff_by_owner.setdefault(owner, Backoff())
        backoff.fail(now, self._random)

    def owner_answered(self, owner: settings.Address) -> None:
        """Records an answer of an owner, which ends its back-off."""
        if self._backoff_by_owner:
            self._backoff_by_owner.pop(owner, None)

    def is_owner_avoided(
        self, owner: settings.Address, now: datetime.timedelta
    ) -> bool:
        """Returns whether an owner is in failure back-off."""
        backoff = self._backoff_by_owner.get(owner)
        return backoff is not None and backoff.is_active(now)

    def has_unreachable_owners(self) -> bool:
        """Returns whether any owner has not answered since it failed."""
        return bool(self._backoff_by_owner)

    def version_gone(
        self, leaf_id: str, version: str, now: datetime.timedelta
    ) -> None:
        """Records that a leaf no longer holds a version."""
        if not self.is_version_gone(leaf_id, version, now):
            self.version_gone_changes += 1
        self._version_gone_until[(leaf_id, version)] = (
            now + _VERSION_GONE_DURATION
        )

    def is_version_gone(
        self, leaf_id: str, version: str, now: datetime.timedelta
    ) -> bool:
        """Returns whether a leaf recently reported that it lacks a version."""
        until = self._version_gone_until.get((leaf_id, version))
        return until is not None and now < until

    def expire(self, now: datetime.timedelta) -> None:
        """Forgets gone versions that were recorded too long ago."""
        expired = [
            key
            for key, until in self._version_gone_until.items()
            if now >= until
        ]
        for key in expired:
            del self._version_gone_until[key]
        self.version_gone_changes += bool(expired)

    def retain(self, leaf_ids: frozenset[str]) -> None:
        """Forgets all leafs that are not in `leaf_ids`."""
        for leaf_id in self._record_by_leaf.keys() - leaf_ids:
            del self._record_by_leaf[leaf_id]

    def leaf_states(
        self, now: datetime.timedelta
    ) -> dict[str, tuple[datetime.timedelta, bool]]:
        """Returns (latency estimate, whether in back-off) by leaf id."""
        return {
            leaf_id: (
                record.estimate_us * _MICROSECOND,
                record.backoff.is_active(now),
            )
            for leaf_id, record in self._record_by_leaf.items()
        }


def is_slow(estimate_us: float, best_us: float) -> bool:
    """Returns whether a leaf is much slower than the best replica."""
    return estimate_us > best_us * _SLOW_FACTOR + _SLOW_SLACK_US
