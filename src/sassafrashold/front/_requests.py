"""Serves the requests of callers."""

import asyncio
from collections.abc import Coroutine
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import dataclasses
import datetime
import enum
import logging
from typing import Any

from sassafrashold import aggregation
from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import routing
from sassafrashold.front import _client_memory
from sassafrashold.front import _exchange
from sassafrashold.front import _gathering
from sassafrashold.front import _interfaces
from sassafrashold.front import _leaf_pool

_LOGGER = logging.getLogger(__name__)
_ZERO = datetime.timedelta()
# Part of the target latency that the caller measures and this host does not:
# connection set-up, request and answer at 3 ms one way for the farthest
# callers, and 2 ms of processing.
_ANSWER_MARGIN = datetime.timedelta(milliseconds=14)
# A reply is sent this much before the caller's deadline, to arrive in time.
_DEADLINE_MARGIN = datetime.timedelta(milliseconds=30)
_MAX_DEADLINE_MARGIN_RATIO = 0.1
# Retry-After when leafs are busy: a busy leaf answers a few requests in this
# time.
_BUSY_RETRY_DELAY = datetime.timedelta(milliseconds=100)
# Retry-After when this zone can't reach enough shards. The balancer takes up to
# two seconds to redirect callers to other zones; callers limit the delay to a
# third of their remaining time.
_REDIRECT_RETRY_DELAY = datetime.timedelta(seconds=1)
# The store is usually read within 50 ms of a start. Earlier requests wait for
# it, at most until this time after the start and for at most this share of the
# caller's remaining time.
_MAX_STARTUP_WAIT = datetime.timedelta(milliseconds=600)
_MAX_STARTUP_WAIT_RATIO = 0.2
# A request that could not be sent to any leaf within this share of its time is
# refused, so that its caller can try another host.
_MAX_UNSENT_RATIO = 0.25
# Retry-After while no configuration is known. A host has usually read its first
# one by then.
_CONFIGURATION_RETRY_DELAY = datetime.timedelta(milliseconds=500)
# Statuses that promise that the request has not run and never will.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Memory to serve a request, and for its call to each service.
_REQUEST_BYTES = 8 * 1024
_SERVICE_CALL_BYTES = 1536
# Retry-After while there is no memory to serve a request.
_MEMORY_RETRY_DELAY = datetime.timedelta(seconds=1)


class Cause(enum.Enum):
    """Why a request was not served, as logs and metrics show it."""

    NOT_CONFIGURED = "not_configured"
    NO_ROUTE = "no_route"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    BODY_LATE = "body_late"
    BODIES_FULL = "bodies_full"
    MEMORY_FULL = "memory_full"
    NO_LEAF = "no_leaf"
    OUT_OF_REACH = "out_of_reach"
    STARTED_LATE = "started_late"
    LEAFS_REJECTED = "leafs_rejected"
    LEAF_FAILED = "leaf_failed"
    TOO_FEW_PARTS = "too_few_parts"
    DEADLINE = "deadline"
    STOPPING = "stopping"


@dataclasses.dataclass(frozen=True)
class Reply:
    """The reply to a caller."""

    status: int
    """HTTP status."""

    headers: tuple[tuple[str, str], ...]
    """End-to-end headers."""

    body: bytes
    """The whole body."""

    cause: Cause | None = None
    """Why the request was not served; None if it was."""

    missing: tuple[str, ...] = ()
    """Services whose shards are missing from a merged answer."""

    log_fields: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    """Fields of the log line that explain the outcome."""


