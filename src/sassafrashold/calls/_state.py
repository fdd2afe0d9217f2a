"""State shared by all calls of a host: records, budgets, latencies, limits."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import datetime
import functools
import random

import xxhash

from sassafrashold import directory as directory_lib
from sassafrashold import leaf_health
from sassafrashold import quantiles
from sassafrashold import routing
from sassafrashold.calls import _budget
from sassafrashold.calls import _leaf_record
from sassafrashold.calls import _reach

_ZERO = datetime.timedelta()
# Limit on the in-flight calls of all hosts to a leaf, per slot: a leaf queues a
# few requests and rejects more. Each host may fill the slots by itself, as the
# leaf may be unreachable for other hosts.
_OPEN_CALLS_PER_SLOT = 4
# Latency percentile after which a call is hedged. Together with the calls that
# hit a pause of a leaf (4%), these hedges take half of the budget of extra
# calls; the other half remains for slow and lost leafs.
_HEDGE_PERCENTILE = 95
_LATENCY_WINDOW = datetime.timedelta(seconds=5)
_MIN_SAMPLES = 20
# The first answers of a query are its fastest: quantiles need the answers of
# this many whole queries, or most of the other calls would be hedged.
_MIN_WHOLE_QUERIES = 2
# Defaults relative to the target latency of a route, until it has enough
# samples.
_DEFAULT_MEDIAN_RATIO = 0.15
_DEFAULT_HEDGE_DELAY_RATIO = 0.3
# Maximum hedge delay relative to the target latency: a hedge sent then can
# still be answered in time.
_MAX_HEDGE_DELAY_RATIO = 0.4
_MIN_HEDGE_DELAY = datetime.timedelta(milliseconds=3)
# Multiples of the median latency, plus a margin, from which an open call is
# overdue and an answer is slow.
_OVERDUE_MEDIAN_FACTOR = 2.0
_SLOW_MEDIAN_FACTOR = 3.0
_MIN_LATENCY_MARGIN = datetime.timedelta(milliseconds=4)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitShare:
    """The share of this host in limits that apply to all hosts together."""

    hosts: tuple[str, ...]
    """Sorted names of all hosts that may be alive, this one included."""

    own_host: str
    """Name of this host."""

    extra_calls_ratio: float
    """Extra calls per first call of a service."""

    extra_calls_burst: float
    """Extra calls in a window on top of the ratio, over all hosts."""

    extra_calls_window: datetime.timedelta
    """Length of the sliding window for the ratio and the burst."""

    cold_burst_factor: float
    """Factor on the configured request rate of a cold leaf."""

    cold_slack: float
    """Requests per second on top of that rate."""

    weight_by_host: Mapping[str, int] = dataclasses.field(default_factory=dict)
    """Weights of hosts in the division of limits; others weigh 1."""

    def share_of(self, total: int, key: str) -> int:
        """Returns this host's share; the shares of all hosts add up to `total`.

        Args:
            total: The limit over all hosts.
            key: Name of the limited object; selects the hosts that get the
                remainder.
        """
        # The hosts divide a circle by weight, and the key turns it: the number
        # of whole steps of size 1 / total in a host's part is its share.
        own_weight, start, whole = self._position
        start += xxhash.xxh32_intdigest(key.encode()) % whole
        return (start + own_weight) * total // whole - start * total // whole

    def burst(self) -> float:
        """Returns this host's share of the burst of extra calls."""
        own_weight, _, whole = self._position
        return self.extra_calls_burst * own_weight / whole

    @functools.cached_property
    def _position(self) -> tuple[int, int, int]:
        """Own weight, sum of the weights before this host, and of all."""
        weights = [self.weight_by_host.get(host, 1) for host in self.hosts]
        own = self.hosts.index(self.own_host)
        return weights[own], sum(weights[:own]), sum(weights)


