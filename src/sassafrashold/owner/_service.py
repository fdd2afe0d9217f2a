"""The Thrift methods `scatter` and `dispatch`."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import datetime
import json
import typing
from typing import Any

from opentelemetry import trace

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import leafs
from sassafrashold import rpc
from sassafrashold import settings
from sassafrashold import telemetry
from sassafrashold import views
from sassafrashold import wire
from sassafrashold.owner import _leaf_task
from sassafrashold.owner import _messages
from sassafrashold.owner import _registry
from sassafrashold.owner import _rights
from sassafrashold.owner import _router
from sassafrashold.telemetry import tracing

# Keeps the answer ahead of the end of the caller's wait.
_MARGIN = datetime.timedelta(milliseconds=5)
_MARGIN_SHARE = 0.1


@dataclasses.dataclass(frozen=True)
class _Answered:
    """An answer and the sub-query that it belongs to."""

    subquery: Any
    """The wire sub-query."""

    answer: leafs.Answer
    """Rows or the error."""


@dataclasses.dataclass(frozen=True)
class _Forwarded:
    """A result of another owner, passed on as it is."""

    result: bytes
    """Encoded `ShardResult`."""


_Event = _Answered | _Forwarded


class Service:
    """Serves entries and other owners."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        rights: _rights.Rights,
        view: Callable[[], views.View],
        registry: _registry.Registry,
        pool: rpc.Pool,
        tracer: tracing.Tracer,
        metrics: telemetry.Metrics,
    ) -> None:
        self._clock = clock
        self._rights = rights
        self._view = view
        self._registry = registry
        self._pool = pool
        self._tracer = tracer
        self._metrics = metrics
        self.refusing = False
        self.open_requests = 0
        self.last_arrival = clock.monotonic()

    async def scatter(self, context: rpc.RequestContext, body: bytes) -> bytes:
        """Runs sub-queries and streams each result as soon as it is known."""
        self.last_arrival = self._clock.monotonic()
        request = _decode(wire.messages.ScatterRequest, body)
        _check_json(request.query, "query")
        with self._open_request("scatter", context) as traceparent:
            await _Scatter(self, context, request, traceparent).run()
        return wire.encode(
            wire.messages.ScatterEnd(results=len(request.subqueries))
        )

    async def dispatch(self, context: rpc.RequestContext, body: bytes) -> bytes:
        """Runs one non-idempotent call; never forwards it."""
        self.last_arrival = self._clock.monotonic()
        request = _decode(wire.messages.DispatchRequest, body)
        _check_json(request.body, "body")
        with self._open_request("dispatch", context) as traceparent:
            return await self._dispatch(context, request, traceparent)

    @contextlib.contextmanager
    def _open_request(
        self, name: str, context: rpc.RequestContext
    ) -> Iterator[str]:
        """Counts and traces a request; yields the trace context of its span."""
        self._metrics.count(f"owner.{name}")
        self.open_requests += 1
        try:
            with self._tracer.span(
                f"owner.{name}", context.traceparent, trace.SpanKind.SERVER
            ) as span:
                yield tracing.header_of(span)
        finally:
            self.open_requests -= 1

    async def _dispatch(
        self, context: rpc.RequestContext, request: Any, traceparent: str
    ) -> bytes:
        # A dispatch message carries no hop count, so it is never forwarded.
        route = self.route(request.service_name, request.leaf, _router.MAX_HOPS)
        match route:
            case _router.Nowhere():
                raise route.error
            case _router.Elsewhere():
                raise AssertionError("a dispatch is never forwarded")
            case _router.Here():
                task = self.task(request.service_name, route)
            case _:
                typing.assert_never(route)
        answered: asyncio.Queue[leafs.Answer] = asyncio.Queue()
        work = leafs.Work(
            request.service_name,
            "",
            0,
            request.body,
            self.priority_class(request.service_name, ""),
            self.deadline(context, request.service_name),
            dispatch=True,
            detail=_messages.Origin(
                request.request_id,
                traceparent,
                request.idempotency_key,
                request.claim_id,
            ),
        )
        waiter = leafs.Waiter(
            work, answered.put_nowait, self._clock.monotonic()
        )
        task.submit(waiter)
        try:
            answer = await answered.get()
        except asyncio.CancelledError:
            task.cancel(waiter)
            raise
        match answer:
            case leafs.Rows():
                return wire.encode(
                    wire.messages.DispatchReply(
                        result=answer.value,
                        leaf_ms=clock_lib.to_ms(answer.call_time),
                    )
                )
            case errors.SassafrasError():
                raise answer
            case _:
                typing.assert_never(answer)

    def route(self, service: str, leaf_id: str, hops: int) -> _router.Route:
        """Returns where work for a leaf goes."""
        if self.refusing:
            return _router.Nowhere(
                errors.LeafError(
                    errors.ErrorCode.LEAVING, "this process is leaving"
                )
            )
        return _router.route(self._view(), self._rights, service, leaf_id, hops)

    def task(self, service: str, here: _router.Here) -> _leaf_task.LeafTask:
        """Returns the task of an owned leaf."""
        task = self._registry.get(service, here.leaf)
        if task is None:
            raise errors.LeafError(
                errors.ErrorCode.UNKNOWN_SERVICE, f"no service {service!r}"
            )
        return task

    def client(self, address: settings.Address) -> rpc.Client:
        """Returns the client of another owner."""
        return self._pool.get(address)

    def priority_class(self, service: str, asked: str) -> str:
        """Returns the class that is used; an unknown one is replaced."""
        table = self._view().table
        if table is None:
            return asked
        if any(row.priority_class == asked for row in table.rows):
            return asked
        row = table.row_by_service.get(service)
        return asked if row is None else row.priority_class

    def deadline(
        self, context: rpc.RequestContext, service: str
    ) -> datetime.timedelta:
        """Returns the monotonic deadline of a request, with a margin."""
        now = self._clock.monotonic()
        if context.deadline is not None:
            remaining = context.deadline - self._clock.now()
            return now + remaining - min(_MARGIN, remaining * _MARGIN_SHARE)
        table = self._view().table
        row = table.row_by_service.get(service) if table else None
        return now + (
            clock_lib.from_ms(row.deadline_ms)
            if row
            else leafs.MAX_LEAF_CALL_DURATION
        )

    def now(self) -> datetime.timedelta:
        """Returns the monotonic time."""
        return self._clock.monotonic()

    def wall_deadline(self, deadline: datetime.timedelta) -> datetime.datetime:
        """Returns the wall time of a monotonic deadline."""
        return self._clock.now() + (deadline - self._clock.monotonic())


