"""Runs searches: pins a version, scatters, gathers, reruns."""

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

_RERUN_MIN_TIME_LEFT = 0.4
_MARGIN_SHARE = 0.03
_MARGIN_MIN = datetime.timedelta(milliseconds=1)
_MARGIN_MAX = datetime.timedelta(milliseconds=25)


class Searcher:
    """Answers searches from the owners of the leafs.

    One searcher serves all queries of a process; it keeps what they learn
    about leafs, and the extra-load budget of each service.
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
            metrics: Gets counters and timings.
            by_zone: Sends one message per zone to a combiner instead of one
                per owner.
            hedging: Whether to hedge.
            random_source: Source of choices and jitter.
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
        """Returns the version that a query would be pinned to now.

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
        """Returns the usable leafs of the newest version."""
        return self._topologies.dispatch_replicas(self._view(), row)

    def owner_of(self, replica: _topology.Replica) -> settings.Address | None:
        """Returns the address of the owner of a leaf, if it is known."""
        member = self._owners.owner_of(
            self._view(), replica.leaf_id, replica.zone
        )
        return None if member is None else member.owner

    def chooser(self, request_id: str) -> _replicas.ReplicaChooser:
        """Returns the replica chooser for one request."""
        return _replicas.ReplicaChooser(
            self.tracker,
            self._random,
            lambda replica: self._address(replica, request_id),
            _topology.reachable_zones(
                self._view().lease_by_zone,
                self.tracker,
                self._clock.monotonic(),
            ),
        )

    def budget(self, row: table_lib.ServiceRow) -> extra_load.ExtraLoadBudget:
        """Returns the extra-load budget of a service."""
        known = self._budget_by_service.get(row.service)
        if known is None:
            known = extra_load.ExtraLoadBudget(row.hedge_percent)
        elif known.percent != row.hedge_percent:
            known = known.with_percent(row.hedge_percent)
        self._budget_by_service[row.service] = known
        return known

    def tokens_by_service(self) -> dict[str, float]:
        """Returns the extra calls that each service may make now."""
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
        """Answers one search.

        Args:
            request: The search.
            row: Row of its service.
            report: Gets what became of each plan, also of a failed one.
            rows: Gets the result of each shard as it arrives. After the first
                one the version stays, because results of two versions must
                not be mixed.

        Raises:
            SearchError: No answer as asked; `ran` tells whether any leaf can
                have worked for it.
        """
        started = self._clock.monotonic()
        total = request.deadline - self._clock.now()
        rerun_before = request.deadline - total * _RERUN_MIN_TIME_LEFT
        excluded: frozenset[str] = frozenset()
        topology = self.topology(row)
        ran = False
        while True:
            self._check_coverage(request, topology, ran)
            run = _Run(self, request, topology, started, rows)
            try:
                await run.run(
                    rerun_before
                    if self._has_other(row, excluded, topology)
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

    def _has_other(
        self,
        row: table_lib.ServiceRow,
        excluded: frozenset[str],
        topology: _topology.ServiceTopology,
    ) -> bool:
        """Returns whether a rerun could serve as many shards."""
        other = self._topologies.get(
            self._view(),
            row,
            self._clock.monotonic(),
            excluded | {topology.version},
        )
        return other is not None and (
            other.served_share >= topology.served_share
        )

    def _check_coverage(
        self,
        request: _request.SearchRequest,
        topology: _topology.ServiceTopology,
        ran: bool,
    ) -> None:
        """Refuses a query that can only be answered in part."""
        if topology.missing_shards and not request.allow_partial:
            raise errors.SearchError(
                errors.ErrorCode.NO_FULL_VERSION,
                "no index version has a usable replica for every shard; "
                f"{topology.version!r} lacks {len(topology.missing_shards)} "
                f"of {len(topology.replicas_by_shard)}",
                ran=(errors.Ran.OUTCOME_UNKNOWN if ran else errors.Ran.NOT_RUN),
            )

    def _address(
        self, replica: _topology.Replica, request_id: str
    ) -> settings.Address | None:
        """Returns where a sub-query for a leaf is sent."""
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
    """One plan of one search and its messages."""

    def __init__(
        self,
        searcher: Searcher,
        request: _request.SearchRequest,
        topology: _topology.ServiceTopology,
        started: datetime.timedelta,
        rows: reactive.ObserverBase[_request.ShardRows] | None,
    ) -> None:
        clock = searcher._clock
        left = request.deadline - clock.now()
        margin = margin_of(left)
        chooser = searcher.chooser(request.request_id)
        self.plan = _plan.QueryPlan(
            topology,
            chooser,
            searcher.tracker,
            searcher.budget(topology.row),
            searcher._random,
            clock.monotonic() + left - margin,
            searcher._hedging,
        )
        self.rerun = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = datetime.timedelta()
        self._request = request
        self._started = started
        self._clock = clock
        self._metrics = searcher._metrics
        self._rows = rows
        self._has_emitted = False
        self._events: asyncio.Queue[_scatter.Event] = asyncio.Queue()
        self._address_of = searcher._address
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
        """Drives the plan until it is finished or its version is gone.

        Args:
            rerun_before: Wall time until which a plan whose version is gone
                gives up for a rerun; None if there is no other version.
        """
        plan = self.plan
        try:
            self._carry_out(plan.start(self._clock.monotonic()))
            while not plan.finished:
                self._set_timer()
                self._take(await self._events.get())
                while not plan.finished and not self._events.empty():
                    self._take(self._events.get_nowait())
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
            late = plan.is_overdue(self._clock.monotonic())
            plan.close(self._clock.monotonic())
            await self._scatter.close(unanswered=late)

    def report(self) -> _request.PlanReport:
        """Returns what became of the plan."""
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
            SearchError: It lacks shards and must not.
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
        """Makes a tick come when the plan has something to do."""
        due = self.plan.next_due()
        if self._timer is not None:
            # A tick that comes early does nothing but set the next one.
            if self._timer_due <= due:
                return
            self._timer.cancel()
        wait = due - self._clock.monotonic()
        self._timer_due = due
        self._timer = asyncio.get_running_loop().call_later(
            max(wait.total_seconds(), 0.0),
            self._events.put_nowait,
            _scatter.Tick(),
        )

    def _take(self, event: _scatter.Event) -> None:
        now = self._clock.monotonic()
        match event:
            case _scatter.Rows():
                dropped = self.plan.late_results
                step = self.plan.on_rows(
                    event.attempt, event.version, event.rows, now
                )
                if event.attempt.outcome == "OK" and (
                    dropped == self.plan.late_results
                ):
                    self._emit(event)
            case _scatter.Failure():
                step = self.plan.on_failure(event.attempt, event.error, now)
            case _scatter.Tick():
                self._timer = None
                step = self.plan.on_time(now)
            case _:
                typing.assert_never(event)
        self._carry_out(step)

    def _emit(self, event: _scatter.Rows) -> None:
        if self._rows is None:
            return
        self._has_emitted = True
        self._rows.on_next(
            _request.ShardRows(
                self.plan.version, event.attempt.shard, event.rows
            )
        )

    def _carry_out(self, step: _plan.Step) -> None:
        if step.send:
            self._scatter.send(
                step.send,
                lambda attempt: self._address_of(
                    attempt.replica, self._request.request_id
                ),
            )
        if step.abandoned:
            self._scatter.abandon(step.abandoned)


def margin_of(left: datetime.timedelta) -> datetime.timedelta:
    """Returns the part of the time left that a hop keeps for itself."""
    return max(_MARGIN_MIN, min(left * _MARGIN_SHARE, _MARGIN_MAX))
