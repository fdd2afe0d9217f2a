"""Checks that a leaf bounds its calls and answers each waiter once."""

import collections
import datetime

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import leafs

LIMITS = leafs.LeafLimits(
    slots=3,
    connections=30,
    cold_start_slots=1,
    warmup_successes=2,
    queue_limit=10,
)
NOT_RUN = errors.Ran.NOT_RUN
UNKNOWN = errors.Ran.OUTCOME_UNKNOWN
FAILURES = [
    (errors.ErrorCode.LEAF_SHED, NOT_RUN),
    (errors.ErrorCode.DRAINING, NOT_RUN),
    (errors.ErrorCode.LEAF_UNREACHABLE, NOT_RUN),
    (errors.ErrorCode.VERSION_GONE, NOT_RUN),
    (errors.ErrorCode.LEAF_FAILED, UNKNOWN),
    (errors.ErrorCode.CONNECTION_LOST, UNKNOWN),
    (errors.ErrorCode.DEADLINE_EXCEEDED, UNKNOWN),
]
CODES_OF_ENDED_CALLS = {
    errors.ErrorCode.LEAF_SHED,
    errors.ErrorCode.DRAINING,
    errors.ErrorCode.LEAF_UNREACHABLE,
    errors.ErrorCode.VERSION_GONE,
    errors.ErrorCode.LEAF_FAILED,
    errors.ErrorCode.DEADLINE_EXCEEDED,
}


class LeafMachine(stateful.RuleBasedStateMachine):
    """Applies random work, answers and faults to one leaf."""

    def __init__(self):
        super().__init__()
        self.clock = clock_lib.ManualClock()
        self.leaf = leafs.Leaf(LIMITS, self.clock)
        self.answers: collections.Counter[leafs.Waiter] = collections.Counter()
        self.waiting = set()
        self.batches = []
        self.lost_call_ends = []
        self.max_calls = LIMITS.cold_start_slots
        self.successes = 0

    def _deliver(self, answers):
        for waiter, _ in answers:
            self.answers[waiter] += 1
            self.waiting.discard(waiter)

    @stateful.rule(
        shard=st.integers(0, 2),
        version=st.sampled_from(["v1", "v2"]),
        name=st.sampled_from(["urgent", "normal"]),
        ms=st.integers(1, 3000),
        extra=st.booleans(),
        dispatch=st.booleans(),
        granted=st.integers(0, 3),
    )
    def submit(self, shard, version, name, ms, extra, dispatch, granted):
        now = self.clock.monotonic()
        deadline = now + datetime.timedelta(milliseconds=ms)
        work = leafs.Work(
            "s", version, shard, b"q", name, deadline, extra, dispatch
        )
        waiter = leafs.Waiter(work, print, now)
        refusal = self.leaf.submit(waiter, granted)
        if refusal is None:
            self.waiting.add(waiter)
        else:
            assert refusal.ran is NOT_RUN
        has_spare_slot = (
            self.leaf.state.free_slots(granted) and not self.leaf.state.cold
        )
        assert not (extra and refusal is None and not has_spare_slot)

    @stateful.rule(data=st.data())
    def cancel(self, data):
        if self.waiting:
            ordered = sorted(self.waiting, key=lambda w: w.work.deadline)
            waiter = data.draw(st.sampled_from(ordered))
            in_call = any(waiter in _waiters(b) for b in self.batches)
            assert self.leaf.cancel(waiter) is not in_call
            if not in_call:
                self.waiting.discard(waiter)

    @stateful.rule(granted=st.integers(0, 3))
    def start(self, granted):
        batch = self.leaf.next_batch(granted)
        if batch is None:
            return
        self.batches.append(batch)
        now = self.clock.monotonic()
        running = len(self.batches) + sum(t > now for t in self.lost_call_ends)
        assert running <= min(granted, self.max_calls)
        assert len(batch.entries) <= leafs.MAX_BATCH_ITEMS
        kinds = {(e.work.service, e.work.index_version) for e in batch.entries}
        assert len(kinds) == 1
        if any(e.work.dispatch for e in batch.entries):
            assert len(_waiters(batch)) == 1
        assert batch.call.deadline <= now + leafs.MAX_LEAF_CALL_DURATION

    @stateful.rule(data=st.data(), generation=st.sampled_from("1112"))
    def succeed(self, data, generation):
        if not self.batches:
            return
        batch = self._draw_batch(data)
        generation_before = self.leaf.state.generation
        cold_starts_before = self.leaf.state.cold_starts
        rows = dict.fromkeys(range(len(batch.entries)), b"[]")
        self._deliver(self.leaf.record_success(batch, generation, rows))
        if self.leaf.state.cold_starts > cold_starts_before:
            self._reset_bound()
            if generation_before not in (None, generation):
                self.lost_call_ends.clear()
            return
        self.successes += 1
        if self.successes == LIMITS.warmup_successes:
            self.successes = 0
            self.max_calls = min(self.max_calls + 1, LIMITS.slots)

    @stateful.rule(data=st.data(), failure=st.sampled_from(FAILURES))
    def fail(self, data, failure):
        if not self.batches:
            return
        batch = self._draw_batch(data)
        code, ran = failure
        error = errors.LeafError(code, "failed", ran=ran)
        cold_starts_before = self.leaf.state.cold_starts
        self._deliver(self.leaf.record_failure(batch, error))
        self.successes = 0
        if code not in CODES_OF_ENDED_CALLS:
            self.lost_call_ends.append(
                batch.call.deadline + datetime.timedelta(seconds=0.5)
            )
        if code is errors.ErrorCode.CONNECTION_LOST:
            assert self.leaf.state.window == LIMITS.cold_start_slots
        if self.leaf.state.cold_starts > cold_starts_before:
            self._reset_bound()

    def _reset_bound(self):
        self.max_calls = LIMITS.cold_start_slots
        self.successes = 0

    def _draw_batch(self, data):
        position = data.draw(st.integers(0, len(self.batches) - 1))
        return self.batches.pop(position)

    @stateful.rule(ms=st.sampled_from([1, 10, 100, 600, 2500]))
    def advance_time(self, ms):
        self.clock.advance(datetime.timedelta(milliseconds=ms))
        self._deliver(self.leaf.drop_late(3))

    @stateful.invariant()
    def each_waiter_is_answered_at_most_once(self):
        assert not self.answers or max(self.answers.values()) == 1
        called = sum(len(_waiters(batch)) for batch in self.batches)
        assert len(self.waiting) == called + self.leaf.queue.waiters
        assert self.leaf.queue.waiters <= LIMITS.queue_limit

    def teardown(self):
        error = errors.LeafError(errors.ErrorCode.LEAF_FAILED, "end")
        self._deliver(self.leaf.refuse_all(error))
        for batch in self.batches:
            self._deliver(self.leaf.record_failure(batch, error))
        assert not self.waiting
        assert not len(self.leaf.queue)


def _waiters(batch):
    return [w for entry in batch.entries for w in entry.waiters]


TestLeaf = LeafMachine.TestCase
TestLeaf.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=50, deadline=None
)
