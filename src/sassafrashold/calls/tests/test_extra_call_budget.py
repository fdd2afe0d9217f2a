"""Guards against too many extra calls and against an unused burst.

If many leafs reject or stall for several seconds, the budget is exhausted
throughout. A token bucket granted the burst only once,
though it is allowed in each window.
"""

import datetime
import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from sassafrashold.calls import _budget

MS = datetime.timedelta(milliseconds=1)
WINDOW = 10_000 * MS


def _budget_of(ratio=0.2, burst=50.0):
    return _budget.ExtraCallBudget(ratio, burst, WINDOW, 0 * MS)


def _spend_all(budget, now):
    return sum(1 for _ in itertools.takewhile(budget.try_spend, [now] * 1000))


def test_burst_grows_from_zero_after_start():
    budget = _budget_of()
    assert _spend_all(budget, 0 * MS) == 0
    assert _spend_all(budget, 5000 * MS) == 23


def test_burst_is_granted_in_each_window():
    budget = _budget_of()
    assert _spend_all(budget, 20_000 * MS) == 47
    assert _spend_all(budget, 29_999 * MS) == 0
    assert _spend_all(budget, 30_000 * MS) == 47


def test_hedges_leave_a_reserve():
    budget = _budget_of()
    now = 20_000 * MS
    spent = 0
    while budget.try_spend(now, urgent=False):
        spent += 1
    assert spent == 35
    assert budget.try_spend(now)


def test_no_reserve_below_one_call():
    budget = _budget_of(burst=2.5)
    now = 20_000 * MS
    assert budget.try_spend(now, urgent=False)
    assert budget.try_spend(now, urgent=False)
    assert not budget.try_spend(now)


@settings(max_examples=200, deadline=None)
@given(
    strategies.integers(0, 20),
    strategies.integers(0, 25_000),
    strategies.integers(0, 5000),
    strategies.integers(0, 100),
    strategies.lists(strategies.integers(10_000, 40_000), max_size=20),
)
def test_no_window_exceeds_the_limit(
    per_second, burst_at, burst_for, burst_per_second, spends
):
    """Simulates steady traffic with a burst; spends the whole budget at times.

    The limit counts the requests of the window, of the one before it or of the
    one half a window before it, whichever has most. One of these contains a
    complete burst of up to half a window.
    """
    times = [i * 1000 // per_second for i in range(45 * per_second)]
    if burst_per_second:
        times += range(burst_at, burst_at + burst_for, 1000 // burst_per_second)
    times.sort()
    budget = _budget_of(burst=10.0)
    extra = []
    for now in sorted({*times, *spends}):
        for _ in range(times.count(now)):
            budget.add_request(now * MS)
        if now in spends:
            extra += [now] * _spend_all(budget, now * MS)

    def within(moments, start):
        return sum(start <= moment < start + 10_000 for moment in moments)

    for start in {time + shift for time in extra for shift in (0, -9999)}:
        most = max(within(times, start - shift) for shift in (0, 5000, 10_000))
        assert within(extra, start) <= 0.2 * most + 10.0