class RequestServer:
    """Routes requests, sends their leaf calls and builds the replies."""

    def __init__(
        self,
        table: routing.RouteTable,
        state: calls.CallState,
        pool: _leaf_pool.LeafPool,
        protocol: _interfaces.WireProtocol,
        clock: clock_lib.Clock,
        store_loaded: asyncio.Event,
        memory: _client_memory.ClientMemory | None = None,
    ) -> None:
        """Initializes the server.

        Args:
            table: Routes in force.
            state: Shared state of all calls.
            pool: Connections to leafs.
            protocol: Wire format of the headers of replies.
            clock: The clock.
            store_loaded: Set once the configuration and the leafs were read.
            memory: Bounds what open requests take; None if nothing does.
        """
        self.start_queue = calls.StartQueue()
        self.local_gather = _gathering.LocalGather(state, pool, clock)
        self.divided_gather: _gathering.DividedGather | None = None
        # Set while this process stops: when it ends the requests that are open.
        self.stops_at: datetime.timedelta | None = None
        self._store_loaded = store_loaded
        self._memory = memory
        self._startup_wait_end = clock.monotonic() + _MAX_STARTUP_WAIT
        self._table = table
        self._state = state
        self._pool = pool
        self._protocol = protocol
        self._clock = clock

    async def serve(self, request: calls.ClientRequest) -> Reply:
        """Serves a request; the task is cancelled if the caller leaves."""
        read_at = self._clock.monotonic()
        # Callers that connected while this process was loading measure latency
        # from then on.
        startup_delay = self.start_queue.max_wait(read_at)
        arrived_at = read_at - startup_delay
        if not self._store_loaded.is_set():
            await self._wait_for_store(request)
        configuration = self._table.current
        if configuration is None:
            return self._refusal(
                503, Cause.NOT_CONFIGURED, _CONFIGURATION_RETRY_DELAY
            )
        oversized = _refuse_oversized(request, configuration.client_limits)
        if oversized is not None:
            return oversized
        route = self._table.match(request.host, request.path)
        if route is None:
            return local_reply(404, Cause.NO_ROUTE)
        reply_deadline, leaf_deadline = _deadlines(request, route, arrived_at)
        refusal_cause = self._known_too_late(route, reply_deadline)
        if refusal_cause is not None:
            return self._refusal(503, refusal_cause, _ZERO)
        services = self._table.select_services(route)
        with contextlib.ExitStack() as open_request:
            try:
                open_request.enter_context(self._reserve_memory(services))
            except _client_memory.MemoryFullError:
                return self._refusal(
                    503, Cause.MEMORY_FULL, _MEMORY_RETRY_DELAY
                )
            match route.target:
                case routing.Gather() as gather:
                    pending_reply = self._serve_gather(
                        _gathering.Query(
                            request,
                            route,
                            gather,
                            configuration.version,
                            arrived_at,
                            _gather_times(route, arrived_at, reply_deadline),
                            leaf_deadline,
                        )
                    )
                    if startup_delay > route.target_latency:
                        reply = await self._serve_queued(
                            pending_reply, reply_deadline
                        )
                    else:
                        reply = await pending_reply
                case routing.SingleService() | routing.SplitTraffic():
                    reply = await self._serve_single(
                        request,
                        route,
                        services[0],
                        reply_deadline,
                        leaf_deadline,
                    )
        log_fields = {
            "route": route.name,
            "configuration": configuration.version,
            "time_left_ms": clock_lib.to_ms(leaf_deadline - arrived_at),
            "target_ms": clock_lib.to_ms(route.target_latency),
            "services": services[:1] if len(services) == 1 else len(services),
            **reply.log_fields,
        }
        return dataclasses.replace(reply, log_fields=log_fields)

    def _reserve_memory(
        self, services: Sequence[str]
    ) -> contextlib.AbstractContextManager[None]:
        if self._memory is None:
            return contextlib.nullcontext()
        return self._memory.reserve(
            _REQUEST_BYTES + _SERVICE_CALL_BYTES * len(services)
        )

    def _known_too_late(
        self, route: routing.Route, reply_deadline: datetime.timedelta
    ) -> Cause | None:
        """Returns why a request can't be answered in time; None if it can.

        Its caller can still send it to another host, whereas a request that is
        cut off may have run.
        """
        now = self._clock.monotonic()
        if now >= reply_deadline:
            return Cause.STARTED_LATE
        usual_end = now + self._state.latency(route).slow_from(now)
        if self.stops_at is not None and usual_end > self.stops_at:
            return Cause.STOPPING
        return None

    def query_of_peer(
        self, message: aggregation.AggregationRequest
    ) -> _gathering.Query | None:
        """Returns the query of another host, whose shards this host gathers.

        None if the configurations of both hosts differ: a query must not be
        served from an older one than its host has already used.
        """
        configuration = self._table.current
        request = message.request
        if (
            configuration is None
            or configuration.version != message.configuration_version
        ):
            return None
        route = self._table.match(request.host, request.path)
        if (
            route is None
            or not isinstance(route.target, routing.Gather)
            or not all(
                shard < len(route.target.shards) for shard in message.shards
            )
        ):
            return None
        arrived_at = self._clock.monotonic() - message.elapsed
        reply_deadline, leaf_deadline = _deadlines(request, route, arrived_at)
        return _gathering.Query(
            request,
            route,
            route.target,
            configuration.version,
            arrived_at,
            _gather_times(route, arrived_at, reply_deadline),
            leaf_deadline,
        )

    async def _serve_gather(self, query: _gathering.Query) -> Reply:
        """Gathers a query, through other hosts if these are near its leafs."""
        if self.divided_gather is None:
            return await self._serve_undivided(query)
        groups = self.divided_gather.divide(query.gather)
        if len(groups) == 1 and groups[0].aggregator is None:
            return await self._serve_undivided(query)
        unreachable = calls.unreachable_if_too_few(
            self._state, query.gather, self._clock.monotonic()
        )
        if unreachable:
            return self._out_of_reach(unreachable, {})
        outcome, log_fields = await self.divided_gather.gather(query, groups)
        return self._gather_reply(query, outcome, log_fields)

    async def _wait_for_store(self, request: calls.ClientRequest) -> None:
        """Waits until the store is read, for a bounded time after the start."""
        remaining = self._startup_wait_end - self._clock.monotonic()
        if request.time_left is not None:
            remaining = min(
                remaining, request.time_left * _MAX_STARTUP_WAIT_RATIO
            )
        if remaining <= _ZERO:
            return
        try:
            async with asyncio.timeout(remaining.total_seconds()):
                await self._store_loaded.wait()
        except TimeoutError:
            # The caller of this method refuses the request with a Retry-After.
            return

    async def _serve_queued(
        self,
        pending_reply: Coroutine[Any, Any, Reply],
        reply_deadline: datetime.timedelta,
    ) -> Reply:
        """Serves a request from the queue of those already over their target.

        Args:
            pending_reply: Serves the request; not started yet.
            reply_deadline: Monotonic time at which a queued request is refused.
        """
        admitted = asyncio.Event()
        remaining = max(reply_deadline - self._clock.monotonic(), _ZERO)
        self.start_queue.enter(admitted.set)
        try:
            async with asyncio.timeout(remaining.total_seconds()):
                await admitted.wait()
        except BaseException as error:
            pending_reply.close()
            if not self.start_queue.withdraw(admitted.set):
                self.start_queue.leave()
            if isinstance(error, TimeoutError):
                return self._refusal(503, Cause.NO_LEAF, _BUSY_RETRY_DELAY)
            raise
        try:
            return await pending_reply
        finally:
            self.start_queue.leave()

    async def _serve_undivided(self, query: _gathering.Query) -> Reply:
        """Gathers all shards of a query with calls from this host."""
        outcome, log_fields = await self.local_gather.gather_whole(query)
        return self._gather_reply(query, outcome, log_fields)

    def _gather_reply(
        self,
        query: _gathering.Query,
        outcome: calls.GatherOutcome,
        log_fields: dict[str, Any],
    ) -> Reply:
        if outcome.enough:
            headers = self._protocol.gather_headers(
                outcome.signatures, outcome.missing
            )
            return Reply(
                200,
                tuple(headers.items()),
                outcome.body,
                missing=outcome.missing_services,
                log_fields=log_fields,
            )
        if outcome.out_of_reach:
            return self._out_of_reach(outcome.missing_services, log_fields)
        log_fields["missing"] = list(outcome.missing_services)
        if not outcome.sent:
            reply = self._refusal(503, Cause.NO_LEAF, _BUSY_RETRY_DELAY)
        elif self._clock.monotonic() >= query.times.end:
            reply = local_reply(504, Cause.DEADLINE)
        else:
            reply = local_reply(502, Cause.TOO_FEW_PARTS)
        return dataclasses.replace(reply, log_fields=log_fields)

    def _out_of_reach(
        self, services: tuple[str, ...], log_fields: dict[str, Any]
    ) -> Reply:
        return dataclasses.replace(
            self._refusal(503, Cause.OUT_OF_REACH, _REDIRECT_RETRY_DELAY),
            log_fields={
                **log_fields,
                "missing": list(services),
                "zones_out_of_reach": sorted(
                    self._state.reach.unreachable_zones
                ),
            },
        )

    async def _serve_single(
        self,
        request: calls.ClientRequest,
        route: routing.Route,
        service: str,
        reply_deadline: datetime.timedelta,
        leaf_deadline: datetime.timedelta,
    ) -> Reply:
        call = calls.ServiceCall(self._state, route, service)
        exchange = _exchange.Exchange(
            self._pool,
            self._clock,
            request,
            leaf_deadline,
            at_most_once=not route.idempotent,
        )
        now = self._clock.monotonic()
        unsent_deadline = now + (reply_deadline - now) * _MAX_UNSENT_RATIO
        first_send = call.first(now)
        try:
            if first_send is not None:
                exchange.dispatch((first_send,))
            while call.is_open or call.is_waiting:
                now = self._clock.monotonic()
                if not call.was_sent and now >= unsent_deadline:
                    break
                if not call.is_open and now >= reply_deadline:
                    break
                if now >= reply_deadline:
                    log_fields = {"trail": exchange.trail()}
                    exchange.cancel(call.give_up(now))
                    return dataclasses.replace(
                        local_reply(504, Cause.DEADLINE), log_fields=log_fields
                    )
                next_time = call.next_time()
                wake_at = (
                    reply_deadline
                    if next_time is None
                    else min(reply_deadline, next_time)
                )
                for send, result in await exchange.wait(wake_at):
                    now = self._clock.monotonic()
                    match result:
                        case calls.Answered(answer):
                            call.succeeded(send, now)
                            exchange.release(call.release_open(), call)
                            return Reply(
                                answer.status,
                                answer.headers(),
                                answer.body,
                                log_fields={"trail": exchange.trail()},
                            )
                        case calls.Failed() as failure:
                            retry = call.failed(send, failure, now)
                            if retry is not None:
                                exchange.dispatch((retry,))
                next_send = call.tick(self._clock.monotonic())
                if next_send is not None:
                    exchange.dispatch((next_send,))
        except BaseException:
            exchange.cancel(call.give_up(self._clock.monotonic()))
            raise
        return dataclasses.replace(
            self._failure_reply(call), log_fields={"trail": exchange.trail()}
        )

    def _failure_reply(self, call: calls.ServiceCall) -> Reply:
        failure = call.last_failure
        if not call.was_sent:
            return self._refusal(503, Cause.NO_LEAF, _BUSY_RETRY_DELAY)
        if not call.may_have_run:
            return self._refusal(503, Cause.LEAFS_REJECTED, _BUSY_RETRY_DELAY)
        if (
            failure is not None
            and failure.kind is calls.FailureKind.ERROR
            and failure.answer is not None
            and failure.answer.status not in _NOT_RUN_STATUSES
        ):
            answer = failure.answer
            return Reply(
                answer.status, answer.headers(), answer.body, Cause.LEAF_FAILED
            )
        return local_reply(502, Cause.LEAF_FAILED)

    def _refusal(
        self, status: int, cause: Cause, delay: datetime.timedelta
    ) -> Reply:
        return local_reply(status, cause, self._protocol.retry_after(delay))


