"""The task that owns one leaf: its queue, connections and state."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import datetime
import logging
import typing

from opentelemetry import trace

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import index
from sassafrashold import leafs
from sassafrashold import table
from sassafrashold import telemetry
from sassafrashold import views
from sassafrashold.leafs import client as leaf_client
from sassafrashold.owner import _gate
from sassafrashold.owner import _rights
from sassafrashold.telemetry import tracing

_LOGGER = logging.getLogger(__name__)
_TICK_S = 0.02
_HEALTH_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True)
class Origin:
    """Where a piece of work comes from."""

    request_id: str
    """Id of the caller's request."""

    traceparent: str | None
    """W3C trace context."""

    idempotency_key: str = ""
    """Of a dispatch."""

    claim_id: str = ""
    """Of a dispatch."""


@dataclasses.dataclass(frozen=True)
class Context:
    """What all leaf tasks of the process share."""

    clock: clock_lib.Clock
    """The clock."""

    rights: _rights.Rights
    """What may be used."""

    view: Callable[[], views.View]
    """Returns the current view."""

    metrics: telemetry.Metrics
    """Where to report."""

    tracer: tracing.Tracer
    """Starts spans."""

    call_ids: Iterator[int]
    """Numbers of leaf calls."""


@dataclasses.dataclass(frozen=True)
class _Submit:
    waiter: leafs.Waiter


@dataclasses.dataclass(frozen=True)
class _Cancel:
    waiter: leafs.Waiter


@dataclasses.dataclass(frozen=True)
class _Succeeded:
    flight: "_Flight"
    generation: str
    value_by_position: dict[int, bytes]


@dataclasses.dataclass(frozen=True)
class _Failed:
    flight: "_Flight"
    error: errors.SassafrasError
    sent: bool = True


@dataclasses.dataclass(frozen=True)
class _Hint:
    health: leaf_client.Health | None


@dataclasses.dataclass(frozen=True)
class _Tick:
    pass


@dataclasses.dataclass(frozen=True)
class _Refresh:
    pass


@dataclasses.dataclass(frozen=True)
class _HealthDue:
    pass


_Message = (
    _Submit
    | _Cancel
    | _Succeeded
    | _Failed
    | _Hint
    | _Tick
    | _Refresh
    | _HealthDue
)


class _Flight:
    """A batch under way."""

    def __init__(self, batch: leafs.Batch, request_id: str) -> None:
        self.batch = batch
        self.request_id = request_id
        self.cancelled = False
        self.waiters = {w for entry in batch.entries for w in entry.waiters}


