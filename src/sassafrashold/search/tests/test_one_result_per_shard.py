import datetime
import itertools
import random

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from sassafrashold import errors
from sassafrashold import search
from sassafrashold import table as table_lib

_MS = datetime.timedelta(milliseconds=1)
_ROW = table_lib.ServiceRow(
    service="s",
    weight_by_zone={"a": 1, "b": 2, "c": 1},
    slots_per_leaf=2,
    connections_per_leaf=2,
)
_ERRORS = [
    (errors.ErrorCode.NOT_OWNER, errors.Ran.NOT_RUN),
    (errors.ErrorCode.UNAVAILABLE, errors.Ran.NOT_RUN),
    (errors.ErrorCode.LEAF_BUSY, errors.Ran.NOT_RUN),
    (errors.ErrorCode.LEAF_SHED, errors.Ran.NOT_RUN),
    (errors.ErrorCode.VERSION_GONE, errors.Ran.NOT_RUN),
    (errors.ErrorCode.ZONE_OUT, errors.Ran.NOT_RUN),
    (errors.ErrorCode.BAD_REQUEST, errors.Ran.NOT_RUN),
    (errors.ErrorCode.LEAF_FAILED, errors.Ran.OUTCOME_UNKNOWN),
    (errors.ErrorCode.CONNECTION_LOST, errors.Ran.OUTCOME_UNKNOWN),
]


class PlanHarness:
    """A plan with a manual clock and randomized answers."""

    def __init__(self, seed, replica_zones, percent, deadline_ms=200):
        self.random = random.Random(seed)
        self.now = 1000 * _MS
        self.tracker = search.LeafTracker(self.random)
        self.budget = search.ExtraLoadBudget(percent)
        replicas = tuple(
            tuple(
                search.Replica(
                    f"{zone}{shard}",
                    zone,
                    1,
                    self.tracker.leaf(f"{zone}{shard}"),
                )
                for zone in zones
            )
            for shard, zones in enumerate(replica_zones)
        )
        topology = search.ServiceTopology(
            _ROW,
            "v1",
            replicas,
            tuple(n for n, zones in enumerate(replica_zones) if not zones),
        )
        self.plan = search.QueryPlan(
            topology,
            search.ReplicaChooser(self.tracker, self.random, lambda r: None),
            self.tracker,
            self.budget,
            self.random,
            self.now + deadline_ms * _MS,
        )
        self.open_attempts = {}
        self.sent = []
        self.abandoned = []
        self.accepted_rows = {}

    def apply(self, step):
        for attempt in step.abandoned:
            # The result of an abandoned sub-query may still arrive: keep some.
            self.abandoned.append(attempt)
            if self.random.random() < 0.5:
                del self.open_attempts[attempt.number]
        for attempt in step.send:
            assert attempt.shard not in self.accepted_rows
            self.open_attempts[attempt.number] = attempt
            self.sent.append(attempt)

    def answer(self, attempt, outcome):
        if outcome is None:
            rows = b"[%d,%d]" % (attempt.shard, attempt.number)
            was_accepted = attempt.shard in self.accepted_rows
            self.apply(self.plan.on_rows(attempt, "v1", rows, self.now))
            if not was_accepted and attempt.outcome == "OK":
                self.accepted_rows[attempt.shard] = rows
        elif outcome == "mismatch":
            step = self.plan.on_rows(attempt, "v2", b"[0]", self.now)
            self.apply(step)
        else:
            code, ran = outcome
            error = errors.LeafError(code, "no", ran=ran)
            self.apply(self.plan.on_failure(attempt, error, self.now))

    def check(self):
        coverage = self.plan.coverage()
        asked = coverage.shards_asked
        missing = set(coverage.missing_shards)
        assert missing == set(range(asked)) - self.accepted_rows.keys()
        assert self.plan.rows() == [
            self.accepted_rows[n] for n in sorted(self.accepted_rows)
        ]
        assert coverage.shards_answered == len(self.accepted_rows)
        assert coverage.partial == bool(missing)
        extras = [a for a in self.sent if a.extra]
        assert len(extras) == self.budget.spent
        primaries = [a for a in self.sent if a.kind.value == "primary"]
        assert len(extras) <= len(primaries) * self.budget.percent / 100


_SHARDS = strategies.lists(
    strategies.sampled_from(["", "a", "ab", "abc", "bc"]),
    min_size=1,
    max_size=8,
)


@hypothesis_settings(max_examples=300, deadline=None)
@given(
    seed=strategies.integers(0, 2**32),
    zones=_SHARDS,
    percent=strategies.sampled_from([0, 5, 50]),
    failures=strategies.floats(0, 1),
)
def test_one_result_per_shard_and_coverage_matches_results(
    seed, zones, percent, failures
):
    harness = PlanHarness(seed, zones, percent)
    choose = harness.random
    harness.apply(harness.plan.start(harness.now))
    while not harness.plan.finished:
        harness.now += choose.choice([0, 1, 3, 10]) * _MS
        if harness.open_attempts and choose.random() < 0.7:
            number = choose.choice(sorted(harness.open_attempts))
            # Half of the answers arrive twice.
            keep = choose.random() < 0.5
            attempt = (
                harness.open_attempts[number]
                if keep
                else harness.open_attempts.pop(number)
            )
            outcome = None
            if choose.random() < failures:
                outcome = choose.choice([*_ERRORS, "mismatch"])
            harness.answer(attempt, outcome)
        else:
            harness.now = max(harness.now, harness.plan.next_wakeup())
            harness.apply(harness.plan.on_timer(harness.now))
        harness.check()
    # Late results do not change the answer.
    before = harness.plan.rows()
    for attempt in list(harness.open_attempts.values()):
        harness.answer(attempt, None)
    assert harness.plan.rows() == before
    assert all(a.replica.record.in_flight == 0 for a in harness.sent)


