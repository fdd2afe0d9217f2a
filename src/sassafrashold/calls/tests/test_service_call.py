"""Guards against repeated runs, calls beyond the budget and lost requests."""

import pytest

from sassafrashold import calls
from sassafrashold.calls.tests import call_world

MS = call_world.MS
must = call_world.must


def test_the_first_call_goes_to_the_own_zone():
    send = must(call_world.World().call().first(0 * MS))
    assert send.leaf.zone == "z1"
    assert not send.extra


def test_hedge_goes_to_another_leaf_after_the_hedge_delay():
    world = call_world.World()
    world.fill_budgets(20)
    world.record_latencies(20)
    call = world.call()
    first = must(call.first(0 * MS))
    assert call.tick(10 * MS) is None
    hedge = must(call.tick(must(call.next_time())))
    assert hedge.leaf.ref != first.leaf.ref
    assert hedge.extra
    # The route allows at most two leafs.
    assert call.tick(500 * MS) is None


def test_no_hedge_without_budget():
    world = call_world.World(ratio=0.2, burst=0)
    call = world.call()
    call.first(0 * MS)
    for step in range(50):
        assert call.tick(step * 10 * MS) is None


@pytest.mark.parametrize(
    "kind",
    [
        calls.FailureKind.LOST,
        calls.FailureKind.ERROR,
    ],
)
def test_request_that_may_have_run_is_only_retried_if_idempotent(kind):
    for idempotent in (True, False):
        world = call_world.World(idempotent=idempotent)
        world.fill_budgets(20)
        call = world.call()
        first = must(call.first(0 * MS))
        retry = call.failed(first, call_world.failed(kind), 5 * MS)
        assert (retry is not None) == idempotent
        assert call.may_have_run


@pytest.mark.parametrize(
    "kind",
    [
        calls.FailureKind.NOT_SENT,
        calls.FailureKind.REJECTED,
        calls.FailureKind.WRONG_LEAF,
    ],
)
def test_a_request_that_did_not_run_goes_to_another_leaf(kind):
    world = call_world.World(idempotent=False)
    world.fill_budgets(20)
    call = world.call()
    sends = [must(call.first(0 * MS))]
    failure = call_world.failed(kind)
    while (retry := call.failed(sends[-1], failure, 5 * MS)) is not None:
        sends.append(retry)
    assert {s.leaf.zone for s in sends} == set(call_world.ZONES)
    assert not call.may_have_run


def test_non_idempotent_request_is_not_hedged():
    world = call_world.World(idempotent=False)
    world.fill_budgets(20)
    call = world.call()
    call.first(0 * MS)
    assert call.next_time() is None
    assert call.tick(900 * MS) is None


def test_a_retry_after_a_failed_connect_needs_no_budget():
    world = call_world.World()
    call = world.call()
    first = must(call.first(0 * MS))
    retry = call.failed(
        first, call_world.failed(calls.FailureKind.NOT_SENT), 1 * MS
    )
    assert retry is not None
    assert not retry.extra


def test_extra_calls_of_all_hosts_stay_within_the_budget():
    # 8 hosts, a burst of 56 and a ratio of 0.2: in any span the sum of all
    # extra calls is at most 0.2 of the requests plus 56.
    extra = 0
    requests = 0
    for _ in range(8):
        world = call_world.World(hosts=8, burst=56)
        for _ in range(200):
            call = world.call()
            send = must(call.first(0 * MS))
            requests += 1
            retry = call.failed(
                send, call_world.failed(calls.FailureKind.LOST), 1 * MS
            )
            if retry is not None:
                extra += 1
                call.succeeded(retry, 2 * MS)
    assert extra <= 0.2 * requests + 56
    assert extra >= 0.19 * requests


def test_shares_of_a_limit_add_up_to_it():
    names = tuple(f"h{i}" for i in range(7))
    for total in (0, 3, 7, 31):
        shares = [
            calls.LimitShare(
                hosts=names,
                own_host=name,
                extra_calls_ratio=0.2,
                extra_calls_burst=56,
                extra_calls_window=10_000 * MS,
                cold_burst_factor=1.5,
                cold_slack=5,
            ).share_of(total, "leaf")
            for name in names
        ]
        assert sum(shares) == total


def test_connection_limit_of_a_leaf_bounds_its_open_calls():
    world = call_world.World(hosts=8, max_connections=16)
    leafs = []
    for _ in range(7):
        send = world.call().first(0 * MS)
        leafs.append(send.leaf.zone if send else None)
    assert leafs[-1] is None
    assert all(leafs.count(zone) == 2 for zone in call_world.ZONES)
