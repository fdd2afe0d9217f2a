"""Guards which hosts gather for others, and where queries go when some fail.

Pattern: hundreds of hosts with less than one query a second each, over shards
whose leafs stand in some of the zones only, so that calls from a single host
cross zones for most of the parts.
"""

import datetime
import random

import hypothesis
from hypothesis import strategies as st

from sassafrashold import aggregation
from sassafrashold import relay
from sassafrashold import settings

_SECOND = datetime.timedelta(seconds=1)
_NOW = 100 * _SECOND
_ZONES = ("z0", "z1", "z2", "z3", "z4")
_SHARDS = 42
# Each shard has leafs in three successive zones.
_ZONES_BY_SHARD = tuple(
    frozenset(_ZONES[(shard + step) % len(_ZONES)] for step in range(3))
    for shard in range(_SHARDS)
)


def _peers(zone, count, big=3):
    return [
        relay.Peer(
            f"{zone}-{number}",
            zone,
            settings.Address("10.0.0.1", 80),
            200.0 if number < big else 20.0,
        )
        for number in range(count)
    ]


def _all_peers(count=40):
    return [peer for zone in _ZONES for peer in _peers(zone, count)]


def _hosts(peers_by_zone):
    return {
        zone: [peer.host for peer in peers]
        for zone, peers in peers_by_zone.items()
    }


def _choice(own_host, own_zone, peers):
    choice = aggregation.AggregatorChoice(own_host, own_zone, random.Random(1))
    choice.set_peers(peers)
    return choice


def _only_zone(zone, shards=4):
    return (frozenset({zone}),) * shards


def _calls_between_zones(own_zone, groups):
    """Returns messages between zones: one a remote group, one a far call."""
    count = 0
    for group in groups:
        zone = group.aggregator.zone if group.aggregator else own_zone
        count += zone != own_zone
        count += sum(zone not in _ZONES_BY_SHARD[s] for s in group.shards)
    return count


def test_hosts_with_the_largest_links_gather_in_large_zones_only():
    peers = _peers("z1", 40) + _peers("z2", 12, big=1) + _peers("z3", 11)
    expected = {"z1": ["z1-0", "z1-1", "z1-2"], "z2": ["z2-0"]}
    assert _hosts(aggregation.aggregators_by_zone(peers)) == expected
    random.Random(7).shuffle(peers)
    assert _hosts(aggregation.aggregators_by_zone(peers)) == expected


def test_query_crosses_zones_once_although_two_fifths_of_its_shards_are_far():
    for own_zone in _ZONES:
        choice = _choice(f"{own_zone}-9", own_zone, _all_peers())
        for _ in range(20):
            groups = choice.divide(_ZONES_BY_SHARD, _NOW)
            assert _calls_between_zones(own_zone, groups) == 1
            assert groups[0].aggregator.zone == own_zone
    alone = (aggregation.ShardGroup(None, tuple(range(_SHARDS))),)
    assert _calls_between_zones("z0", alone) > _SHARDS // 3


def test_aggregator_gathers_the_shards_of_its_own_zone_itself():
    groups = _choice("z0-1", "z0", _all_peers()).divide(_ZONES_BY_SHARD, _NOW)
    assert groups[0].aggregator is None
    assert [g.aggregator.zone for g in groups[1:]] in (["z2"], ["z3"])


def test_far_shards_are_spread_over_the_zones_that_hold_them_all():
    choice = _choice("z0-9", "z0", _all_peers())
    hosts = {
        choice.divide(_ZONES_BY_SHARD, _NOW)[1].aggregator.host
        for _ in range(200)
    }
    assert hosts == {f"{zone}-{n}" for zone in ("z2", "z3") for n in range(3)}


def test_small_deployment_gathers_each_query_at_its_own_host():
    whole = (aggregation.ShardGroup(None, tuple(range(_SHARDS))),)
    for count in (0, 11):
        choice = _choice("z0-9", "z0", _all_peers(count))
        assert choice.divide(_ZONES_BY_SHARD, _NOW) == whole


def test_few_far_shards_are_called_by_the_first_host():
    zones_by_shard = (*_only_zone("z1", 20), *_only_zone("z2", 2))
    choice = _choice("z1-9", "z1", _peers("z1", 40) + _peers("z2", 40))
    groups = choice.divide(zones_by_shard, _NOW)
    assert [group.shards for group in groups] == [tuple(range(22))]


def test_shards_without_a_reachable_leaf_are_in_a_group_too():
    zones_by_shard = (*_only_zone("z1", 20), *(frozenset(),) * 22)
    choice = _choice("z1-9", "z1", _peers("z1", 40))
    groups = choice.divide(zones_by_shard, _NOW)
    assert [group.shards for group in groups] == [tuple(range(42))]


@hypothesis.given(
    st.lists(st.frozensets(st.sampled_from(_ZONES)), min_size=1, max_size=70),
    st.sampled_from(_ZONES),
    st.integers(0, 20),
)
def test_every_shard_is_in_exactly_one_group(zones_by_shard, own_zone, number):
    choice = _choice(f"{own_zone}-{number}", own_zone, _all_peers(20))
    groups = choice.divide(zones_by_shard, _NOW)
    shards = sorted(shard for group in groups for shard in group.shards)
    assert shards == list(range(len(zones_by_shard)))
    assert len(groups) <= 3


def test_failed_host_is_avoided_for_doubling_times_until_it_answers():
    choice = _choice("z1-9", "z1", _peers("z1", 40, big=1))

    def chosen_at(time):
        (group,) = choice.divide(_only_zone("z1"), time)
        return group.aggregator is not None

    now = _NOW
    for avoid_time in (1, 2, 4, 8, 8):
        assert chosen_at(now)
        choice.started("z1-0")
        choice.ended("z1-0", True, now)
        assert not chosen_at(now + avoid_time * _SECOND * 0.99)
        now += avoid_time * _SECOND
    choice.started("z1-0")
    choice.ended("z1-0", False, now)
    choice.started("z1-0")
    choice.ended("z1-0", True, now)
    assert chosen_at(now + _SECOND)


def test_busy_host_gets_fewer_queries():
    choice = _choice("z1-9", "z1", _peers("z1", 40, big=2))
    for _ in range(5):
        choice.started("z1-0")
    hosts = [
        choice.divide(_only_zone("z1"), _NOW)[0].aggregator.host
        for _ in range(20)
    ]
    assert set(hosts) == {"z1-1"}


def test_aggregators_weigh_as_much_as_all_other_hosts():
    peers = [peer for zone in ("z1", "z2", "z3") for peer in _peers(zone, 40)]
    weights = aggregation.weight_by_host(peers)
    assert set(weights.values()) == {12}
    assert len(weights) == 9
    assert aggregation.weight_by_host(_peers("z1", 8)) == {}
