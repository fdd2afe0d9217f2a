"""The gate that requests wait at; the asyncio side of the aggregate."""

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
# The event loop of the entry is overloaded when a timer is this much late.
_LAG_LIMIT = datetime.timedelta(milliseconds=20)


@dataclasses.dataclass
class Admitted:
    """A running request; its user states how it went."""

    waited: datetime.timedelta
    """Time in the queue."""

    congested: bool = False
    """Whether the upstream showed signs of overload."""

    answered: bool = False
    """Whether it got a regular answer."""


class Gate:
    """Lets requests run as the admission aggregate decides."""

    def __init__(
        self, clock: clock_lib.Clock, metrics: telemetry.Metrics
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self.queue = _queue.AdmissionQueue()
        self._place_by_ticket: dict[_queue.Ticket, asyncio.Future[None]] = {}

    def configure(self, table: table_lib.Table) -> None:
        """Takes over the priority classes of a table."""
        self.queue.configure(policies_of(table))
        self._decide()

    @contextlib.asynccontextmanager
    async def admit(
        self,
        priority_class: str,
        service: str,
        deadline: datetime.datetime,
    ) -> AsyncGenerator[Admitted, None]:
        """Waits for a place and holds it for the block.

        Raises:
            AdmissionError: Refused, not run.
        """
        now = self._clock.monotonic()
        left = deadline - self._clock.now()
        ticket = _queue.Ticket(priority_class, service, now + left, now)
        self.queue.offer(ticket, now)
        place = asyncio.get_running_loop().create_future()
        self._place_by_ticket[ticket] = place
        # At its time of arrival: a request that need not wait always starts,
        # otherwise slow answers during a fault could keep all later ones out.
        self._decide(now)
        await self._wait(ticket, place)
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
        """Adapts the limit of the entry to the lag of its event loop."""
        limit = self.queue.entry_limit
        while True:
            started = self._clock.monotonic()
            await asyncio.sleep(_PROBE_INTERVAL.total_seconds())
            now = self._clock.monotonic()
            lag = now - started - _PROBE_INTERVAL
            running = self.queue.running
            limit.finished(started, now, running, lag > _LAG_LIMIT, rounds=1)
            self._decide()
            self._metrics.gauge("admission.running", running)
            self._metrics.gauge("admission.waiting", self.queue.waiting)
            self._metrics.gauge("admission.limit", limit.value)
            self._metrics.timing("entry.lag", max(lag, datetime.timedelta()))

    async def _wait(
        self, ticket: _queue.Ticket, place: asyncio.Future[None]
    ) -> None:
        if place.done():
            place.result()
            return
        now = self._clock.monotonic()
        wait = self.queue.latest_start(ticket, now) - now
        timer = asyncio.get_running_loop().call_later(
            max(wait.total_seconds(), 0.0), self._expire, ticket
        )
        try:
            await place
        except asyncio.CancelledError:
            self._place_by_ticket.pop(ticket, None)
            if not self.queue.withdraw(ticket) and _has_started(place):
                self.queue.finish(ticket, self._clock.monotonic(), False, False)
                self._decide()
            raise
        finally:
            timer.cancel()

    def _expire(self, ticket: _queue.Ticket) -> None:
        refusal = self.queue.expire(ticket, self._clock.monotonic())
        if refusal is not None:
            self._settle(refusal)

    def _decide(self, now: datetime.timedelta | None = None) -> None:
        for decision in self.queue.decide(now or self._clock.monotonic()):
            self._settle(decision)

    def _settle(self, decision: _queue.Decision) -> None:
        place = self._place_by_ticket.pop(decision.ticket)
        match decision:
            case _queue.Start():
                if place.cancelled():
                    # Its task was cancelled and has not run yet.
                    self.queue.finish(
                        decision.ticket, self._clock.monotonic(), False, False
                    )
                    return
                place.set_result(None)
            case _queue.Refuse():
                if not place.done():
                    place.set_exception(decision.error)
            case _:
                typing.assert_never(decision)


def policies_of(table: table_lib.Table) -> list[_queue.ClassPolicy]:
    """Returns the classes of a table.

    Rows that share a class share its queue; the largest share, floor and
    queue limit among them apply.
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


def _has_started(place: asyncio.Future[None]) -> bool:
    return place.done() and not place.cancelled() and place.exception() is None