class LeafTask:
    """Gets messages through a queue; nothing else changes its state."""

    def __init__(
        self, leaf: index.Leaf, row: table.ServiceRow, context: Context
    ) -> None:
        self.leaf = leaf
        self._service = row.service
        self._context = context
        limits = leafs.LeafLimits.from_row(row)
        self.aggregate = leafs.Leaf(
            limits, context.clock, cold_start=not context.rights.static
        )
        self._inbox: asyncio.Queue[_Message] = asyncio.Queue()
        self._client = self._new_client()
        self._flight_by_waiter: dict[leafs.Waiter, _Flight] = {}
        self._background: set[asyncio.Task[None]] = set()
        self._tick: asyncio.TimerHandle | None = None
        self._health: asyncio.TimerHandle | None = None
        self._was_open = True
        self._was_owned = True
        self._configured: table.Table | None = None

    def submit(self, waiter: leafs.Waiter) -> None:
        """Hands over work; its `reply` is called exactly once."""
        self._inbox.put_nowait(_Submit(waiter))

    def cancel(self, waiter: leafs.Waiter) -> None:
        """Tells that nobody waits any more."""
        self._inbox.put_nowait(_Cancel(waiter))

    def refresh(self) -> None:
        """Tells that the view or the entitlement has changed."""
        self._inbox.put_nowait(_Refresh())

    @property
    def idle(self) -> bool:
        """Whether nothing waits, runs or may still run at the leaf."""
        return self._inbox.empty() and self.aggregate.idle

    def grant(self) -> leafs.SlotGrant:
        """Returns the entitlement at this moment."""
        return self._context.rights.grant(
            self.leaf, self.aggregate.state.limits.slots
        )

    async def run(self) -> None:
        """Handles messages until cancelled."""
        self._schedule_health(0.0)
        try:
            while True:
                self._handle(await self._inbox.get())
                while not self._inbox.empty():
                    self._handle(self._inbox.get_nowait())
                self._advance()
        finally:
            for timer in (self._tick, self._health):
                if timer is not None:
                    timer.cancel()
            await self._client.close()

    def _handle(self, message: _Message) -> None:
        match message:
            case _Submit():
                self._submit(message.waiter)
            case _Cancel():
                self._cancel(message.waiter)
            case _Succeeded():
                self._end(message.flight)
                self._deliver(
                    self.aggregate.succeeded(
                        message.flight.batch,
                        message.generation,
                        message.value_by_position,
                    )
                )
            case _Failed():
                self._end(message.flight)
                self._deliver(self._fail(message))
            case _Hint():
                self._take_hint(message.health)
            case _Tick():
                self._tick = None
            case _Refresh():
                pass
            case _HealthDue():
                self._ask_health()
            case _:
                typing.assert_never(message)

    def _submit(self, waiter: leafs.Waiter) -> None:
        grant = self.grant()
        refusal: errors.SassafrasError | None = self._refusal(grant)
        if refusal is None:
            refusal = self.aggregate.submit(waiter, grant.slots)
        if refusal is not None:
            self._deliver([(waiter, refusal)])

    def _refusal(self, grant: leafs.SlotGrant) -> errors.LeafError | None:
        """Returns why the leaf gets no new work at all, if it gets none."""
        refusal = _gate.refusal(self._context.view(), self.leaf)
        if refusal is not None:
            return refusal
        if grant.slots < 1 and not (
            self._context.rights.evidence_due()
            and grant.basis is leafs.Basis.NO_EVIDENCE
        ):
            return _gate.no_slots(self.leaf, grant)
        return None

    def _cancel(self, waiter: leafs.Waiter) -> None:
        if self.aggregate.cancel(waiter):
            return
        flight = self._flight_by_waiter.pop(waiter, None)
        if flight is None:
            return
        flight.waiters.discard(waiter)
        if flight.waiters or flight.batch.work.dispatch or flight.cancelled:
            return
        # The slot stays in use until the leaf has ended the call.
        flight.cancelled = True
        self._context.metrics.count("leaf.cancels")
        self._spawn(self._cancel_at_leaf(flight.request_id))

    async def _cancel_at_leaf(self, request_id: str) -> None:
        await self._client.cancel(request_id)

    def _fail(self, message: _Failed) -> leafs.Answers:
        batch = message.flight.batch
        answered = message.error.code is errors.ErrorCode.LEAF_FAILED
        if not message.sent or (message.flight.cancelled and answered):
            return self.aggregate.not_sent(batch, message.error)
        self._context.metrics.count(
            f"leaf.failures.{message.error.code.value.lower()}"
        )
        return self.aggregate.failed(batch, message.error)

    def _end(self, flight: _Flight) -> None:
        for waiter in flight.waiters:
            self._flight_by_waiter.pop(waiter, None)

    def _deliver(self, answers: leafs.Answers) -> None:
        for waiter, answer in answers:
            waiter.reply(answer)

    def _advance(self) -> None:
        """Adapts to changes and starts all calls that may start."""
        self._follow_view()
        refusal = self._refusal(self.grant())
        if refusal is not None:
            self._deliver(self.aggregate.refuse_all(refusal))
        self._deliver(self.aggregate.drop_late())
        while True:
            batch = self.aggregate.next_batch(self.grant().slots)
            if batch is None:
                break
            self._start(batch)
        if len(self.aggregate.queue) and self._tick is None:
            self._tick = asyncio.get_running_loop().call_later(
                self._tick_delay_s(), self._inbox.put_nowait, _Tick()
            )

    def _tick_delay_s(self) -> float:
        deadline = self.aggregate.queue.next_deadline()
        if deadline is None:
            return _TICK_S
        remaining = deadline - self._context.clock.monotonic()
        return min(_TICK_S, max(0.001, remaining.total_seconds()))

    def _follow_view(self) -> None:
        """Takes over limits; a leaf that comes back starts cold."""
        view = self._context.view()
        if view.table is not None and view.table is not self._configured:
            self._configured = view.table
            row = view.table.row_by_service.get(self._service)
            if row is not None:
                self._configure(row, view.table)
        is_open = _gate.refusal(view, self.leaf) is None
        is_owned = self._context.rights.owns(self.leaf)
        if (is_open and not self._was_open) or (
            is_owned and not self._was_owned
        ):
            self.aggregate.state.become_cold()
        self._was_open = is_open
        self._was_owned = is_owned

    def _configure(self, row: table.ServiceRow, whole: table.Table) -> None:
        limit = self.aggregate.state.connection_limit()
        self.aggregate.configure(
            leafs.LeafLimits.from_row(row), _gate.weight_by_class(whole)
        )
        if self.aggregate.state.connection_limit() != limit:
            self._replace_client()

    def move(self, leaf: index.Leaf) -> None:
        """Takes over a new zone, host or address of the leaf."""
        moved = leaf.address != self.leaf.address
        self.leaf = leaf
        if moved:
            self._replace_client()
            self.aggregate.state.become_cold()

    def _replace_client(self) -> None:
        """Opens new connections; calls under way end on the old ones."""
        old = self._client
        running = [task for task in self._background if not task.done()]
        self._client = self._new_client()
        self._spawn(_close_after(old, running))

    def _new_client(self) -> leaf_client.LeafClient:
        return leaf_client.LeafClient(
            self.leaf.address,
            self.aggregate.state.connection_limit(),
            self._context.clock,
        )

    def _start(self, batch: leafs.Batch) -> None:
        number = next(self._context.call_ids)
        request_id = f"{self._context.rights.incarnation}-{number}"
        flight = _Flight(batch, request_id)
        for waiter in flight.waiters:
            self._flight_by_waiter[waiter] = flight
        self._spawn(self._call(flight))

    async def _call(self, flight: _Flight) -> None:
        batch = flight.batch
        origin: Origin = batch.work.detail
        refusal = self._last_check()
        if refusal is not None:
            self._inbox.put_nowait(_Failed(flight, refusal, sent=False))
            return
        # Reading the wall clock first makes the deadline earlier, never later.
        wall = self._context.clock.now()
        deadline = wall + (
            batch.call.deadline - self._context.clock.monotonic()
        )
        try:
            with self._context.tracer.span(
                "owner.leaf_call", origin.traceparent, trace.SpanKind.CLIENT
            ) as span:
                header = tracing.header_of(span)
                if batch.work.dispatch:
                    message = await self._dispatch(flight, deadline, header)
                else:
                    message = await self._query(flight, deadline, header)
        except errors.LeafError as error:
            message = _Failed(flight, error)
        except Exception as error:
            _LOGGER.exception("leaf call failed")
            message = _Failed(flight, _unexpected(error))
        self._inbox.put_nowait(message)

    def _last_check(self) -> errors.LeafError | None:
        """Repeats all checks right before the call; it counts as in use."""
        refusal = _gate.refusal(self._context.view(), self.leaf)
        if refusal is not None:
            return refusal
        grant = self.grant()
        if self.aggregate.state.in_use() > grant.slots:
            return _gate.no_slots(self.leaf, grant)
        return None

    async def _query(
        self, flight: _Flight, deadline: datetime.datetime, traceparent: str
    ) -> _Message:
        batch = flight.batch
        items = [
            leaf_client.Item(
                f"{position}/{entry.work.detail.request_id}/{entry.work.shard}",
                entry.work.shard,
                entry.work.body,
            )
            for position, entry in enumerate(batch.entries)
        ]
        answer = await self._client.query(
            flight.request_id,
            batch.work.service,
            batch.work.index_version,
            items,
            deadline,
            traceparent,
        )
        rows = answer.rows_by_id
        return _Succeeded(
            flight,
            answer.generation,
            {
                position: rows[item.item_id]
                for position, item in enumerate(items)
                if item.item_id in rows
            },
        )

    async def _dispatch(
        self, flight: _Flight, deadline: datetime.datetime, traceparent: str
    ) -> _Message:
        work = flight.batch.work
        answer = await self._client.dispatch(
            work.detail.idempotency_key,
            work.detail.claim_id,
            work.body,
            deadline,
            traceparent,
        )
        return _Succeeded(flight, answer.generation, {0: answer.result})

    def _schedule_health(self, delay_s: float) -> None:
        self._health = asyncio.get_running_loop().call_later(
            delay_s, self._inbox.put_nowait, _HealthDue()
        )

    def _ask_health(self) -> None:
        if self._context.rights.owns(self.leaf):
            self._spawn(self._health_call())
        else:
            self._schedule_health(_HEALTH_INTERVAL_S)

    async def _health_call(self) -> None:
        self._inbox.put_nowait(_Hint(await self._client.health()))

    def _take_hint(self, health: leaf_client.Health | None) -> None:
        self._schedule_health(_HEALTH_INTERVAL_S)
        if health is not None:
            state = self.aggregate.state
            state.hint(health.generation, health.draining)
            state.hint_reachable()

    def _spawn(self, coroutine: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)


async def _close_after(
    client: leaf_client.LeafClient, running: list[asyncio.Task[None]]
) -> None:
    if running:
        await asyncio.wait(running)
    await client.close()


def _unexpected(error: Exception) -> errors.LeafError:
    return errors.LeafError(
        errors.ErrorCode.INTERNAL,
        f"{type(error).__name__} in a leaf call",
        ran=errors.Ran.OUTCOME_UNKNOWN,
    )
