"""Guards against merged answers that are mixed up, late or incomplete."""

from hypothesis import given
from hypothesis import strategies

from sassafrashold import calls
from sassafrashold import directory
from sassafrashold.calls.tests import call_world

MS = call_world.MS


def _answer(plan, sends, now):
    for send in sends:
        plan.ended(
            send,
            call_world.answered(bytes([send.shard]) * 16, f"sig{send.shard}"),
            now,
        )


def test_complete_answer_has_one_signature_per_shard():
    world = call_world.World(shards=3)
    plan = world.plan()
    sends = plan.start(0 * MS)
    assert len(sends) == 3
    _answer(plan, sends[:2], 10 * MS)
    assert plan.outcome(10 * MS) is None
    _answer(plan, sends[2:], 20 * MS)
    outcome = plan.outcome(20 * MS)
    assert outcome.signatures == ("sig0", "sig1", "sig2")
    assert outcome.missing == 0
    assert outcome.body == b"\2" * 16 + b"\1" * 16 + b"\0" * 16


def test_only_the_first_answer_of_a_hedged_shard_is_used():
    world = call_world.World(shards=1)
    world.fill_budgets(20)
    plan = world.plan()
    first = plan.start(0 * MS)[0]
    hedge = plan.tick(80 * MS)[0]
    plan.ended(hedge, call_world.answered(b"h" * 16, "hedge"), 85 * MS)
    plan.ended(first, call_world.answered(b"f" * 16, "first"), 86 * MS)
    outcome = plan.outcome(86 * MS)
    assert outcome.signatures == ("hedge",)
    assert outcome.body == b"h" * 16


def test_call_of_another_host_counts_among_those_that_a_route_allows():
    """Pattern: a host that gathers accepts a query too late or behind a cut.

    It has sent the query to a leaf of each shard; of two allowed, one is left.
    """
    world = call_world.World(shards=3)
    world.fill_budgets(20)
    plan = world.plan()
    sends = plan.start(0 * MS, repeated=True)
    assert len(sends) == 3
    hedges = [
        send for time in range(10, 500, 10) for send in plan.tick(time * MS)
    ]
    assert hedges == []
    lost = call_world.failed(calls.FailureKind.LOST)
    assert plan.ended(sends[0], lost, 500 * MS) == []
    rejected = call_world.failed(calls.FailureKind.REJECTED)
    assert len(plan.ended(sends[1], rejected, 500 * MS)) == 1


def test_late_shard_is_omitted_and_counted_as_missing():
    world = call_world.World(shards=10)
    plan = world.plan(answer_at_ms=90)
    sends = plan.start(0 * MS)
    _answer(plan, sends[:9], 20 * MS)
    assert plan.outcome(89 * MS) is None
    assert plan.next_time(89 * MS) <= 90 * MS
    outcome = plan.outcome(90 * MS)
    assert outcome.enough
    assert outcome.missing == 1
    assert outcome.missing_services == ("s9",)


def test_too_few_shards_wait_until_the_deadline():
    world = call_world.World(shards=10)
    plan = world.plan(answer_at_ms=90, end_ms=900)
    sends = plan.start(0 * MS)
    _answer(plan, sends[:8], 20 * MS)
    assert plan.outcome(100 * MS) is None
    _answer(plan, sends[8:9], 200 * MS)
    assert plan.outcome(200 * MS).enough


def test_request_fails_immediately_without_leafs_for_enough_shards():
    world = call_world.World(shards=10)
    for service in ("s0", "s1"):
        for zone in call_world.ZONES:
            world.directory.apply(
                directory.LeafRemoved(f"{service}-{zone}"), 0 * MS
            )
    plan = world.plan()
    plan.start(2000 * MS)
    outcome = plan.outcome(2000 * MS)
    assert outcome is not None
    assert not outcome.enough


def test_a_shard_without_leafs_does_not_delay_the_others():
    world = call_world.World(shards=10)
    for zone in call_world.ZONES:
        world.directory.apply(directory.LeafRemoved(f"s4-{zone}"), 0 * MS)
    plan = world.plan(answer_at_ms=2090, end_ms=2900)
    sends = plan.start(2000 * MS)
    _answer(plan, sends, 2020 * MS)
    outcome = plan.outcome(2020 * MS)
    assert outcome.enough
    assert outcome.missing_services == ("s4",)


def test_failed_shard_is_retried_at_another_leaf():
    world = call_world.World(shards=1)
    world.fill_budgets(20)
    plan = world.plan()
    first = plan.start(0 * MS)[0]
    retry = plan.ended(
        first, call_world.failed(calls.FailureKind.LOST), 5 * MS
    )[0]
    assert retry.leaf.ref != first.leaf.ref


@given(strategies.lists(strategies.binary(max_size=100), max_size=6))
def test_greatest_records_match_a_sort(parts):
    records = sorted(
        (
            part[i : i + 16]
            for part in parts
            for i in range(0, len(part) // 16 * 16, 16)
        ),
        reverse=True,
    )
    assert calls.greatest_records(parts, 5) == b"".join(records[:5])


def test_call_that_fails_after_its_shard_answered_is_not_retried():
    # A leaf failed after the hedge had answered, and a retry made a third leaf
    # run the request.
    world = call_world.World(shards=2)
    world.fill_budgets(20)
    plan = world.plan()
    first = next(s for s in plan.start(0 * MS) if s.shard == 0)
    hedge = next(s for s in plan.tick(80 * MS) if s.shard == 0)
    plan.ended(hedge, call_world.answered(), 85 * MS)
    failure = call_world.failed(calls.FailureKind.ERROR)
    assert plan.ended(first, failure, 86 * MS) == []
