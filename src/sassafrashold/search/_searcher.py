"""Runs searches: pins an index version, scatters, gathers and reruns."""

import asyncio
from collections.abc import Callable
import datetime
import random
import typing

from reactivex import abc as reactive

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import extra_load
from sassafrashold import membership
from sassafrashold import rpc
from sassafrashold import settings
from sassafrashold import table as table_lib
from sassafrashold import telemetry
from sassafrashold import views
from sassafrashold.search import _leafs
from sassafrashold.search import _plan
from sassafrashold.search import _replicas
from sassafrashold.search import _request
from sassafrashold.search import _scatter
from sassafrashold.search import _topology
from sassafrashold.telemetry import tracing

_RERUN_MIN_TIME_LEFT_RATIO = 0.4
_MARGIN_RATIO = 0.03
_MARGIN_MIN = datetime.timedelta(milliseconds=1)
_MARGIN_MAX = datetime.timedelta(milliseconds=25)


class Searcher:
    """Runs searches against the owners of the leafs.

    One searcher serves all queries of a process. It holds the state that they
    share: the records of leafs and owners, and the extra-load budget of each
    service.
    """

    def __init__(
        self,
        view: Callable[[], views.View],
        pool: rpc.Pool,
        clock: clock_lib.Clock,
        tracer: tracing.Tracer,
        metrics: telemetry.Metrics,
        *,
        by_zone: bool = False,
        hedging: bool = True,
        random_source: random.Random | None = None,
    ) -> None:
        """Initializes the searcher.

        Args:
            view: Returns the current view.
            pool: Connections to owners.
            clock: The clock.
            tracer: Starts a span for each message.
            metrics: Receives counters and timings.
            by_zone: Sends one message per zone to a combiner instead of one
                per owner.
            hedging: Whether to hedge.
            random_source: Source of the replica choice and of jitter.
        """
        self._view = view
        self._pool = pool
        self._clock = clock
        self._tracer = tracer
        self._metrics = metrics
        self._by_zone = by_zone
        self._hedging = hedging
        self._random = random_source or random.Random()
        self.tracker = _leafs.LeafTracker(self._random)
        self._topologies = _topology.Topologies(self.tracker)
        self._owners = _topology.OwnerMap()
        self._budget_by_service: dict[str, extra_load.ExtraLoadBudget] = {}

    def topology(
        self, row: table_lib.ServiceRow, excluded: frozenset[str] = frozenset()
    ) -> _topology.ServiceTopology:
        """Returns the topology of the version that a query is pinned to now.

        Raises:
            SearchError: NOT_READY or NO_FULL_VERSION, not run.
        """
        topology = self._topologies.get(
            self._view(), row, self._clock.monotonic(), excluded
        )
        if topology is None:
            raise errors.SearchError(
                errors.ErrorCode.NO_FULL_VERSION,
                f"no index version of {row.service!r} is known",
            )
        return topology

    def dispatch_replicas(
        self, row: table_lib.ServiceRow
    ) -> tuple[_topology.Replica, ...]:
        """Returns the usable leafs of the newest version of a service."""
        return self._topologies.dispatch_replicas(self._view(), row)

    def owner_of(self, replica: _topology.Replica) -> settings.Address | None:
        """Returns the address of the owner of a leaf; None if unknown."""
        member = self._owners.owner_of(
            self._view(), replica.leaf_id, replica.zone
        )
        return None if member is None else member.owner

    def chooser(self, request_id: str) -> _replicas.ReplicaChooser:
        """Returns the replica chooser for one request."""
        return _replicas.ReplicaChooser(
            self.tracker,
            self._random,
            lambda replica: self._target_address(replica, request_id),
            _topology.reachable_zones(
                self._view().lease_by_zone,
                self.tracker,
                self._clock.monotonic(),
            ),
        )

    def budget(self, row: table_lib.ServiceRow) -> extra_load.ExtraLoadBudget:
        """Returns the extra-load budget of a service."""
        budget = self._budget_by_service.get(row.service)
        if budget is None:
            budget = extra_load.ExtraLoadBudget(row.hedge_percent)
        elif budget.percent != row.hedge_percent:
            budget = budget.with_percent(row.hedge_percent)
        self._budget_by_service[row.service] = budget
        return budget

    def tokens_by_service(self) -> dict[str, float]:
        """Returns the available extra-load tokens by service."""
        return {
            service: round(budget.tokens, 2)
            for service, budget in self._budget_by_service.items()
        }

    async def search(
        self,
        request: _request.SearchRequest,
        row: table_lib.ServiceRow,
        report: Callable[[_request.PlanReport], None],
        rows: reactive.ObserverBase[_request.ShardRows] | None = None,
    ) -> _request.SearchAnswer:
        """Runs one search.

        Args:
            request: The search.
            row: Row of its service.
            report: Called with the outcome of each plan, also of a failed one.
            rows: Receives the result of each shard as it arrives. After the
                first one there is no rerun, because results of two versions
                must not be mixed.

        Raises:
            SearchError: The search failed, or lacks shards although a partial
                answer is not allowed. `ran` tells whether a leaf may have
                run it.
        """
        started = self._clock.monotonic()
        total = request.deadline - self._clock.now()
        rerun_before = request.deadline - total * _RERUN_MIN_TIME_LEFT_RATIO
        excluded: frozenset[str] = frozenset()
        topology = self.topology(row)
        ran = False
        while True:
            self._check_coverage(request, topology, ran)
            run = _Run(self, request, topology, started, rows)
            try:
                await run.run(
                    rerun_before
                    if self._has_alternative(row, excluded, topology)
                    else None
                )
            finally:
                ran = ran or not run.plan.certainly_not_run
                report(run.report())
            if not run.rerun:
                return run.answer(ran)
            excluded |= {topology.version}
            self._metrics.count("search.reruns")
            topology = self.topology(row, excluded)

    def _has_alternative(
        self,
        row: table_lib.ServiceRow,
        excluded: frozenset[str],
        topology: _topology.ServiceTopology,
    ) -> bool:
        """Returns whether another version has at least the same coverage."""
        alternative = self._topologies.get(
            self._view(),
            row,
            self._clock.monotonic(),
            excluded | {topology.version},
        )
        return alternative is not None and (
            alternative.served_fraction >= topology.served_fraction
        )

    def _check_coverage(
        self,
        request: _request.SearchRequest,
        topology: _topology.ServiceTopology,
        ran: bool,
    ) -> None:
        """Raises if a partial answer is certain but not allowed."""
        if topology.missing_shards and not request.allow_partial:
            raise errors.SearchError(
                errors.ErrorCode.NO_FULL_VERSION,
                "no index version has a usable replica for every shard; "
                f"{topology.version!r} lacks {len(topology.missing_shards)} "
                f"of {len(topology.replicas_by_shard)}",
                ran=(errors.Ran.OUTCOME_UNKNOWN if ran else errors.Ran.NOT_RUN),
            )

    def _target_address(
        self, replica: _topology.Replica, request_id: str
    ) -> settings.Address | None:
        """Returns the address for a sub-query; None if no owner is known.

        It is the owner of the leaf, or with `by_zone` the combiner of the zone
        for this request.
        """
        if not self._by_zone:
            return self.owner_of(replica)
        zone_lease = self._view().lease_by_zone.get(replica.zone)
        if zone_lease is None:
            return None
        members = zone_lease.member_by_host
        ranked = [
            members[host].owner for host in membership.rank(request_id, members)
        ]
        now = self._clock.monotonic()
        for address in ranked:
            if not self.tracker.is_owner_avoided(address, now):
                return address
        return ranked[0] if ranked else None


