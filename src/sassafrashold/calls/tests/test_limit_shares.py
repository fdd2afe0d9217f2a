"""Guards that the hosts' shares of a limit add up to it.

Pattern: a few hosts of many make most of the calls to the shards. With equal
shares they use up theirs, while the others leave theirs unused.
"""

import dataclasses
import datetime

import pytest

from sassafrashold import calls
from sassafrashold.calls.tests import call_world

_HOSTS = tuple(f"h{number:03d}" for number in range(195))
_WEIGHTS = {f"h{number:03d}": 12 for number in range(0, 45, 3)}


def _share(host, hosts=_HOSTS, weights=_WEIGHTS):
    return calls.LimitShare(
        hosts=hosts,
        own_host=host,
        extra_calls_ratio=0.2,
        extra_calls_burst=430,
        extra_calls_window=datetime.timedelta(seconds=10),
        cold_burst_factor=1.5,
        cold_slack=5,
        weight_by_host=weights,
    )


@pytest.mark.parametrize("weights", [{}, _WEIGHTS])
@pytest.mark.parametrize("total", [0, 1, 12, 125, 195, 1200])
def test_shares_of_all_hosts_add_up_to_the_limit(weights, total):
    shares = [_share(host, weights=weights) for host in _HOSTS]
    for key in ("leaf-1", "leaf-2", "another"):
        assert sum(s.share_of(total, key) for s in shares) == total
    assert sum(s.burst() for s in shares) == pytest.approx(430)


def test_equal_hosts_get_equal_shares_up_to_one():
    shares = [_share(host, weights={}).share_of(1000, "k") for host in _HOSTS]
    assert set(shares) == {5, 6}


def test_weighted_host_gets_its_multiple():
    assert _share("h000").burst() == pytest.approx(12 * _share("h001").burst())


def test_weights_apply_to_shards_and_not_to_other_services():
    world = call_world.World(shards=3, hosts=2, burst=60)
    state = world.state
    own = state.share.own_host
    state.set_share(
        dataclasses.replace(state.share, extra_calls_burst=60), {own: 3}
    )
    now = datetime.timedelta(seconds=1000)
    shard_allowance = state.budget("s0").allowance(now)
    other_allowance = state.budget("not-a-shard").allowance(now)
    assert shard_allowance == pytest.approx(60 * 3 / 4 * 0.95)
    assert other_allowance == pytest.approx(60 / 2 * 0.95)


def test_repeated_query_is_charged_as_extra_calls():
    world = call_world.World(shards=2, burst=1.2)
    state = world.state
    now = datetime.timedelta(seconds=1000)
    plan = calls.GatherPlan(
        state,
        world.route,
        world.gather,
        calls.GatherTimes(now + datetime.timedelta(milliseconds=90), now * 2),
    )
    assert len(plan.start(now, repeated=True)) == 2
    assert not any(state.budget(s).try_spend(now) for s in world.services)
