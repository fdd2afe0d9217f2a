"""Guards against shards that are given up after one rejection.

Pattern: buwan-hanap scale-1, seconds 18 to 27. A shard has one leaf left,
which rejects 45% of its requests at once. Each rejection left the shard out,
though the leaf takes most requests that come a second time.
"""

import heapq
import itertools
import random

from sassafrashold import calls
from sassafrashold import directory
from sassafrashold.calls.tests import call_world

MS = call_world.MS
must = call_world.must
REJECTED = call_world.failed(calls.FailureKind.REJECTED)


def _world_with_one_leaf(**values):
    world = call_world.World(**values)
    for zone in call_world.ZONES[1:]:
        world.directory.apply(
            directory.LeafRemoved(f"{world.services[0]}-{zone}"), 0 * MS
        )
    return world


def test_the_only_leaf_is_asked_again_after_a_pause():
    world = _world_with_one_leaf(idempotent=False)
    world.fund(20)
    call = world.call()
    first = must(call.first(2000 * MS))
    assert call.failed(first, REJECTED, 2001 * MS) is None
    assert call.is_waiting
    assert call.tick(2011 * MS) is None
    again = must(call.tick(2021 * MS))
    assert again.leaf.ref == first.leaf.ref
    assert again.extra


def test_other_leafs_come_first():
    world = call_world.World()
    world.fund(20)
    call = world.call()
    sends = [must(call.first(0 * MS))]
    for _ in range(2):
        sends.append(must(call.failed(sends[-1], REJECTED, 1 * MS)))
    assert len({send.leaf.ref for send in sends}) == 3
    assert call.failed(sends[-1], REJECTED, 2 * MS) is None
    assert must(call.tick(31 * MS)).leaf.ref in {s.leaf.ref for s in sends}


def test_a_leaf_that_may_have_run_the_request_is_not_asked_again():
    world = _world_with_one_leaf()
    world.fund(20)
    call = world.call()
    first = must(call.first(2000 * MS))
    lost = call_world.failed(calls.FailureKind.LOST)
    assert call.failed(first, lost, 2001 * MS) is None
    assert not call.is_waiting


def test_a_leaf_that_rejects_all_is_not_asked_for_ever():
    world = _world_with_one_leaf(burst=10_000)
    call = world.call()
    now = 20_000 * MS
    send = must(call.first(now))
    sends = 1
    while True:
        send = call.failed(send, REJECTED, now)
        while send is None and call.is_waiting:
            now = must(call.next_time())
            send = call.tick(now)
        if send is None:
            break
        sends += 1
    assert sends == 6


class _Host:
    """Plays requests to one shard in the order of time."""

    def __init__(self, world, rejects):
        self._world = world
        self._rejects = rejects
        self._events = []
        self._numbers = itertools.count()
        self.with_part = 0

    def _at(self, now, action, *values):
        heapq.heappush(self._events, (now, next(self._numbers), action, values))

    def play(self, starts):
        for start in starts:
            self._at(start * MS, self._start)
        while self._events:
            now, _, action, values = heapq.heappop(self._events)
            action(now, *values)

    def _start(self, now):
        plan = self._world.plan(
            answer_at_ms=now // MS + 131, end_ms=now // MS + 1200
        )
        self._go_on(now, plan, plan.start(now))

    def _go_on(self, now, plan, sends):
        for send in sends:
            if self._rejects():
                self._at(now + 1 * MS, self._end, plan, send, REJECTED)
            else:
                answer = call_world.answered()
                self._at(now + 18 * MS, self._end, plan, send, answer)
        outcome = plan.outcome(now)
        if outcome is None:
            self._at(plan.next_time(now), self._tick, plan)
        else:
            self.with_part += outcome.enough

    def _end(self, now, plan, send, result):
        if plan.outcome(now) is None:
            self._go_on(now, plan, plan.ended(send, result, now))

    def _tick(self, now, plan):
        if plan.outcome(now) is None and plan.next_time(now) <= now:
            self._go_on(now, plan, plan.tick(now))


def test_most_requests_get_the_part_of_a_leaf_that_rejects_many():
    """Eight hosts, 13 requests a second at each, ratio and burst of a site."""
    with_part = 0
    for seed in range(10):
        world = _world_with_one_leaf(hosts=8, burst=56, target_latency_ms=145)
        source = random.Random(seed)
        host = _Host(world, lambda source=source: source.random() < 0.45)
        host.play(range(20_000, 30_000, 75))
        with_part += host.with_part
    # 55% without a second attempt; the budget pays one for half of the others.
    assert with_part >= 0.65 * 134 * 10