class _Run:
    """Drives one plan of a search and its messages."""

    def __init__(
        self,
        searcher: Searcher,
        request: _request.SearchRequest,
        topology: _topology.ServiceTopology,
        started: datetime.timedelta,
        rows: reactive.ObserverBase[_request.ShardRows] | None,
    ) -> None:
        clock = searcher._clock
        time_left = request.deadline - clock.now()
        margin = hop_margin(time_left)
        chooser = searcher.chooser(request.request_id)
        self.plan = _plan.QueryPlan(
            topology,
            chooser,
            searcher.tracker,
            searcher.budget(topology.row),
            searcher._random,
            clock.monotonic() + time_left - margin,
            searcher._hedging,
        )
        self.rerun = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = datetime.timedelta()
        self._request = request
        self._started = started
        self._clock = clock
        self._metrics = searcher._metrics
        self._rows = rows
        self._has_emitted = False
        self._events: asyncio.Queue[_scatter.Event] = asyncio.Queue()
        self._address_of = searcher._target_address
        self._scatter = _scatter.Scatter(
            request,
            topology.version,
            request.deadline - margin - margin,
            searcher._pool,
            searcher.tracker,
            searcher._tracer,
            searcher._metrics,
            self._events.put_nowait,
            clock.monotonic,
        )

    async def run(self, rerun_before: datetime.datetime | None) -> None:
        """Drives the plan until it is finished or needs a rerun.

        Args:
            rerun_before: Until this wall time a plan whose version is gone
                stops for a rerun; None if no other version can be used.
        """
        plan = self.plan
        try:
            self._apply(plan.start(self._clock.monotonic()))
            while not plan.finished:
                self._set_timer()
                self._handle(await self._events.get())
                while not plan.finished and not self._events.empty():
                    self._handle(self._events.get_nowait())
                self.rerun = (
                    plan.version_gone
                    and not self._has_emitted
                    and rerun_before is not None
                    and self._clock.now() < rerun_before
                )
                if self.rerun:
                    return
        finally:
            if self._timer is not None:
                self._timer.cancel()
            deadline_passed = plan.is_past_deadline(self._clock.monotonic())
            plan.close(self._clock.monotonic())
            await self._scatter.close(deadline_passed=deadline_passed)

    def report(self) -> _request.PlanReport:
        """Returns the report of the plan."""
        return _request.PlanReport(
            self.plan.version,
            self.plan.coverage(),
            self.plan.error_by_shard(),
            self.plan.late_results,
            self._started,
            tuple(self.plan.attempts),
        )

    def answer(self, ran: bool) -> _request.SearchAnswer:
        """Returns the answer.

        Raises:
            SearchError: PARTIAL_NOT_ALLOWED, if shards are missing and the
                request does not allow it.
        """
        coverage = self.plan.coverage()
        if coverage.partial and not self._request.allow_partial:
            raise errors.SearchError(
                errors.ErrorCode.PARTIAL_NOT_ALLOWED,
                f"{len(coverage.missing_shards)} of {coverage.shards_asked} "
                "shards have no result in time",
                ran=(errors.Ran.OUTCOME_UNKNOWN if ran else errors.Ran.NOT_RUN),
            )
        return _request.SearchAnswer(
            self.plan.version, coverage, tuple(self.plan.rows())
        )

    def _set_timer(self) -> None:
        """Schedules a tick for the next timer of the plan."""
        wakeup = self.plan.next_wakeup()
        if self._timer is not None:
            # An early tick has no effect except to set the timer again.
            if self._timer_at <= wakeup:
                return
            self._timer.cancel()
        wait = wakeup - self._clock.monotonic()
        self._timer_at = wakeup
        self._timer = asyncio.get_running_loop().call_later(
            max(wait.total_seconds(), 0.0),
            self._events.put_nowait,
            _scatter.Tick(),
        )

    def _handle(self, event: _scatter.Event) -> None:
        now = self._clock.monotonic()
        match event:
            case _scatter.Rows():
                late_before = self.plan.late_results
                step = self.plan.on_rows(
                    event.attempt, event.version, event.rows, now
                )
                if event.attempt.outcome == "OK" and (
                    late_before == self.plan.late_results
                ):
                    self._emit(event)
            case _scatter.Failure():
                step = self.plan.on_failure(event.attempt, event.error, now)
            case _scatter.Tick():
                self._timer = None
                step = self.plan.on_timer(now)
            case _:
                typing.assert_never(event)
        self._apply(step)

    def _emit(self, event: _scatter.Rows) -> None:
        if self._rows is None:
            return
        self._has_emitted = True
        self._rows.on_next(
            _request.ShardRows(
                self.plan.version, event.attempt.shard, event.rows
            )
        )

    def _apply(self, step: _plan.Step) -> None:
        if step.send:
            self._scatter.send(
                step.send,
                lambda attempt: self._address_of(
                    attempt.replica, self._request.request_id
                ),
            )
        if step.abandoned:
            self._scatter.abandon(step.abandoned)


def hop_margin(time_left: datetime.timedelta) -> datetime.timedelta:
    """Returns the part of the remaining time that a hop reserves for itself."""
    return max(_MARGIN_MIN, min(time_left * _MARGIN_RATIO, _MARGIN_MAX))
