"""Weighted random choice of a replica for a shard."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
import datetime
import random

from sassafrashold import settings
from sassafrashold.search import _leafs
from sassafrashold.search import _topology

_STRAGGLER_FACTOR = 2


# A cold leaf is slow, but it warms up only if it gets calls.
_WARMING_WEIGHT_FACTOR = 0.5


class ReplicaChooser:
    """Chooses leafs by zone weight, in-flight calls, latency and failures.

    A replica is healthy if neither its leaf nor its owner is in failure
    back-off and its zone can be reached. Among healthy replicas that are not
    slow, the choice is random in proportion to the zone weight divided by the
    sub-queries that this process already has open at the leaf.
    """

    def __init__(
        self,
        tracker: _leafs.LeafTracker,
        random_source: random.Random,
        owner_of: Callable[[_topology.Replica], settings.Address | None],
        reachable_zones: frozenset[str] | None = None,
    ) -> None:
        """Initializes the chooser for one query.

        Args:
            tracker: Back-off state of leafs and owners.
            random_source: Source of the weighted choice.
            owner_of: Returns the address to which a sub-query would be sent.
            reachable_zones: Zones whose owners are known and can be reached;
                others are avoided. None means all.
        """
        self._tracker = tracker
        self._random = random_source
        self._owner_of = owner_of
        self._reachable_zones = reachable_zones
        self._check_owners = tracker.has_unreachable_owners()

    def primary(
        self, replicas: Sequence[_topology.Replica], now: datetime.timedelta
    ) -> _topology.Replica:
        """Chooses the replica for the first attempt."""
        if len(replicas) == 1:
            return replicas[0]
        healthy = [r for r in replicas if self._is_healthy(r, now)]
        return self._pick_weighted(healthy or replicas, now)

    def hedge(
        self,
        replicas: Sequence[_topology.Replica],
        now: datetime.timedelta,
        tried: Collection[str],
    ) -> _topology.Replica | None:
        """Chooses a healthy replica that is not busy; None if there is none."""
        candidates = [
            r
            for r in replicas
            if r.leaf_id not in tried
            and now >= r.record.busy_until
            and self._is_healthy(r, now)
        ]
        return self._pick_weighted(candidates, now) if candidates else None

    def retry(
        self,
        replicas: Sequence[_topology.Replica],
        now: datetime.timedelta,
        excluded: Collection[str],
        tried: Collection[str],
    ) -> _topology.Replica | None:
        """Chooses a replica after a failure; prefers those not tried yet.

        Returns None if all replicas are excluded.
        """
        allowed = [r for r in replicas if r.leaf_id not in excluded]
        if not allowed:
            return None
        healthy = [r for r in allowed if self._is_healthy(r, now)]
        fresh = [r for r in healthy if r.leaf_id not in tried]
        untried = [r for r in allowed if r.leaf_id not in tried]
        return self._pick_weighted(fresh or untried or healthy or allowed, now)

    def hedge_delay(
        self,
        replica: _topology.Replica,
        replicas: Sequence[_topology.Replica],
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Returns the delay before a hedge: the p95 of the leaf.

        For a leaf without enough recent samples it is the lowest p95 among the
        replicas of its shard. The same holds for a straggler: with its own p95,
        a hedge would be sent only about when the straggler answers.
        """
        own = replica.record.hedge_delay(now)
        known = [
            delay
            for delay in (r.record.hedge_delay(now) for r in replicas)
            if delay is not None
        ]
        lowest = min(known, default=_leafs.HEDGE_DELAY_UNKNOWN)
        if own is None or own > lowest * _STRAGGLER_FACTOR:
            return lowest
        return own

    def _is_healthy(
        self, replica: _topology.Replica, now: datetime.timedelta
    ) -> bool:
        if replica.record.backoff.is_active(now):
            return False
        if (
            self._reachable_zones is not None
            and replica.zone not in self._reachable_zones
        ):
            return False
        if not self._check_owners:
            return True
        owner = self._owner_of(replica)
        return owner is not None and not self._tracker.is_owner_avoided(
            owner, now
        )

    def _pick_weighted(
        self, replicas: Sequence[_topology.Replica], now: datetime.timedelta
    ) -> _topology.Replica:
        if len(replicas) == 1:
            return replicas[0]
        best_us = min(r.record.estimate_us for r in replicas)
        weights = []
        total = 0.0
        for replica in replicas:
            record = replica.record
            weight = replica.weight / (1 + record.in_flight)
            if _leafs.is_slow(record.estimate_us, best_us):
                if record.claim_probe(now):
                    return replica
                weight *= _WARMING_WEIGHT_FACTOR if record.is_warming else 0.0
            weights.append(weight)
            total += weight
        position = self._random.random() * total
        for replica, weight in zip(replicas, weights, strict=True):
            position -= weight
            if position < 0:
                return replica
        return replicas[max(range(len(weights)), key=weights.__getitem__)]
