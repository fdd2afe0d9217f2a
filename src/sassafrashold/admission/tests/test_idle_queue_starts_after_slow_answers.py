"""Guards against refusals that never end after a period of slow answers.

The p90 service time then exceeds the remaining time of every new request. If
an idle queue refused those too, no new sample would ever lower the estimate.
"""

import datetime
import itertools

from sassafrashold import admission
from sassafrashold import clock as clock_lib
from sassafrashold import telemetry

_MS = datetime.timedelta(milliseconds=1)


class _AdvancingClock(clock_lib.SystemClock):
    """A clock that advances by 1 microsecond with each reading."""

    def __init__(self):
        self._steps = itertools.count(1_000_000)

    def monotonic(self):
        return next(self._steps) * datetime.timedelta(microseconds=1)


async def test_request_that_need_not_wait_starts_after_slow_answers():
    clock = _AdvancingClock()
    gate = admission.Gate(clock, telemetry.NullMetrics())
    gate.queue.configure([admission.ClassPolicy("normal", 1, 0, 10)])
    for number in range(100):
        now = clock.monotonic()
        ticket = admission.Ticket("normal", "s", now + 9000 * _MS, now)
        gate.queue.offer(ticket, now)
        assert gate.queue.decide(now) == [admission.Start(ticket)]
        service_time = 3000 * _MS if number % 3 == 0 else 10 * _MS
        gate.queue.finish(ticket, now + service_time, False, True)
    deadline = clock.now() + 1000 * _MS
    async with gate.admit("normal", "s", deadline) as admitted:
        assert admitted.waited < 100 * _MS
