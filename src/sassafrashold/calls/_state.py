"""What all calls of this host share: records, budgets, latencies, limits."""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import datetime
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
# Open calls of all hosts together at one leaf, for each of its slots: a leaf
# queues a few requests and rejects more. Each host may fill the slots alone,
# as others may not reach the leaf.
_OPEN_CALLS_A_SLOT = 4
# Hedges begin here. With the calls that meet a pause (4%) they take half of the
# budget for extra calls, which leaves the other half to slow and lost leafs.
_HEDGE_PERCENTILE = 95
_LATENCY_WINDOW = datetime.timedelta(seconds=5)
_MIN_SAMPLES = 20
# Used until a route has enough answers, as shares of its target latency.
_DEFAULT_MEDIAN_SHARE = 0.15
_DEFAULT_HEDGE_SHARE = 0.3
# A hedge this late is still answered in time.
_MAX_HEDGE_SHARE = 0.4
_MIN_HEDGE_DELAY = datetime.timedelta(milliseconds=3)
# An open call or an answer of this many medians is a sign of trouble.
_OVERDUE_MEDIANS = 2.0
_SLOW_MEDIANS = 3.0
_TROUBLE_FLOOR = datetime.timedelta(milliseconds=4)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareOfLimits:
    """The part of the limits over all hosts that this host may use."""

    hosts: tuple[str, ...]
    """Names of all hosts that may be alive, sorted, with this one."""

    own_host: str
    """Name of this host."""

    extra_calls_ratio: float
    """Extra calls for each first call of a service."""

    extra_calls_burst: float
    """Extra calls on top of the ratio, over all hosts."""

    extra_calls_window: datetime.timedelta
    """Length of the sliding window in which both hold."""

    cold_burst_factor: float
    """Factor on the rate that a cold leaf states."""

    cold_slack: float
    """Requests in a second on top of that."""

    def of_total(self, total: int, key: str) -> int:
        """Returns this host's part; the parts of all hosts add up to `total`.

        Args:
            total: The limit over all hosts.
            key: What is limited; decides which hosts get the remainder.
        """
        count = len(self.hosts)
        whole, rest = divmod(total, count)
        offset = xxhash.xxh32_intdigest(key.encode())
        rank = (self.hosts.index(self.own_host) + offset) % count
        return whole + (1 if rank < rest else 0)

    def burst(self) -> float:
        """Returns this host's part of the burst of extra calls."""
        return self.extra_calls_burst / len(self.hosts)


