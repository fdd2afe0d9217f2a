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


class World:
    """A plan whose sub-queries are answered by a random script."""

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
        self.open = {}
        self.sent = []
        self.abandoned = []
        self.taken = {}

    def carry_out(self, step):
        for attempt in step.abandoned:
            # Its results can still be on their way: keep some of them.
            self.abandoned.append(attempt)
            if self.random.random() < 0.5:
                del self.open[attempt.number]
        for attempt in step.send:
            assert attempt.shard not in self.taken
            self.open[attempt.number] = attempt
            self.sent.append(attempt)

    def answer(self, attempt, outcome):
        if outcome is None:
            rows = b"[%d,%d]" % (attempt.shard, attempt.number)
            had = attempt.shard in self.taken
            self.carry_out(self.plan.on_rows(attempt, "v1", rows, self.now))
            if not had and attempt.outcome == "OK":
                self.taken[attempt.shard] = rows
        elif outcome == "mismatch":
            step = self.plan.on_rows(attempt, "v2", b"[0]", self.now)
            self.carry_out(step)
        else:
            code, ran = outcome
            error = errors.LeafError(code, "no", ran=ran)
            self.carry_out(self.plan.on_failure(attempt, error, self.now))

    def check(self):
        coverage = self.plan.coverage()
        asked = coverage.shards_asked
        missing = set(coverage.missing_shards)
        assert missing == set(range(asked)) - self.taken.keys()
        assert self.plan.rows() == [self.taken[n] for n in sorted(self.taken)]
        assert coverage.shards_answered == len(self.taken)
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
def test_each_shard_has_one_result_and_coverage_equals_the_results(
    seed, zones, percent, failures
):
    world = World(seed, zones, percent)
    choose = world.random
    world.carry_out(world.plan.start(world.now))
    while not world.plan.finished:
        world.now += choose.choice([0, 1, 3, 10]) * _MS
        if world.open and choose.random() < 0.7:
            number = choose.choice(sorted(world.open))
            # Half of the answers arrive twice.
            keep = choose.random() < 0.5
            attempt = world.open[number] if keep else world.open.pop(number)
            outcome = None
            if choose.random() < failures:
                outcome = choose.choice([*_ERRORS, "mismatch"])
            world.answer(attempt, outcome)
        else:
            world.now = max(world.now, world.plan.next_wakeup())
            world.carry_out(world.plan.on_timer(world.now))
        world.check()
    # Late results change nothing any more.
    before = world.plan.rows()
    for attempt in list(world.open.values()):
        world.answer(attempt, None)
    assert world.plan.rows() == before
    assert all(a.replica.record.in_flight == 0 for a in world.sent)


def _first(world, **answers):
    """Starts the plan and answers its first sub-query."""
    step = world.plan.start(world.now)
    world.carry_out(step)
    return step.send


def test_a_hedge_is_sent_after_the_p95_of_the_leaf_and_not_earlier():
    world = World(1, ["ab"], 50)
    world.budget.earn(100)
    (primary,) = _first(world)
    for _ in range(40):
        primary.replica.record.record(6 * _MS, world.now)
    world = _restarted(world)
    (primary,) = _first(world)
    due = world.plan.next_wakeup() - world.now
    assert 5 * _MS < due < 7 * _MS
    world.now += due
    world.carry_out(world.plan.on_timer(world.now))
    primary, hedge = world.sent
    assert (hedge.kind.value, hedge.extra) == ("hedge", True)
    assert hedge.replica.leaf_id != primary.replica.leaf_id
    world.answer(hedge, None)
    assert world.abandoned == [primary]


def _restarted(world):
    """Returns a new plan with the same tracker records."""
    plan = world.plan
    world.plan = search.QueryPlan(
        plan._topology,
        plan._chooser,
        world.tracker,
        world.budget,
        world.random,
        world.now + 200 * _MS,
    )
    world.sent.clear()
    world.open.clear()
    return world


def test_a_leaf_that_answered_busy_gets_no_hedge_while_it_is_busy():
    world = World(3, ["ab"], 50)
    world.budget.earn(100)
    _first(world)
    busy = (errors.ErrorCode.LEAF_BUSY, errors.Ran.NOT_RUN)
    while not world.plan.finished:
        world.now = world.plan.next_wakeup()
        world.carry_out(world.plan.on_timer(world.now))
        if (
            world.sent[-1].kind.value == "hedge"
            and world.sent[-1].ended is None
        ):
            world.answer(world.sent[-1], busy)
    hedges = [a for a in world.sent if a.kind.value == "hedge"]
    assert len(hedges) == 3
    for earlier, later in itertools.pairwise(hedges):
        assert later.started - earlier.ended >= 20 * _MS
    # Other queries do not hedge to it either, for that time.
    chooser = search.ReplicaChooser(world.tracker, world.random, lambda r: None)
    replicas = [hedges[-1].replica]
    refused = hedges[-1].ended
    assert chooser.hedge(replicas, refused + 19 * _MS, ()) is None
    assert chooser.hedge(replicas, refused + 20 * _MS, ()) is replicas[0]


def test_hedges_at_the_p95_leave_a_reserve_for_stragglers():
    world = World(3, ["ab"] * 12, 50, deadline_ms=1000)
    _first(world)
    assert world.budget.tokens == 6
    due = world.plan.next_wakeup()
    world.now = due
    world.carry_out(world.plan.on_timer(world.now))
    assert world.budget.tokens == 5
    world.now += due - 1000 * _MS
    world.carry_out(world.plan.on_timer(world.now))
    assert world.budget.tokens == 0


def test_a_hedge_that_found_no_free_replica_is_sent_when_there_is_one():
    world = World(3, ["ab"], 50)
    world.budget.earn(100)
    (primary,) = _first(world)
    other = "b0" if primary.replica.leaf_id == "a0" else "a0"
    world.now = world.plan.next_wakeup()
    world.tracker.leaf_busy(other, world.now)
    world.carry_out(world.plan.on_timer(world.now))
    assert len(world.sent) == 1
    for _ in range(3):
        world.now = world.plan.next_wakeup()
        world.carry_out(world.plan.on_timer(world.now))
    assert [a.replica.leaf_id for a in world.sent[1:]] == [other]


def test_moving_ownership_is_retried_without_budget_until_the_deadline():
    world = World(5, ["a"], 0)
    _first(world)
    moving = (errors.ErrorCode.NO_ENTITLEMENT, errors.Ran.NOT_RUN)
    world.answer(world.sent[0], moving)
    while not world.plan.finished:
        world.now = world.plan.next_wakeup()
        world.carry_out(world.plan.on_timer(world.now))
        if world.sent[-1].ended is None:
            world.answer(world.sent[-1], moving)
    assert len(world.sent) > 3
    assert world.now >= 1200 * _MS
    assert world.plan.certainly_not_run
    assert not any(a.extra for a in world.sent)


def test_a_gone_version_is_reported_only_when_no_replica_holds_it():
    gone = (errors.ErrorCode.VERSION_GONE, errors.Ran.NOT_RUN)
    world = World(5, ["ab"], 0)
    _first(world)
    world.answer(world.sent[0], gone)
    assert not world.plan.version_gone
    world.answer(world.sent[1], gone)
    assert world.plan.version_gone
    assert world.plan.finished
