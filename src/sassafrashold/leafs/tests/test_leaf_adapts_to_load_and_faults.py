"""Checks batching, order, early refusal, cold-start detection and probes."""

import datetime

import pytest

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import leafs

WARM_LIMITS = leafs.LeafLimits(2, 30, 2, 5, 1000)
COLD_LIMITS = leafs.LeafLimits(3, 30, 1, 5, 1000)
CONNECTION_RESET = errors.LeafError(
    errors.ErrorCode.CONNECTION_LOST, "reset", ran=errors.Ran.OUTCOME_UNKNOWN
)


def _ms(value):
    return datetime.timedelta(milliseconds=value)


class LeafHarness:
    """A leaf on a manual clock, with helpers to submit and run calls."""

    def __init__(self, limits=WARM_LIMITS):
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
        """Makes one successful call with a single item that takes `ms`."""
        self.submit(0, ms=60_000)
        batch = self.start()
        self.clock.advance(_ms(ms))
        self.leaf.record_success(batch, generation, {0: b"[]"})

    def run_calls(self, ms=10, calls=60):
        for _ in range(calls):
            self.run(ms)


def _shards(batch):
    return [entry.work.shard for entry in batch.entries]


def test_batches_form_only_while_slots_are_busy():
    harness = LeafHarness()
    sizes = []
    for shard in range(10):
        harness.submit(shard)
        batch = harness.start()
        sizes.append(batch and len(batch.entries))
    assert sizes == [1, 1] + [None] * 8
    for call in harness.leaf.state.calls[:1]:
        harness.leaf.state.succeed(call, "1")
    # Without a fit of the cost per item, the trial batch size applies.
    assert _shards(harness.start()) == [2, 3, 4, 5]


@pytest.mark.parametrize(
    ("item_ms", "sizes"), [(0.0, range(60, 65)), (20.0, range(1, 2))]
)
def test_batches_grow_only_if_larger_calls_gain(item_ms, sizes):
    harness = LeafHarness()
    for _ in range(30):
        for shard in range(100):
            harness.submit(shard, ms=60_000)
        batch = harness.start(1)
        harness.clock.advance(_ms(20 + item_ms * (len(batch.entries) - 1)))
        rows = dict.fromkeys(range(len(batch.entries)), b"[]")
        harness.leaf.record_success(batch, "1", rows)
    assert len(batch.entries) in sizes


def test_work_close_to_its_deadline_does_not_keep_batches_small():
    harness = LeafHarness()
    for size in (1, 2, 4, 8) * 8:
        for shard in range(size):
            harness.submit(shard, ms=60_000)
        batch = harness.start(1)
        harness.clock.advance(_ms(16 + 4 * len(batch.entries)))
        rows = dict.fromkeys(range(len(batch.entries)), b"[]")
        harness.leaf.record_success(batch, "1", rows)
        harness.leaf.refuse_all(CONNECTION_RESET)
    for shard in range(40):
        harness.submit(shard, ms=30 + 10 * shard)
    late = harness.leaf.drop_late(1)
    for _, answer in late:
        assert isinstance(answer, errors.LeafError)
        assert answer.ran is errors.Ran.NOT_RUN
    assert 5 <= len(late) <= 12
    assert 14 <= len(harness.start(1).entries) <= 17


def test_work_with_early_deadline_does_not_join_a_long_batch():
    harness = LeafHarness()
    harness.run_calls(ms=20)
    harness.submit(0, name="urgent", ms=1000)
    harness.submit(1, name="urgent", ms=1000)
    harness.submit(2, name="normal", ms=30)
    assert _shards(harness.start(1)) == [0, 1]


def test_equal_queries_share_an_item_and_dispatches_do_not():
    harness = LeafHarness()
    for _ in range(3):
        harness.submit(1)
        harness.submit(0, dispatch=True)
    assert (len(harness.leaf.queue), harness.leaf.queue.waiters) == (4, 6)
    sizes = []
    while (batch := harness.start()) is not None:
        sizes.append(sum(len(e.waiters) for e in batch.entries))
        harness.leaf.record_success(batch, "1", {0: b"[]"})
    assert sorted(sizes) == [1, 1, 1, 3]


def test_batch_has_a_single_index_version():
    harness = LeafHarness()
    for shard in range(6):
        harness.submit(shard, version=f"v{shard % 2}", ms=1000 + shard)
    assert _shards(harness.start(1)) == [0, 2, 4]


def test_earliest_deadline_first_and_classes_by_weight():
    harness = LeafHarness(leafs.LeafLimits(1, 30, 1, 5, 1000))
    harness.leaf.configure(
        harness.leaf.state.limits, {"urgent": 0.9, "bulk": 0.1}
    )
    for i in range(30):
        harness.submit(i, name="bulk", ms=5000 - i, dispatch=True)
        harness.submit(100 + i, name="urgent", ms=9000 - i, dispatch=True)
    order = []
    while (batch := harness.start()) is not None:
        order += _shards(batch)
        harness.leaf.record_success(batch, "1", {0: b"[]"})
    assert sum(shard >= 100 for shard in order[:20]) >= 17
    bulk = [shard for shard in order if shard < 100]
    assert bulk == sorted(bulk, reverse=True)