def _gather_times(
    route: routing.Route,
    arrived_at: datetime.timedelta,
    reply_deadline: datetime.timedelta,
) -> calls.GatherTimes:
    answer_at = arrived_at + max(
        route.target_latency - _ANSWER_MARGIN, route.target_latency / 2
    )
    return calls.GatherTimes(answer_at, reply_deadline)


def _deadlines(
    request: calls.ClientRequest,
    route: routing.Route,
    now: datetime.timedelta,
) -> tuple[datetime.timedelta, datetime.timedelta]:
    """Returns the deadline for the reply and the later one for leafs."""
    remaining = route.timeout
    if request.time_left is not None:
        remaining = min(remaining, request.time_left)
    margin = min(_DEADLINE_MARGIN, remaining * _MAX_DEADLINE_MARGIN_RATIO)
    return now + remaining - margin, now + remaining


def _refuse_oversized(
    request: calls.ClientRequest, limits: routing.ClientLimits
) -> Reply | None:
    """Returns the refusal of a request over a limit on its size, if it is."""
    if request.header_bytes > limits.max_header_bytes:
        return local_reply(431, Cause.HEAD_TOO_LARGE)
    if len(request.body) > limits.max_body_bytes:
        return local_reply(413, Cause.BODY_TOO_LARGE)
    return None


def local_reply(
    status: int, cause: Cause, headers: Mapping[str, str] | None = None
) -> Reply:
    """Returns a reply that this host makes without a leaf answer.

    Args:
        status: HTTP status.
        cause: Why the request was not served; its value is the body.
        headers: Headers of the reply.
    """
    return Reply(
        status,
        tuple((headers or {}).items()),
        cause.value.encode() + b"\n",
        cause,
    )