def _start(harness, **answers):
    """Starts the plan and returns its primary sub-queries."""
    step = harness.plan.start(harness.now)
    harness.apply(step)
    return step.send


def test_hedge_is_sent_after_leaf_p95():
    harness = PlanHarness(1, ["ab"], 50)
    harness.budget.earn(100)
    (primary,) = _start(harness)
    for _ in range(40):
        primary.replica.record.record(6 * _MS, harness.now)
    harness = _with_new_plan(harness)
    (primary,) = _start(harness)
    due = harness.plan.next_wakeup() - harness.now
    assert 5 * _MS < due < 7 * _MS
    harness.now += due
    harness.apply(harness.plan.on_timer(harness.now))
    primary, hedge = harness.sent
    assert (hedge.kind.value, hedge.extra) == ("hedge", True)
    assert hedge.replica.leaf_id != primary.replica.leaf_id
    harness.answer(hedge, None)
    assert harness.abandoned == [primary]


def _with_new_plan(harness):
    """Returns a new plan with the same tracker records."""
    plan = harness.plan
    harness.plan = search.QueryPlan(
        plan._topology,
        plan._chooser,
        harness.tracker,
        harness.budget,
        harness.random,
        harness.now + 200 * _MS,
    )
    harness.sent.clear()
    harness.open_attempts.clear()
    return harness


def test_busy_leaf_gets_no_hedge():
    harness = PlanHarness(3, ["ab"], 50)
    harness.budget.earn(100)
    _start(harness)
    busy = (errors.ErrorCode.LEAF_BUSY, errors.Ran.NOT_RUN)
    while not harness.plan.finished:
        harness.now = harness.plan.next_wakeup()
        harness.apply(harness.plan.on_timer(harness.now))
        if (
            harness.sent[-1].kind.value == "hedge"
            and harness.sent[-1].ended is None
        ):
            harness.answer(harness.sent[-1], busy)
    hedges = [a for a in harness.sent if a.kind.value == "hedge"]
    assert len(hedges) == 3
    for earlier, later in itertools.pairwise(hedges):
        assert later.started - earlier.ended >= 20 * _MS
    # Other queries do not send hedges to the busy leaf either.
    chooser = search.ReplicaChooser(
        harness.tracker, harness.random, lambda r: None
    )
    replicas = [hedges[-1].replica]
    refused = hedges[-1].ended
    assert chooser.hedge(replicas, refused + 19 * _MS, ()) is None
    assert chooser.hedge(replicas, refused + 20 * _MS, ()) is replicas[0]


def test_hedges_at_the_p95_leave_a_reserve_for_stragglers():
    harness = PlanHarness(3, ["ab"] * 12, 50, deadline_ms=1000)
    _start(harness)
    assert harness.budget.tokens == 6
    due = harness.plan.next_wakeup()
    harness.now = due
    harness.apply(harness.plan.on_timer(harness.now))
    assert harness.budget.tokens == 5
    harness.now += due - 1000 * _MS
    harness.apply(harness.plan.on_timer(harness.now))
    assert harness.budget.tokens == 0


def test_hedge_waits_for_a_replica_that_is_not_busy():
    harness = PlanHarness(3, ["ab"], 50)
    harness.budget.earn(100)
    (primary,) = _start(harness)
    other = "b0" if primary.replica.leaf_id == "a0" else "a0"
    harness.now = harness.plan.next_wakeup()
    harness.tracker.leaf_busy(other, harness.now)
    harness.apply(harness.plan.on_timer(harness.now))
    assert len(harness.sent) == 1
    for _ in range(3):
        harness.now = harness.plan.next_wakeup()
        harness.apply(harness.plan.on_timer(harness.now))
    assert [a.replica.leaf_id for a in harness.sent[1:]] == [other]


def test_ownership_move_is_retried_without_budget_until_deadline():
    harness = PlanHarness(5, ["a"], 0)
    _start(harness)
    moving = (errors.ErrorCode.NO_ENTITLEMENT, errors.Ran.NOT_RUN)
    harness.answer(harness.sent[0], moving)
    while not harness.plan.finished:
        harness.now = harness.plan.next_wakeup()
        harness.apply(harness.plan.on_timer(harness.now))
        if harness.sent[-1].ended is None:
            harness.answer(harness.sent[-1], moving)
    assert len(harness.sent) > 3
    assert harness.now >= 1200 * _MS
    assert harness.plan.certainly_not_run
    assert not any(a.extra for a in harness.sent)


def test_version_gone_is_set_only_if_no_replica_has_the_version():
    gone = (errors.ErrorCode.VERSION_GONE, errors.Ran.NOT_RUN)
    harness = PlanHarness(5, ["ab"], 0)
    _start(harness)
    harness.answer(harness.sent[0], gone)
    assert not harness.plan.version_gone
    harness.answer(harness.sent[1], gone)
    assert harness.plan.version_gone
    assert harness.plan.finished
