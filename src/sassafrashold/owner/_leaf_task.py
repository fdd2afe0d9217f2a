"""The task that owns one leaf: its queue, connections and state."""

import asyncio
from collections.abc import Iterator
import contextlib
import datetime
import logging
import typing

from opentelemetry import trace

from sassafrashold import errors
from sassafrashold import index
from sassafrashold import leafs
from sassafrashold import table
from sassafrashold.leafs import client as leaf_client
from sassafrashold.owner import _gate
from sassafrashold.owner import _messages
from sassafrashold.telemetry import tracing

_LOGGER = logging.getLogger(__name__)
_TICK_S = 0.02
_HEALTH_INTERVAL_S = 1.0
_HEALTH_SILENCE = datetime.timedelta(seconds=1)


class LeafTask:
    """Gets messages through a queue; nothing else changes its state."""

    def __init__(
        self,
        leaf: index.Leaf,
        row: table.ServiceRow,
        context: _messages.Context,
    ) -> None:
        self.leaf = leaf
        self._service = row.service
        self._context = context
        limits = leafs.LeafLimits.from_row(row)
        self.aggregate = leafs.Leaf(
            limits, context.clock, cold_start=not context.rights.static
        )
        self._inbox: asyncio.Queue[_messages.Message] = asyncio.Queue()
        self._client = self._new_client()
        self._flight_by_waiter: dict[leafs.Waiter, _messages.Flight] = {}
        self._background: set[asyncio.Task[None]] = set()
        self._tick: asyncio.TimerHandle | None = None
        self._health: asyncio.TimerHandle | None = None
        self._was_open = True
        self._was_owned = True
        self._configured: table.Table | None = None

    def submit(self, waiter: leafs.Waiter) -> None:
        """Hands over work; its `reply` is called exactly once."""
        self._inbox.put_nowait(_messages.Submit(waiter))

    def cancel(self, waiter: leafs.Waiter) -> None:
        """Tells that nobody waits any more."""
        self._inbox.put_nowait(_messages.Cancel(waiter))

    def refresh(self) -> None:
        """Tells that the view or the entitlement has changed."""
        self._inbox.put_nowait(_messages.Refresh())

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

    def _handle(self, message: _messages.Message) -> None:
        match message:
            case _messages.Submit():
                self._submit(message.waiter)
            case _messages.Cancel():
                self._cancel(message.waiter)
            case _messages.Succeeded():
                self._end(message.flight)
                self._deliver(
                    self.aggregate.record_success(
                        message.flight.batch,
                        message.generation,
                        message.value_by_position,
                    )
                )
            case _messages.Failed():
                self._end(message.flight)
                self._deliver(self._fail(message))
            case _messages.Ended():
                self.aggregate.state.release(message.flight.batch.call)
            case _messages.Hint():
                self._take_hint(message.health)
            case _messages.Tick():
                self._tick = None
            case _messages.Refresh():
                pass
            case _messages.HealthDue():
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

    def _fail(self, message: _messages.Failed) -> leafs.Answers:
        batch = message.flight.batch
        code = message.error.code
        answered = code is errors.ErrorCode.LEAF_FAILED
        if code is errors.ErrorCode.LEAF_RESTARTED and not batch.work.dispatch:
            self._context.metrics.count("leaf.calls_for_ended_generation")
            self.aggregate.requeue(batch, message.error, message.flight.waiters)
            return []
        if not message.sent or (message.flight.cancelled and answered):
            return self.aggregate.record_not_sent(batch, message.error)
        self._context.metrics.count(
            f"leaf.failures.{message.error.code.value.lower()}"
        )
        answers = self.aggregate.record_failure(batch, message.error)
        if (
            message.error.code is errors.ErrorCode.CONNECTION_LOST
            and not batch.work.dispatch
        ):
            self._spawn(self._confirm_end(message.flight))
        return answers

    async def _confirm_end(self, flight: _messages.Flight) -> None:
        """Frees the slot of a lost query before its deadline, if possible."""
        if await self._client.cancel(flight.request_id):
            self._inbox.put_nowait(_messages.Ended(flight))

    def _end(self, flight: _messages.Flight) -> None:
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
        while True:
            granted = self.grant().slots
            self._deliver(self.aggregate.drop_late(granted))
            batch = self.aggregate.next_batch(granted)
            if batch is None:
                break
            self._start(batch)
        if len(self.aggregate.queue) and self._tick is None:
            self._tick = asyncio.get_running_loop().call_later(
                self._tick_delay_s(), self._inbox.put_nowait, _messages.Tick()
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
            self.aggregate.state.limits.cold_start_slots,
        )

    def _start(self, batch: leafs.Batch) -> None:
        number = next(self._context.call_ids)
        request_id = f"{self._context.rights.incarnation}-{number}"
        flight = _messages.Flight(batch, request_id)
        for waiter in flight.waiters:
            self._flight_by_waiter[waiter] = flight
        self._spawn(self._call(flight))

    async def _call(self, flight: _messages.Flight) -> None:
        batch = flight.batch
        origin: _messages.Origin = batch.work.detail
        refusal = self._last_check()
        if refusal is not None:
            self._inbox.put_nowait(
                _messages.Failed(flight, refusal, sent=False)
            )
            return
        # Reading the wall clock first makes the deadline earlier, never later.
        wall = self._context.clock.now()
        deadline = wall + (
            batch.call.deadline - self._context.clock.monotonic()
        )
        try:
            with self._span(origin.traceparent) as header:
                if batch.work.dispatch:
                    message = await self._dispatch(flight, deadline, header)
                else:
                    message = await self._query(flight, deadline, header)
        except errors.LeafError as error:
            message = _messages.Failed(flight, error)
        except Exception as error:
            _LOGGER.exception("leaf call failed")
            message = _messages.Failed(flight, _unexpected(error))
        self._inbox.put_nowait(message)

    @contextlib.contextmanager
    def _span(self, traceparent: str | None) -> Iterator[str | None]:
        """Runs a block in a span, if anybody records it."""
        if not self._context.spans:
            yield traceparent
            return
        with self._context.tracer.span(
            "owner.leaf_call", traceparent, trace.SpanKind.CLIENT
        ) as span:
            yield tracing.header_of(span)

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
        self,
        flight: _messages.Flight,
        deadline: datetime.datetime,
        traceparent: str | None,
    ) -> _messages.Message:
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
            self.aggregate.state.generation,
        )
        rows = answer.rows_by_id
        return _messages.Succeeded(
            flight,
            answer.generation,
            {
                position: rows[item.item_id]
                for position, item in enumerate(items)
                if item.item_id in rows
            },
        )

    async def _dispatch(
        self,
        flight: _messages.Flight,
        deadline: datetime.datetime,
        traceparent: str | None,
    ) -> _messages.Message:
        work = flight.batch.work
        answer = await self._client.dispatch(
            work.detail.idempotency_key,
            work.detail.claim_id,
            work.body,
            deadline,
            traceparent,
            self.aggregate.state.generation,
        )
        return _messages.Succeeded(
            flight, answer.generation, {0: answer.result}
        )

    def _schedule_health(self, delay_s: float) -> None:
        self._health = asyncio.get_running_loop().call_later(
            delay_s, self._inbox.put_nowait, _messages.HealthDue()
        )

    def _ask_health(self) -> None:
        now = self._context.clock.monotonic()
        recent = now - self.aggregate.state.last_success < _HEALTH_SILENCE
        # A leaf that answers calls needs no report.
        if self._context.rights.owns(self.leaf) and not recent:
            self._spawn(self._health_call())
        else:
            self._schedule_health(_HEALTH_INTERVAL_S)

    async def _health_call(self) -> None:
        self._inbox.put_nowait(_messages.Hint(await self._client.health()))

    def _take_hint(self, health: leaf_client.Health | None) -> None:
        self._schedule_health(_HEALTH_INTERVAL_S)
        if health is not None:
            state = self.aggregate.state
            state.apply_health_report(health.generation, health.draining)
            state.end_backoff()

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
