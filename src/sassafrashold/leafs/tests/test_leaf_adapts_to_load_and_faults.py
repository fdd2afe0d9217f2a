"""Guards batching, order, early refusal, cold detection and probes."""

import datetime

import pytest

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import leafs

WARM = leafs.LeafLimits(2, 30, 2, 5, 1000)
COLD = leafs.LeafLimits(3, 30, 1, 5, 1000)
RESET = errors.LeafError(
    errors.ErrorCode.CONNECTION_LOST, "reset", ran=errors.Ran.OUTCOME_UNKNOWN
)


def _ms(value):
    return datetime.timedelta(milliseconds=value)


class Bench:
    """A leaf with shortcuts."""

    def __init__(self, limits=WARM):
        self.clock = clock_lib.ManualClock(monotonic=_ms(100_000))
        self.leaf = leafs.Leaf(limits, self.clock)

    def submit(self, shard, *, name="normal", ms=1000, version="v1", **fields):
        now = self.clock.monotonic()
        work = leafs.Work(
            "s", version, shard, b"q", name, now + _ms(ms), **fields
        )
        waiter = leafs.Waiter(work, print, now)
        refusal = self.leaf.submit(waiter, 3)
        return waiter if refusal is None else refusal.code.value

    def start(self, granted=3):
        return self.leaf.next_batch(granted)

    def run(self, ms, generation="1"):
        """Makes one call of a single item that takes `ms`."""
        self.submit(0, ms=60_000)
        batch = self.start()
        self.clock.advance(_ms(ms))
        self.leaf.succeeded(batch, generation, {0: b"[]"})

    def warm(self, ms=10, calls=60):
        for _ in range(calls):
            self.run(ms)


def _shards(batch):
    return [entry.work.shard for entry in batch.entries]


def test_batches_form_only_while_slots_are_busy():
    bench = Bench()
    sizes = []
    for shard in range(10):
        bench.submit(shard)
        batch = bench.start()
        sizes.append(batch and len(batch.entries))
    assert sizes == [1, 1] + [None] * 8
    for call in bench.leaf.state.calls[:1]:
        bench.leaf.state.succeed(call, "1")
    # Until the cost of larger calls is known, calls stay small.
    assert _shards(bench.start()) == [2, 3, 4, 5]


@pytest.mark.parametrize(
    ("item_ms", "sizes"), [(0.0, range(60, 65)), (20.0, range(1, 2))]
)
def test_batches_grow_only_if_larger_calls_gain(item_ms, sizes):
    bench = Bench()
    for _ in range(30):
        for shard in range(100):
            bench.submit(shard, ms=60_000)
        batch = bench.start(1)
        bench.clock.advance(_ms(20 + item_ms * (len(batch.entries) - 1)))
        rows = dict.fromkeys(range(len(batch.entries)), b"[]")
        bench.leaf.succeeded(batch, "1", rows)
    assert len(batch.entries) in sizes


def test_work_that_is_nearly_late_does_not_keep_calls_small():
    bench = Bench()
    for size in (1, 2, 4, 8) * 8:
        for shard in range(size):
            bench.submit(shard, ms=60_000)
        batch = bench.start(1)
        bench.clock.advance(_ms(16 + 4 * len(batch.entries)))
        rows = dict.fromkeys(range(len(batch.entries)), b"[]")
        bench.leaf.succeeded(batch, "1", rows)
        bench.leaf.refuse_all(RESET)
    for shard in range(40):
        bench.submit(shard, ms=30 + 10 * shard)
    late = bench.leaf.drop_late(1)
    for _, answer in late:
        assert isinstance(answer, errors.LeafError)
        assert answer.ran is errors.Ran.NOT_RUN
    assert 5 <= len(late) <= 12
    assert 14 <= len(bench.start(1).entries) <= 17


def test_urgent_work_does_not_pull_others_into_a_call_that_is_too_long():
    bench = Bench()
    bench.warm(ms=20)
    bench.submit(0, name="urgent", ms=1000)
    bench.submit(1, name="urgent", ms=1000)
    bench.submit(2, name="normal", ms=30)
    assert _shards(bench.start(1)) == [0, 1]


def test_equal_queries_share_an_item_and_dispatches_do_not():
    bench = Bench()
    for _ in range(3):
        bench.submit(1)
        bench.submit(0, dispatch=True)
    assert (len(bench.leaf.queue), bench.leaf.queue.waiters) == (4, 6)
    sizes = []
    while (batch := bench.start()) is not None:
        sizes.append(sum(len(e.waiters) for e in batch.entries))
        bench.leaf.succeeded(batch, "1", {0: b"[]"})
    assert sorted(sizes) == [1, 1, 1, 3]


def test_versions_never_mix_in_a_batch():
    bench = Bench()
    for shard in range(6):
        bench.submit(shard, version=f"v{shard % 2}", ms=1000 + shard)
    assert _shards(bench.start(1)) == [0, 2, 4]


def test_earliest_deadline_first_and_classes_by_weight():
    bench = Bench(leafs.LeafLimits(1, 30, 1, 5, 1000))
    bench.leaf.configure(bench.leaf.state.limits, {"urgent": 0.9, "bulk": 0.1})
    for i in range(30):
        bench.submit(i, name="bulk", ms=5000 - i, dispatch=True)
        bench.submit(100 + i, name="urgent", ms=9000 - i, dispatch=True)
    order = []
    while (batch := bench.start()) is not None:
        order += _shards(batch)
        bench.leaf.succeeded(batch, "1", {0: b"[]"})
    assert sum(shard >= 100 for shard in order[:20]) >= 17
    bulk = [shard for shard in order if shard < 100]
    assert bulk == sorted(bulk, reverse=True)


