"""Gathers the shards of a query, at this host and at others."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import datetime
import functools
import logging
from typing import Any
from typing import Protocol

from sassafrashold import aggregation
from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import relay
from sassafrashold import routing
from sassafrashold.front import _exchange
from sassafrashold.front import _leaf_pool

_LOGGER = logging.getLogger(__name__)
_ZERO = datetime.timedelta()
# Time for the messages to and from a host that gathers for this one, with
# their encoding.
_PEER_ROUND_TRIP = datetime.timedelta(milliseconds=4)
# A host that does not accept a query within this time, or this part of the
# target latency, is not waited for: a new connection to another zone takes
# about 6 ms, and this host still has to gather in time.
_MAX_ACCEPT_TIME = datetime.timedelta(milliseconds=40)
_MAX_ACCEPT_TIME_RATIO = 0.25
# A host that has accepted a query sends what it has when the answer is due. If
# nothing arrives until this much later, it is taken as lost: the caller can
# still ask again before its deadline.
_MAX_FIRST_PARTS_DELAY = datetime.timedelta(milliseconds=60)

OnParts = Callable[[aggregation.MergedParts], Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class Query:
    """A request over many shards that is being served."""

    request: calls.ClientRequest
    """Request of the caller."""

    route: routing.Route
    """Route of the request."""

    gather: routing.Gather
    """Shards of the route."""

    configuration_version: int
    """Version of the configuration that the route belongs to."""

    arrived_at: datetime.timedelta
    """Monotonic time of its arrival."""

    times: calls.GatherTimes
    """Times that bound the answer."""

    leaf_deadline: datetime.timedelta
    """Monotonic time at which leafs stop to work on it."""


@dataclasses.dataclass(frozen=True)
class Gathered:
    """The other host has gathered all parts that it could."""


@dataclasses.dataclass(frozen=True)
class Declined:
    """The other host gathers nothing; this one may."""

    may_have_run: bool
    """Whether it may have sent the query to the shards all the same."""


@dataclasses.dataclass(frozen=True)
class Broken:
    """The other host has accepted the query and failed.

    Leafs may have run the query as often as allowed.
    """


RemoteResult = Gathered | Declined | Broken


@dataclasses.dataclass(frozen=True, kw_only=True)
class RemoteTimes:
    """Time limits for another host, from the time of sending."""

    accept: datetime.timedelta
    """For the head of its reply, with which it accepts the query."""

    first_parts: datetime.timedelta
    """For the first parts."""

    end: datetime.timedelta
    """For the whole reply."""


class RemoteGather(Protocol):
    """Gathers shards at other hosts."""

    def divide(
        self, gather: routing.Gather
    ) -> Sequence[aggregation.ShardGroup]:
        """Divides the shards of a query among hosts."""
        ...

    async def gather(
        self,
        peer: relay.Peer,
        message: aggregation.AggregationRequest,
        times: RemoteTimes,
        on_parts: OnParts,
    ) -> RemoteResult:
        """Gathers shards at another host.

        Args:
            peer: The host.
            message: The query and the shards.
            times: Time limits.
            on_parts: Called with the parts as they arrive; not called for a
                query that is declined.
        """
        ...


class LocalGather:
    """Gathers shards with calls from this host."""

    def __init__(
        self,
        state: calls.CallState,
        pool: _leaf_pool.LeafPool,
        clock: clock_lib.Clock,
    ) -> None:
        """Initializes the gatherer.

        Args:
            state: Shared state of all calls.
            pool: Connections to leafs.
            clock: Source of monotonic time.
        """
        self._state = state
        self._pool = pool
        self._clock = clock

    async def gather(
        self,
        query: Query,
        shards: Sequence[int],
        max_missing: int,
        on_parts: OnParts,
        repeated: bool = False,
        on_sent: Callable[[], None] = lambda: None,
    ) -> dict[str, Any]:
        """Gathers some of the shards of a query.

        When the answer is due it hands over the parts that it has, and ends
        then if few enough are missing. Otherwise it continues until the
        deadline.

        Args:
            query: The query.
            shards: Indices of the shards.
            max_missing: Number of shards that may be missing when it is due.
            on_parts: Called with the parts.
            repeated: Whether another host may have sent the query to the
                shards already.
            on_sent: Called before the first call to a leaf.

        Returns:
            Fields of a log line that explain the result.
        """
        plan = self._new_plan(query, shards)
        exchange = self._new_exchange(query, on_sent)
        reported: set[int] = set()
        is_first = True
        try:
            exchange.dispatch(plan.start(self._clock.monotonic(), repeated))
            while True:
                now = self._clock.monotonic()
                is_due = now >= query.times.answer_at
                final = (
                    plan.is_settled
                    or now >= query.times.end
                    or (is_due and plan.missing <= max_missing)
                )
                new = sorted(plan.part_by_shard.keys() - reported)
                if final or (is_due and (is_first or new)):
                    reported.update(new)
                    is_first = False
                    await on_parts(
                        _merged_parts(plan, new, query.gather, final)
                    )
                if final:
                    break
                await self._advance(plan, exchange, now)
        except BaseException:
            self._end_open_calls(
                plan,
                exchange,
                # The host of the query then has enough parts of other hosts.
                cancel=self._clock.monotonic() < query.times.answer_at,
            )
            raise
        log_fields = {
            "trail": exchange.trail(),
            "missing": [
                query.gather.shards[shard]
                for shard in shards
                if shard not in plan.part_by_shard
            ],
        }
        self._end_open_calls(plan, exchange, cancel=plan.missing > max_missing)
        return log_fields

    async def gather_whole(
        self, query: Query
    ) -> tuple[calls.GatherOutcome, dict[str, Any]]:
        """Gathers all shards of a query.

        Args:
            query: The query.

        Returns:
            The result, and fields of a log line that explain it.
        """
        plan = self._new_plan(query)
        exchange = self._new_exchange(query)
        try:
            exchange.dispatch(plan.start(self._clock.monotonic()))
            while True:
                now = self._clock.monotonic()
                outcome = plan.outcome(now)
                if outcome is not None:
                    break
                await self._advance(plan, exchange, now)
        except BaseException:
            self._end_open_calls(plan, exchange, cancel=True)
            raise
        log_fields = {"trail": exchange.trail()}
        self._end_open_calls(plan, exchange, cancel=not outcome.enough)
        return outcome, log_fields

    def _new_plan(
        self, query: Query, shards: Sequence[int] | None = None
    ) -> calls.GatherPlan:
        return calls.GatherPlan(
            self._state, query.route, query.gather, query.times, shards
        )

    def _new_exchange(
        self, query: Query, on_sent: Callable[[], None] = lambda: None
    ) -> _exchange.Exchange:
        return _exchange.Exchange(
            self._pool,
            self._clock,
            query.request,
            query.leaf_deadline,
            at_most_once=False,
            on_sent=on_sent,
        )

    async def _advance(
        self,
        plan: calls.GatherPlan,
        exchange: _exchange.Exchange,
        now: datetime.timedelta,
    ) -> None:
        """Waits for results or the next hedge and sends what follows."""
        for send, result in await exchange.wait(plan.next_time(now)):
            exchange.dispatch(plan.ended(send, result, self._clock.monotonic()))
        exchange.dispatch(plan.tick(self._clock.monotonic()))

    def _end_open_calls(
        self,
        plan: calls.GatherPlan,
        exchange: _exchange.Exchange,
        cancel: bool,
    ) -> None:
        if cancel:
            exchange.cancel(plan.give_up(self._clock.monotonic()))
            return
        for send in plan.release_open():
            exchange.release((send,), plan.call(send.shard))


def _merged_parts(
    plan: calls.GatherPlan,
    shards: Sequence[int],
    gather: routing.Gather,
    final: bool,
) -> aggregation.MergedParts:
    part_by_shard = plan.part_by_shard
    return aggregation.MergedParts(
        {shard: part_by_shard[shard].signature or "" for shard in shards},
        calls.greatest_records(
            (part_by_shard[shard].body for shard in shards), gather.top_records
        ),
        final,
        plan.was_sent,
    )


class DividedGather:
    """Gathers a query in groups of shards and merges their parts."""

    def __init__(
        self, local: LocalGather, remote: RemoteGather, clock: clock_lib.Clock
    ) -> None:
        """Initializes the gatherer.

        Args:
            local: Gathers groups at this host.
            remote: Gathers groups at other hosts.
            clock: Source of monotonic time.
        """
        self._local = local
        self._remote = remote
        self._clock = clock

    def divide(
        self, gather: routing.Gather
    ) -> Sequence[aggregation.ShardGroup]:
        """Divides the shards of a query among hosts.

        Returns:
            A single group without an aggregator if this host gathers all.
        """
        return self._remote.divide(gather)

    async def gather(
        self, query: Query, groups: Sequence[aggregation.ShardGroup]
    ) -> tuple[calls.GatherOutcome, dict[str, Any]]:
        """Gathers all groups at the same time.

        Args:
            query: The query.
            groups: Groups that hold each shard once.

        Returns:
            The result, and fields of a log line that explain it.
        """
        merger = calls.PartMerger(query.gather, query.times)
        changed = asyncio.Event()
        log_by_group: list[dict[str, Any]] = [{} for _ in groups]
        # Groups that this or another host may have sent to leafs.
        maybe_sent: set[aggregation.ShardGroup] = set()
        max_missing = calls.proportional_shares(
            query.gather.max_missing, [len(group.shards) for group in groups]
        )
        tasks = [
            asyncio.create_task(
                self._gather_group(
                    query, group, limit, merger, changed, maybe_sent, log
                )
            )
            for group, limit, log in zip(
                groups, max_missing, log_by_group, strict=True
            )
        ]
        try:
            while True:
                now = self._clock.monotonic()
                outcome = merger.outcome(now, sent=bool(maybe_sent))
                if outcome is not None:
                    return outcome, {"groups": log_by_group}
                await _wait(changed, merger.next_time(now) - now)
        finally:
            for task in tasks:
                task.cancel()
            for result in await asyncio.gather(*tasks, return_exceptions=True):
                if isinstance(result, Exception):
                    _LOGGER.error("gathering a group failed", exc_info=result)

    async def _gather_group(
        self,
        query: Query,
        group: aggregation.ShardGroup,
        max_missing: int,
        merger: calls.PartMerger,
        changed: asyncio.Event,
        maybe_sent: set[aggregation.ShardGroup],
        log: dict[str, Any],
    ) -> None:
        """Gathers a group at its host, or here if that one declines."""

        async def on_parts(parts: aggregation.MergedParts) -> None:
            if parts.sent:
                maybe_sent.add(group)
            merger.add(parts.signature_by_shard, parts.records)
            changed.set()

        log["shards"] = len(group.shards)
        try:
            result: RemoteResult = Declined(may_have_run=False)
            if group.aggregator is not None:
                log["gathered_by"] = group.aggregator.host
                maybe_sent.add(group)
                result = await self._remote.gather(
                    group.aggregator,
                    self._message(query, group, max_missing),
                    self._remote_times(query),
                    on_parts,
                )
            match result:
                case Gathered():
                    return
                case Broken():
                    log["broken"] = True
                case Declined(may_have_run):
                    if not may_have_run:
                        maybe_sent.discard(group)
                    log["gathered_here"] = True
                    log.update(
                        await self._local.gather(
                            query,
                            group.shards,
                            max_missing,
                            on_parts,
                            may_have_run,
                            functools.partial(maybe_sent.add, group),
                        )
                    )
        finally:
            merger.settle(group.shards)
            changed.set()

    def _message(
        self, query: Query, group: aggregation.ShardGroup, max_missing: int
    ) -> aggregation.AggregationRequest:
        elapsed = self._clock.monotonic() - query.arrived_at
        return aggregation.AggregationRequest(
            query.request,
            query.configuration_version,
            elapsed + _PEER_ROUND_TRIP,
            group.shards,
            max_missing,
        )

    def _remote_times(self, query: Query) -> RemoteTimes:
        now = self._clock.monotonic()
        first_parts_at = min(
            query.times.answer_at + _MAX_FIRST_PARTS_DELAY, query.times.end
        )
        return RemoteTimes(
            accept=min(
                _MAX_ACCEPT_TIME,
                query.route.target_latency * _MAX_ACCEPT_TIME_RATIO,
            ),
            first_parts=max(first_parts_at - now, _ZERO),
            end=max(query.times.end - now, _ZERO),
        )


async def _wait(event: asyncio.Event, timeout: datetime.timedelta) -> None:
    """Waits for an event, at most for some time, and clears it."""
    try:
        async with asyncio.timeout(max(timeout, _ZERO).total_seconds()):
            await event.wait()
    except TimeoutError:
        return
    event.clear()
