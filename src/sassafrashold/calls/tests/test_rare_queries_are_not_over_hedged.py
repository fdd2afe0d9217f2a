"""Guards rare queries against hedges for most of their shards.

Pattern: a host with less than one query a second over 42 shards. The latency
statistics of its next query held only the fastest 20 answers of the one before,
so that half of the calls, all of usual duration, were hedged.
"""

import datetime

from sassafrashold.calls.tests import call_world

_SHARDS = 42
_MS = datetime.timedelta(milliseconds=1)


def _hedges_of_query(world, start_ms):
    plan = world.plan(answer_at_ms=start_ms + 133, end_ms=start_ms + 1000)
    hedges = 0
    # Durations spread evenly from 10 to 40 ms.
    for number, send in enumerate(plan.start(start_ms * _MS)):
        now = (start_ms + 10 + 30 * number / _SHARDS) * _MS
        hedges += len(plan.tick(now))
        plan.ended(send, call_world.answered(signature=f"s{number}"), now)
    return hedges


def test_calls_of_usual_duration_are_not_hedged_in_the_next_query():
    world = call_world.World(
        shards=_SHARDS, target_latency_ms=147, max_connections=1000
    )
    world.fill_budgets(10)
    hedges = [_hedges_of_query(world, start) for start in (0, 3000, 6000)]
    # At most one in twenty calls may be slower than the 95th percentile.
    assert all(count <= _SHARDS * 0.05 for count in hedges), hedges