def test_work_that_would_be_late_is_refused_on_submit():
    harness = LeafHarness()
    harness.run_calls(ms=20)
    for shard in range(2):
        harness.submit(shard, ms=500)
        harness.start()
    accepted = [harness.submit(9 + i, ms=100, dispatch=True) for i in range(20)]
    refused = [a for a in accepted if a == "DEADLINE_TOO_SHORT"]
    assert 10 <= len(refused) <= 18
    urgent = harness.submit(99, ms=60, dispatch=True)
    assert isinstance(urgent, leafs.Waiter)


def test_idle_leaf_accepts_work_even_after_slow_calls():
    harness = LeafHarness()
    harness.run_calls(ms=900)
    assert isinstance(harness.submit(1, ms=10), leafs.Waiter)
    assert harness.start() is not None


@pytest.mark.parametrize(
    ("limits", "busy"),
    [(COLD_LIMITS, False), (WARM_LIMITS, True), (WARM_LIMITS, False)],
)
def test_hedges_and_retries_need_a_warm_leaf_with_a_free_slot(limits, busy):
    harness = LeafHarness(limits)
    if busy:
        for shard in range(2):
            harness.submit(shard)
            harness.start()
    answer = harness.submit(7, extra=True)
    is_accepted = limits is WARM_LIMITS and not busy
    assert (
        isinstance(answer, leafs.Waiter)
        if is_accepted
        else answer == "LEAF_BUSY"
    )


def _lose_connection(harness):
    harness.submit(0)
    harness.leaf.record_failure(harness.start(), CONNECTION_RESET)


def _fail_calls(harness, code, calls):
    for shard in range(calls):
        harness.submit(shard)
        harness.leaf.record_failure(
            harness.start(), errors.LeafError(code, "failed")
        )


def _spread_failures(harness):
    for _ in range(3):
        _fail_calls(harness, errors.ErrorCode.LEAF_FAILED, 1)
        harness.run_calls(calls=20)


@pytest.mark.parametrize(
    ("event", "cold"),
    [
        (lambda harness: harness.run(10, generation="2"), True),
        (lambda harness: [harness.run(100) for _ in range(2)], True),
        (lambda harness: harness.run(100), False),
        (lambda harness: [harness.run(14) for _ in range(5)], False),
        (_lose_connection, True),
        (
            lambda harness: _fail_calls(harness, errors.ErrorCode.LEAF_SHED, 2),
            True,
        ),
        (
            lambda harness: _fail_calls(
                harness, errors.ErrorCode.LEAF_FAILED, 2
            ),
            True,
        ),
        (
            lambda harness: _fail_calls(
                harness, errors.ErrorCode.VERSION_GONE, 5
            ),
            False,
        ),
        (_spread_failures, False),
        (
            lambda harness: harness.leaf.state.apply_health_report("2", False),
            True,
        ),
        (
            lambda harness: harness.leaf.state.apply_health_report("1", False),
            False,
        ),
    ],
)
def test_cold_leaf_is_detected_within_two_calls(event, cold):
    harness = LeafHarness(COLD_LIMITS)
    harness.run_calls()
    assert harness.leaf.state.window == 3
    event(harness)
    assert harness.leaf.state.cold is cold


def test_the_window_grows_by_one_slot_after_each_run_of_successes():
    harness = LeafHarness(COLD_LIMITS)
    windows = []
    for _ in range(12):
        harness.run(10)
        windows.append(harness.leaf.state.window)
    assert windows == [1] * 4 + [2] * 5 + [3] * 3


def test_unreachable_leaf_gets_single_probes_with_backoff():
    harness = LeafHarness()
    error = errors.LeafError(errors.ErrorCode.LEAF_UNREACHABLE, "refused")
    pauses: list[int] = []
    for _ in range(8):
        waited = 0
        while not isinstance(harness.submit(0), leafs.Waiter):
            harness.clock.advance(_ms(50))
            waited += 50
        assert harness.submit(1) == "LEAF_UNREACHABLE" or not pauses
        pauses.append(waited)
        harness.leaf.record_failure(harness.start(), error)
        harness.leaf.refuse_all(error)
    assert pauses == [0, 100, 200, 400, 800, 1600, 3200, 5000]


@pytest.mark.parametrize("confirmed", [True, False])
def test_lost_call_keeps_its_slot_while_the_leaf_may_run_it(confirmed):
    harness = LeafHarness(leafs.LeafLimits(1, 30, 1, 5, 1000))
    harness.submit(0, ms=300)
    lost = harness.start()
    harness.leaf.record_failure(lost, CONNECTION_RESET)
    harness.submit(1, ms=2000)
    assert harness.start() is None
    if confirmed:
        harness.leaf.state.release(lost.call)
    else:
        harness.clock.advance(_ms(800))
    assert _shards(harness.start()) == [1]


def test_calls_from_before_a_cold_start_do_not_grow_the_window():
    """A leaf does not count them, so the window would outgrow its bound."""
    harness = LeafHarness(COLD_LIMITS)
    harness.run_calls()
    batches = []
    for shard in range(3):
        harness.submit(shard, ms=60_000)
        batches.append(harness.start())
    harness.clock.advance(_ms(10))
    for batch in batches:
        harness.leaf.record_success(batch, "2", {0: b"[]", 1: b"[]", 2: b"[]"})
    for _ in range(4):
        harness.run(10, "2")
    assert harness.leaf.state.capacity(3) == 1
    harness.run(10, "2")
    assert harness.leaf.state.capacity(3) == 2