class _Scatter:
    """One scatter request."""

    def __init__(
        self,
        service: Service,
        context: rpc.RequestContext,
        request: Any,
        traceparent: str,
    ) -> None:
        self._service = service
        self._context = context
        self._request = request
        self._traceparent = traceparent
        self._deadline = service.deadline(context, request.service_name)
        self._events: asyncio.Queue[_Event] = asyncio.Queue()
        self._open: dict[leafs.Waiter, _leaf_task.LeafTask] = {}
        self._forwards: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Emits one result for each sub-query."""
        try:
            self._distribute()
            for _ in self._request.subqueries:
                await self._emit(await self._events.get())
        finally:
            for waiter, task in self._open.items():
                task.cancel(waiter)
            for forward in self._forwards:
                forward.cancel()

    async def _emit(self, event: _Event) -> None:
        try:
            await self._context.emit(_encode_event(event))
        except errors.RpcError as error:
            # The result is too large for a frame. The sub-query has run.
            if not isinstance(event, _Answered):
                raise
            failure = errors.RpcError(
                error.code, error.message, ran=errors.Ran.OUTCOME_UNKNOWN
            )
            await self._context.emit(
                _encode_event(_Answered(event.subquery, failure))
            )

    def _distribute(self) -> None:
        request = self._request
        priority_class = self._service.priority_class(
            request.service_name, request.priority_class
        )
        origin = _messages.Origin(request.request_id, self._traceparent)
        by_owner: dict[settings.Address, list[Any]] = {}
        for subquery in request.subqueries:
            route = self._service.route(
                request.service_name, subquery.leaf, request.hops or 0
            )
            match route:
                case _router.Here():
                    self._submit(subquery, route, priority_class, origin)
                case _router.Elsewhere():
                    by_owner.setdefault(route.owner, []).append(subquery)
                case _router.Nowhere():
                    self._events.put_nowait(_Answered(subquery, route.error))
                case _:
                    typing.assert_never(route)
        self._forwards = [
            asyncio.create_task(self._forward(owner, subqueries))
            for owner, subqueries in by_owner.items()
        ]

    def _submit(
        self,
        subquery: Any,
        here: _router.Here,
        priority_class: str,
        origin: _messages.Origin,
    ) -> None:
        request = self._request
        task = self._service.task(request.service_name, here)

        def reply(answer: leafs.Answer) -> None:
            del self._open[waiter]
            self._events.put_nowait(_Answered(subquery, answer))

        work = leafs.Work(
            request.service_name,
            request.index_version,
            subquery.shard,
            request.query,
            priority_class,
            self._deadline,
            extra=bool(subquery.extra),
            detail=origin,
        )
        waiter = leafs.Waiter(work, reply, self._service.now())
        self._open[waiter] = task
        task.submit(waiter)

    async def _forward(
        self, owner: settings.Address, subqueries: list[Any]
    ) -> None:
        """Passes sub-queries on to their owner, once."""
        request = self._request
        body = wire.encode(
            wire.messages.ScatterRequest(
                request_id=request.request_id,
                service_name=request.service_name,
                index_version=request.index_version,
                query=request.query,
                subqueries=subqueries,
                priority_class=request.priority_class,
                hops=(request.hops or 0) + 1,
            )
        )
        missing = {(s.shard, s.leaf): s for s in subqueries}
        error: errors.SassafrasError = errors.RpcError(
            errors.ErrorCode.CONNECTION_LOST,
            f"owner {owner} ended the stream early",
            ran=errors.Ran.OUTCOME_UNKNOWN,
        )
        try:
            async for item in self._service.client(owner).stream(
                "scatter",
                body,
                deadline=self._service.wall_deadline(self._deadline),
                traceparent=self._traceparent,
            ):
                self._pass_on(item, missing)
        except errors.RpcError as failure:
            error = failure
        for subquery in missing.values():
            self._events.put_nowait(_Answered(subquery, error))

    def _pass_on(
        self, item: bytes, missing: dict[tuple[int, str], Any]
    ) -> None:
        """Passes on a result; the final `ScatterEnd` is not one."""
        try:
            result = wire.decode(wire.messages.ShardResult, item)
        except wire.CodecError:
            return
        if missing.pop((result.shard, result.leaf), None) is not None:
            self._events.put_nowait(_Forwarded(item))


def _encode_event(event: _Event) -> bytes:
    match event:
        case _Forwarded():
            return event.result
        case _Answered(subquery, leafs.Rows() as rows):
            return wire.encode(
                wire.messages.ShardResult(
                    shard=subquery.shard,
                    leaf=subquery.leaf,
                    rows=rows.value,
                    index_version=rows.index_version,
                    queue_ms=clock_lib.to_ms(rows.queue_time),
                    leaf_ms=clock_lib.to_ms(rows.call_time),
                    batch_size=rows.batch_size,
                    cold=rows.cold,
                )
            )
        case _Answered(subquery, errors.SassafrasError() as error):
            return wire.encode(
                wire.messages.ShardResult(
                    shard=subquery.shard,
                    leaf=subquery.leaf,
                    error=wire.error_to_wire(error),
                )
            )
        case _:
            raise AssertionError("unreachable")


def _decode(struct_type: type[Any], body: bytes) -> Any:
    try:
        return wire.decode(struct_type, body)
    except wire.CodecError as error:
        raise errors.RpcError(
            errors.ErrorCode.BAD_REQUEST, f"malformed message: {error}"
        ) from error


def _check_json(text: bytes, field: str) -> None:
    """Checks JSON that is pasted into the body of leaf calls."""
    try:
        json.loads(text)
    except (ValueError, RecursionError) as error:
        raise errors.RpcError(
            errors.ErrorCode.BAD_REQUEST,
            f"{field} is not JSON: {error}",
            field=field,
        ) from error