class RouteLatency:
    """Usual latency of the leafs behind a route."""

    def __init__(self, target_latency: datetime.timedelta) -> None:
        self._target = target_latency
        self._recent = quantiles.RecentQuantiles(
            (50, _HEDGE_PERCENTILE), _LATENCY_WINDOW, _MIN_SAMPLES
        )

    def record(
        self, duration: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Adds an answer."""
        self._recent.record(duration, now)

    def median(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the median, or a default."""
        known = self._recent.values(now)
        if known is None:
            return self._target * _DEFAULT_MEDIAN_SHARE
        return known[0]

    def hedge_delay(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the age of a call from which a second one is sent."""
        known = self._recent.values(now)
        if known is None:
            return self._target * _DEFAULT_HEDGE_SHARE
        return max(
            min(known[1], self._target * _MAX_HEDGE_SHARE), _MIN_HEDGE_DELAY
        )

    def overdue_from(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the age from which an open call is a sign of trouble."""
        return self.median(now) * _OVERDUE_MEDIANS + _TROUBLE_FLOOR

    def slow_from(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the duration from which an answer is slow."""
        return self.median(now) * _SLOW_MEDIANS + _TROUBLE_FLOOR


class CallState:
    """Shared state of all calls from this host; an aggregate without I/O."""

    def __init__(
        self,
        own_zone: str,
        directory: directory_lib.LeafDirectory,
        table: routing.RouteTable,
        share: ShareOfLimits,
        random_source: random.Random,
        on_avoided: Callable[[directory_lib.LeafRef, int], None] | None = None,
        started: datetime.timedelta = _ZERO,
    ) -> None:
        """Initializes the state.

        Args:
            own_zone: Availability zone of this host; its leafs come first.
            directory: Known leafs.
            table: Limits of the services.
            share: This host's part of the limits.
            random_source: Breaks ties between leafs.
            on_avoided: Called with a leaf that is no longer first choice and
                its slow answers and failures in a row.
            started: Monotonic time at which this process started.
        """
        self._started = started
        self.on_avoided = on_avoided
        self.reach = _reach.ZoneReach(own_zone)
        self.callers_elsewhere = _reach.CallersElsewhere()
        self.tallies = leaf_health.TallyCounter()
        self.told_troubles = leaf_health.AvoidedLeafs(random_source)
        self._zone = own_zone
        self._directory = directory
        self._table = table
        self._share = share
        self._random = random_source
        self._record_by_ref: dict[
            directory_lib.LeafRef, _leaf_record.LeafRecord
        ] = {}
        self._budget_by_service: dict[str, _budget.ExtraCallBudget] = {}
        self._latency_by_route: dict[str, RouteLatency] = {}

    @property
    def share(self) -> ShareOfLimits:
        """This host's part of the limits."""
        return self._share

    def set_share(self, share: ShareOfLimits) -> None:
        """Changes the part of the limits, as hosts come and go."""
        self._share = share
        for budget in self._budget_by_service.values():
            budget.limit_burst(share.burst())

    def forget(self, ref: directory_lib.LeafRef) -> None:
        """Drops the record of an incarnation that ended."""
        self._record_by_ref.pop(ref, None)

    def record(self, ref: directory_lib.LeafRef) -> _leaf_record.LeafRecord:
        """Returns the record of a leaf, a new one at first."""
        record = self._record_by_ref.get(ref)
        if record is None:
            record = _leaf_record.LeafRecord()
            self._record_by_ref[ref] = record
        return record

    def latency(self, route: routing.Route) -> RouteLatency:
        """Returns the usual latency behind a route."""
        latency = self._latency_by_route.get(route.name)
        if latency is None:
            latency = RouteLatency(route.target_latency)
            self._latency_by_route[route.name] = latency
        return latency

    def budget(self, service: str) -> _budget.ExtraCallBudget:
        """Returns the budget of extra calls to a service."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = _budget.ExtraCallBudget(
                self._share.extra_calls_ratio,
                self._share.burst(),
                self._share.extra_calls_window,
                self._started,
            )
            self._budget_by_service[service] = budget
        return budget

    def connections(self, service: str, leaf_id: str) -> int:
        """Returns how many connections to a leaf this host may hold."""
        current = self._table.current
        limits = current and current.limits_by_service.get(service)
        if not limits:
            return 1
        return max(1, self._share.of_total(limits.max_connections, leaf_id))

    def in_reach(self, service: str, now: datetime.timedelta) -> bool:
        """Returns whether a service has a leaf that can be reached.

        Args:
            service: Name of the service.
            now: Monotonic time.
        """
        silent = self.reach.silent
        return any(
            entry.zone not in silent and not self.reach.is_lost(entry.ref, now)
            for entry in self._directory.usable(service, now)
        )

    def serves_all(self, now: datetime.timedelta) -> bool:
        """Returns whether enough shards of each route are in reach.

        Args:
            now: Monotonic time.
        """
        current = self._table.current
        if current is None:
            return True
        lost = {
            service
            for service in current.shards()
            if not self.in_reach(service, now)
        }
        return not lost or all(
            route.target.is_enough(len(set(route.target.shards) - lost))
            for routes in current.routes_by_host.values()
            for route in routes
            if isinstance(route.target, routing.Gather)
        )

    def choose(
        self,
        service: str,
        route: routing.Route,
        tried: Collection[directory_lib.LeafRef],
        now: datetime.timedelta,
        only_healthy: bool = False,
    ) -> directory_lib.LeafEntry | None:
        """Chooses a leaf for a call.

        Healthy leafs of the own zone come first, then healthy leafs of other
        zones, then the one with the fewest signs of trouble. Among equals the
        one with the fewest open calls of this host is taken.

        Args:
            service: Service to call.
            route: Route of the request.
            tried: Leafs that have got the request already.
            now: Monotonic time.
            only_healthy: Whether a leaf in trouble is no choice.

        Returns:
            The leaf; None if there is none that can take a call now.
        """
        overdue = self.latency(route).overdue_from(now)
        best: directory_lib.LeafEntry | None = None
        best_rank: tuple[float, ...] = ()
        for entry in self._directory.usable(service, now):
            if entry.ref in tried:
                continue
            record = self.record(entry.ref)
            if not self._has_room(entry, record, now):
                continue
            avoided = record.is_avoided(
                now, overdue
            ) or self.told_troubles.is_outlier(entry.ref, now)
            if avoided and only_healthy:
                continue
            rank = (
                float(avoided) * (1 + record.strikes),
                float(record.open_calls // max(entry.slots, 1)),
                float(entry.zone != self._zone),
                float(record.open_calls),
                self._random.random(),
            )
            if best is None or rank < best_rank:
                best, best_rank = entry, rank
        return best

    def may_get_room(
        self,
        service: str,
        tried: Collection[directory_lib.LeafRef],
        now: datetime.timedelta,
    ) -> bool:
        """Returns whether a leaf may take a call later that can't now.

        Args:
            service: Service to call.
            tried: Leafs that are no choice.
            now: Monotonic time.
        """
        return any(
            entry.ref not in tried
            for entry in self._directory.usable(service, now)
        )

    def _open_limit(self, entry: directory_lib.LeafEntry) -> int:
        leaf_id = entry.ref.leaf_id
        of_slots = self._share.of_total(
            entry.slots * _OPEN_CALLS_A_SLOT, leaf_id
        )
        return min(
            max(entry.slots, of_slots), self.connections(entry.service, leaf_id)
        )

    def _has_room(
        self,
        entry: directory_lib.LeafEntry,
        record: _leaf_record.LeafRecord,
        now: datetime.timedelta,
    ) -> bool:
        ref = entry.ref
        if record.open_calls >= self._open_limit(entry):
            return False
        if not self._directory.is_cold(ref.leaf_id, now):
            return True
        current = self._table.current
        limits = current and current.limits_by_service.get(entry.service)
        if not limits or limits.cold_rate is None:
            return True
        total = (
            limits.cold_rate * self._share.cold_burst_factor
            + self._share.cold_slack
        )
        return record.cold.admits(
            self._share.of_total(int(total), ref.leaf_id), now
        )