def test_work_that_would_be_late_is_refused_before_it_waits():
    bench = Bench()
    bench.warm(ms=20)
    for shard in range(2):
        bench.submit(shard, ms=500)
        bench.start()
    accepted = [bench.submit(9 + i, ms=100, dispatch=True) for i in range(20)]
    refused = [a for a in accepted if a == "DEADLINE_TOO_SHORT"]
    assert 10 <= len(refused) <= 18
    urgent = bench.submit(99, ms=60, dispatch=True)
    assert isinstance(urgent, leafs.Waiter)


def test_an_idle_leaf_gets_a_try_even_if_it_was_slow():
    bench = Bench()
    bench.warm(ms=900)
    assert isinstance(bench.submit(1, ms=10), leafs.Waiter)
    assert bench.start() is not None


@pytest.mark.parametrize(
    ("limits", "busy"), [(COLD, False), (WARM, True), (WARM, False)]
)
def test_extra_work_goes_only_to_a_warm_leaf_with_a_free_slot(limits, busy):
    bench = Bench(limits)
    if busy:
        for shard in range(2):
            bench.submit(shard)
            bench.start()
    answer = bench.submit(7, extra=True)
    spare = limits is WARM and not busy
    assert isinstance(answer, leafs.Waiter) if spare else answer == "LEAF_BUSY"


def _reset(bench):
    bench.submit(0)
    bench.leaf.failed(bench.start(), RESET)


def _fail(bench, code, calls):
    for shard in range(calls):
        bench.submit(shard)
        bench.leaf.failed(bench.start(), errors.LeafError(code, "failed"))


def _spread_failures(bench):
    for _ in range(3):
        _fail(bench, errors.ErrorCode.LEAF_FAILED, 1)
        bench.warm(calls=20)


@pytest.mark.parametrize(
    ("event", "cold"),
    [
        (lambda bench: bench.run(10, generation="2"), True),
        (lambda bench: [bench.run(100) for _ in range(2)], True),
        (lambda bench: bench.run(100), False),
        (lambda bench: [bench.run(14) for _ in range(5)], False),
        (_reset, True),
        (lambda bench: _fail(bench, errors.ErrorCode.LEAF_SHED, 2), True),
        (lambda bench: _fail(bench, errors.ErrorCode.LEAF_FAILED, 2), True),
        (lambda bench: _fail(bench, errors.ErrorCode.VERSION_GONE, 5), False),
        (_spread_failures, False),
        (lambda bench: bench.leaf.state.hint("2", False), True),
        (lambda bench: bench.leaf.state.hint("1", False), False),
    ],
)
def test_a_leaf_that_turns_cold_is_noticed_within_two_calls(event, cold):
    bench = Bench(COLD)
    bench.warm()
    assert bench.leaf.state.window == 3
    event(bench)
    assert bench.leaf.state.cold is cold


def test_the_window_grows_by_one_slot_after_each_run_of_successes():
    bench = Bench(COLD)
    windows = []
    for _ in range(12):
        bench.run(10)
        windows.append(bench.leaf.state.window)
    assert windows == [1] * 4 + [2] * 5 + [3] * 3


def test_an_unreachable_leaf_gets_single_probes_with_growing_pauses():
    bench = Bench()
    error = errors.LeafError(errors.ErrorCode.LEAF_UNREACHABLE, "refused")
    pauses: list[int] = []
    for _ in range(8):
        waited = 0
        while not isinstance(bench.submit(0), leafs.Waiter):
            bench.clock.advance(_ms(50))
            waited += 50
        assert bench.submit(1) == "LEAF_UNREACHABLE" or not pauses
        pauses.append(waited)
        bench.leaf.failed(bench.start(), error)
        bench.leaf.refuse_all(error)
    assert pauses == [0, 100, 200, 400, 800, 1600, 3200, 5000]


@pytest.mark.parametrize("confirmed", [True, False])
def test_a_lost_call_keeps_its_slot_while_the_leaf_may_run_it(confirmed):
    bench = Bench(leafs.LeafLimits(1, 30, 1, 5, 1000))
    bench.submit(0, ms=300)
    lost = bench.start()
    bench.leaf.failed(lost, RESET)
    bench.submit(1, ms=2000)
    assert bench.start() is None
    if confirmed:
        bench.leaf.state.release(lost.call)
    else:
        bench.clock.advance(_ms(800))
    assert _shards(bench.start()) == [1]


def test_calls_from_before_a_cold_start_warm_nothing():
    """The leaf does not count them, so its bound would be exceeded."""
    bench = Bench(COLD)
    bench.warm()
    batches = []
    for shard in range(3):
        bench.submit(shard, ms=60_000)
        batches.append(bench.start())
    bench.clock.advance(_ms(10))
    for batch in batches:
        bench.leaf.succeeded(batch, "2", {0: b"[]", 1: b"[]", 2: b"[]"})
    for _ in range(4):
        bench.run(10, "2")
    assert bench.leaf.state.capacity(3) == 1
    bench.run(10, "2")
    assert bench.leaf.state.capacity(3) == 2
