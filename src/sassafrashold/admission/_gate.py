"""Asyncio front of the admission queue: requests wait here to be started."""

import asyncio
from collections.abc import AsyncGenerator
import contextlib
import dataclasses
import datetime
import typing

from sassafrashold import clock as clock_lib
from sassafrashold import table as table_lib
from sassafrashold import telemetry
from sassafrashold.admission import _queue

_PROBE_INTERVAL = datetime.timedelta(milliseconds=50)
# A probe timer that fires later than this shows that the event loop of the
# entry is overloaded.
_MAX_LAG = datetime.timedelta(milliseconds=20)


@dataclasses.dataclass
class Admitted:
    """An admitted request; the caller sets its outcome within the block."""

    waited: datetime.timedelta
    """Time in the queue."""

    congested: bool = False
    """Whether the upstream showed signs of overload."""

    answered: bool = False
    """Whether it got a regular answer, whose duration is a valid sample."""


class Gate:
    """Holds requests until the admission queue starts or refuses them."""

    def __init__(
        self, clock: clock_lib.Clock, metrics: telemetry.Metrics
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self.queue = _queue.AdmissionQueue()
        self._future_by_ticket: dict[_queue.Ticket, asyncio.Future[None]] = {}

    def configure(self, table: table_lib.Table) -> None:
        """Replaces the priority classes by those of a table."""
        self.queue.configure(class_policies(table))
        self._decide()

    @contextlib.asynccontextmanager
    async def admit(
        self,
        priority_class: str,
        service: str,
        deadline: datetime.datetime,
    ) -> AsyncGenerator[Admitted, None]:
        """Waits until the request may run; it counts as running in the block.

        Raises:
            AdmissionError: The request was refused and has not run.
        """
        now = self._clock.monotonic()
        remaining = deadline - self._clock.now()
        ticket = _queue.Ticket(priority_class, service, now + remaining, now)
        self.queue.offer(ticket, now)
        future = asyncio.get_running_loop().create_future()
        self._future_by_ticket[ticket] = future
        # Decides as of the arrival time, because a request that does not have
        # to wait is never refused as too late. Otherwise the slow answers of a
        # fault could raise the p90 service time so far that every later
        # request is refused and no new sample corrects it.
        self._decide(now)
        await self._wait(ticket, future)
        admitted = Admitted(self._clock.monotonic() - now)
        try:
            yield admitted
        finally:
            self.queue.finish(
                ticket,
                self._clock.monotonic(),
                admitted.congested,
                admitted.answered,
            )
            self._decide()

    async def watch_lag(self) -> None:
        """Adapts the concurrency limit to the event loop lag; runs forever."""
        limit = self.queue.entry_limit
        while True:
            started = self._clock.monotonic()
            await asyncio.sleep(_PROBE_INTERVAL.total_seconds())
            now = self._clock.monotonic()
            lag = now - started - _PROBE_INTERVAL
            running = self.queue.running
            limit.record_finish(started, now, running, lag > _MAX_LAG, rounds=1)
            self._decide()
            self._metrics.gauge("admission.running", running)
            self._metrics.gauge("admission.waiting", self.queue.waiting)
            self._metrics.gauge("admission.limit", limit.value)
            self._metrics.timing("entry.lag", max(lag, datetime.timedelta()))

    async def _wait(
        self, ticket: _queue.Ticket, future: asyncio.Future[None]
    ) -> None:
        if future.done():
            future.result()
            return
        now = self._clock.monotonic()
        max_wait = self.queue.latest_start(ticket, now) - now
        timer = asyncio.get_running_loop().call_later(
            max(max_wait.total_seconds(), 0.0), self._expire, ticket
        )
        try:
            await future
        except asyncio.CancelledError:
            self._future_by_ticket.pop(ticket, None)
            if not self.queue.withdraw(ticket) and _has_started(future):
                self.queue.finish(ticket, self._clock.monotonic(), False, False)
                self._decide()
            raise
        finally:
            timer.cancel()

    def _expire(self, ticket: _queue.Ticket) -> None:
        refusal = self.queue.expire(ticket, self._clock.monotonic())
        if refusal is not None:
            self._apply(refusal)

    def _decide(self, now: datetime.timedelta | None = None) -> None:
        for decision in self.queue.decide(now or self._clock.monotonic()):
            self._apply(decision)

    def _apply(self, decision: _queue.Decision) -> None:
        future = self._future_by_ticket.pop(decision.ticket)
        match decision:
            case _queue.Start():
                if future.cancelled():
                    # The waiting task was cancelled but has not yet run its
                    # own clean-up.
                    self.queue.finish(
                        decision.ticket, self._clock.monotonic(), False, False
                    )
                    return
                future.set_result(None)
            case _queue.Refuse():
                if not future.done():
                    future.set_exception(decision.error)
            case _:
                typing.assert_never(decision)


def class_policies(table: table_lib.Table) -> list[_queue.ClassPolicy]:
    """Returns the policies of the priority classes in a table.

    Services of the same class share one queue, with the largest share, floor
    and queue limit among their rows.
    """
    rows_by_class: dict[str, list[table_lib.ServiceRow]] = {}
    for row in table.rows:
        rows_by_class.setdefault(row.priority_class, []).append(row)
    return [
        _queue.ClassPolicy(
            name,
            max(row.priority_share for row in rows),
            max(row.priority_floor_percent for row in rows),
            max(row.queue_limit for row in rows),
        )
        for name, rows in rows_by_class.items()
    ]


def _has_started(future: asyncio.Future[None]) -> bool:
    return (
        future.done() and not future.cancelled() and future.exception() is None
    )