class RouteLatency:
    """Recent latency of the leafs behind a route."""

    def __init__(
        self, target_latency: datetime.timedelta, calls_per_request: int = 1
    ) -> None:
        """Initializes the statistics without samples.

        Args:
            target_latency: Target latency of the route.
            calls_per_request: Number of leafs that a request is sent to.
        """
        self._target = target_latency
        self._quantiles = quantiles.RecentQuantiles(
            (50, _HEDGE_PERCENTILE),
            _LATENCY_WINDOW,
            max(_MIN_SAMPLES, _MIN_WHOLE_QUERIES * calls_per_request),
        )

    def record(
        self, duration: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Adds the duration of an answered call."""
        self._quantiles.record(duration, now)

    def median(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the median, or a default without enough samples."""
        quantile_values = self._quantiles.values(now)
        if quantile_values is None:
            return self._target * _DEFAULT_MEDIAN_RATIO
        return quantile_values[0]

    def hedge_delay(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the age of a call from which it is hedged."""
        quantile_values = self._quantiles.values(now)
        if quantile_values is None:
            return self._target * _DEFAULT_HEDGE_DELAY_RATIO
        return max(
            min(quantile_values[1], self._target * _MAX_HEDGE_DELAY_RATIO),
            _MIN_HEDGE_DELAY,
        )

    def overdue_from(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the age from which an open call is overdue."""
        return self.median(now) * _OVERDUE_MEDIAN_FACTOR + _MIN_LATENCY_MARGIN

    def slow_from(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the duration from which an answer counts as slow."""
        return self.median(now) * _SLOW_MEDIAN_FACTOR + _MIN_LATENCY_MARGIN


class CallState:
    """Shared state of all calls from this host; no I/O."""

    def __init__(
        self,
        own_zone: str,
        directory: directory_lib.LeafDirectory,
        table: routing.RouteTable,
        share: LimitShare,
        random_source: random.Random,
        on_avoided: Callable[[directory_lib.LeafRef, int], None] | None = None,
        started: datetime.timedelta = _ZERO,
    ) -> None:
        """Initializes the state.

        Args:
            own_zone: Availability zone of this host; its leafs are preferred.
            directory: Known leafs.
            table: Limits of the services.
            share: This host's share of the limits.
            random_source: Breaks ties between leafs and jitters avoid times.
            on_avoided: Called when a leaf starts to be avoided, with the number
                of its consecutive failures.
            started: Monotonic time at which this process started.
        """
        self._started = started
        self.on_avoided = on_avoided
        self.reach = _reach.ZoneReach(own_zone)
        self.zone_failover = _reach.ZoneFailover()
        self.tallies = leaf_health.TallyCounter()
        self.avoided_leafs = leaf_health.AvoidedLeafs(random_source)
        self._zone = own_zone
        self._directory = directory
        self._table = table
        self._share = share
        self._shard_share = share
        self._random = random_source
        self._record_by_ref: dict[
            directory_lib.LeafRef, _leaf_record.LeafRecord
        ] = {}
        self._budget_by_service: dict[str, _budget.ExtraCallBudget] = {}
        self._latency_by_route: dict[str, RouteLatency] = {}

    @property
    def share(self) -> LimitShare:
        """This host's share of the limits."""
        return self._share

    def set_share(
        self,
        share: LimitShare,
        shard_weight_by_host: Mapping[str, int] | None = None,
    ) -> None:
        """Replaces the share of the limits, when the set of hosts changes.

        Args:
            share: Share in the limits of services that all hosts call alike.
            shard_weight_by_host: Weights of hosts in the limits of shards, if
                not 1.
        """
        self._share = share
        self._shard_share = dataclasses.replace(
            share, weight_by_host=shard_weight_by_host or {}
        )
        for service, budget in self._budget_by_service.items():
            budget.set_burst(self._share_for(service).burst())

    def _share_for(self, service: str) -> LimitShare:
        current = self._table.current
        is_shard = current is not None and service in current.shards()
        return self._shard_share if is_shard else self._share

    def forget(self, ref: directory_lib.LeafRef) -> None:
        """Drops the record of a leaf incarnation that has ended."""
        self._record_by_ref.pop(ref, None)

    def forget_removed_routes(self) -> None:
        """Drops the statistics of routes that are not in the configuration."""
        current = self._table.current
        if current is None:
            return
        names = {
            route.name
            for routes in current.routes_by_host.values()
            for route in routes
        }
        self._latency_by_route = {
            name: latency
            for name, latency in self._latency_by_route.items()
            if name in names
        }

    def record(self, ref: directory_lib.LeafRef) -> _leaf_record.LeafRecord:
        """Returns the record of a leaf; creates it on first use."""
        record = self._record_by_ref.get(ref)
        if record is None:
            record = _leaf_record.LeafRecord()
            self._record_by_ref[ref] = record
        return record

    def latency(self, route: routing.Route) -> RouteLatency:
        """Returns the latency statistics of a route."""
        latency = self._latency_by_route.get(route.name)
        if latency is None:
            shards = (
                len(route.target.shards)
                if isinstance(route.target, routing.Gather)
                else 1
            )
            latency = RouteLatency(route.target_latency, shards)
            self._latency_by_route[route.name] = latency
        return latency

    def budget(self, service: str) -> _budget.ExtraCallBudget:
        """Returns the budget of extra calls to a service."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = _budget.ExtraCallBudget(
                self._share.extra_calls_ratio,
                self._share_for(service).burst(),
                self._share.extra_calls_window,
                self._started,
            )
            self._budget_by_service[service] = budget
        return budget

    def connections(self, service: str, leaf_id: str) -> int:
        """Returns the limit on connections from this host to a leaf."""
        current = self._table.current
        limits = current and current.limits_by_service.get(service)
        if not limits:
            return 1
        share = self._share_for(service)
        return max(1, share.share_of(limits.max_connections, leaf_id))

    def zones_by_shard(
        self, shards: Iterable[str], now: datetime.timedelta
    ) -> tuple[frozenset[str], ...]:
        """Returns the reachable zones that have a usable leaf of each shard.

        Zones where all these leafs are outliers are left out if another zone
        has a better one.

        Args:
            shards: Services of the shards.
            now: Monotonic time.
        """
        unreachable = self.reach.unreachable_zones
        zones_by_shard = []
        for service in shards:
            entries = [
                entry
                for entry in self._directory.usable(service, now)
                if entry.zone not in unreachable
            ]
            healthy = frozenset(
                entry.zone
                for entry in entries
                if not self.avoided_leafs.is_outlier(entry.ref, now)
            )
            zones_by_shard.append(
                healthy or frozenset(entry.zone for entry in entries)
            )
        return tuple(zones_by_shard)

    def is_reachable(self, service: str, now: datetime.timedelta) -> bool:
        """Returns whether a service has a reachable leaf.

        Args:
            service: Name of the service.
            now: Monotonic time.
        """
        unreachable = self.reach.unreachable_zones
        return any(
            entry.zone not in unreachable
            and not self.reach.is_lost(entry.ref, now)
            for entry in self._directory.usable(service, now)
        )

    def serves_all_routes(self, now: datetime.timedelta) -> bool:
        """Returns whether each route has enough reachable shards.

        Args:
            now: Monotonic time.
        """
        current = self._table.current
        if current is None:
            return True
        unreachable = {
            service
            for service in current.shards()
            if not self.is_reachable(service, now)
        }
        return not unreachable or all(
            route.target.meets_min_coverage(
                len(set(route.target.shards) - unreachable)
            )
            for routes in current.routes_by_host.values()
            for route in routes
            if isinstance(route.target, routing.Gather)
        )

    def choose_leaf(
        self,
        service: str,
        route: routing.Route,
        tried: Collection[directory_lib.LeafRef],
        now: datetime.timedelta,
        only_healthy: bool = False,
    ) -> directory_lib.LeafEntry | None:
        """Chooses a leaf for a call.

        Leafs that are not avoided come first, then avoided ones by number of
        consecutive failures. Among equals, leafs with fewer in-flight calls of
        this host per slot come first, then leafs of the own zone, then leafs
        with fewer in-flight calls.

        Args:
            service: Service to call.
            route: Route of the request.
            tried: Leafs to exclude, as they have already got the request.
            now: Monotonic time.
            only_healthy: Whether to exclude avoided leafs.

        Returns:
            The leaf; None if no leaf can take a call now.
        """
        overdue = self.latency(route).overdue_from(now)
        best: directory_lib.LeafEntry | None = None
        best_rank: tuple[float, ...] = ()
        for entry in self._directory.usable(service, now):
            if entry.ref in tried:
                continue
            record = self.record(entry.ref)
            if not self._can_take_call(entry, record, now):
                continue
            avoided = record.is_avoided(
                now, overdue
            ) or self.avoided_leafs.is_outlier(entry.ref, now)
            if avoided and only_healthy:
                continue
            rank = (
                float(avoided) * (1 + record.consecutive_failures),
                float(record.open_calls // max(entry.slots, 1)),
                float(entry.zone != self._zone),
                float(record.open_calls),
                self._random.random(),
            )
            if best is None or rank < best_rank:
                best, best_rank = entry, rank
        return best

    def has_untried_leaf(
        self,
        service: str,
        tried: Collection[directory_lib.LeafRef],
        now: datetime.timedelta,
    ) -> bool:
        """Returns whether a service has a leaf that may take a call later.

        Args:
            service: Service to call.
            tried: Leafs to exclude.
            now: Monotonic time.
        """
        return any(
            entry.ref not in tried
            for entry in self._directory.usable(service, now)
        )

    def _max_open_calls(self, entry: directory_lib.LeafEntry) -> int:
        leaf_id = entry.ref.leaf_id
        slots_share = self._share_for(entry.service).share_of(
            entry.slots * _OPEN_CALLS_PER_SLOT, leaf_id
        )
        return min(
            max(entry.slots, slots_share),
            self.connections(entry.service, leaf_id),
        )

    def _can_take_call(
        self,
        entry: directory_lib.LeafEntry,
        record: _leaf_record.LeafRecord,
        now: datetime.timedelta,
    ) -> bool:
        ref = entry.ref
        if record.open_calls >= self._max_open_calls(entry):
            return False
        if not self._directory.is_cold(ref.leaf_id, now):
            return True
        current = self._table.current
        limits = current and current.limits_by_service.get(entry.service)
        if not limits or limits.max_cold_rps is None:
            return True
        share = self._share_for(entry.service)
        total = limits.max_cold_rps * share.cold_burst_factor + share.cold_slack
        return record.cold.admits(share.share_of(int(total), ref.leaf_id), now)
