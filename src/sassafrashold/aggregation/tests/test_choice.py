"""Guards which hosts gather for others, and where queries go when some fail.

Pattern: hundreds of hosts with less than one query a second each, over shards
whose leafs stand in some of the zones only.
"""

import datetime
import random

from sassafrashold import aggregation
from sassafrashold import relay
from sassafrashold import settings

_SECOND = datetime.timedelta(seconds=1)
_NOW = 100 * _SECOND
_LEAF_ZONES = {"z1": 42, "z2": 42}


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


def _hosts(peers_by_zone):
    return {
        zone: [peer.host for peer in peers]
        for zone, peers in peers_by_zone.items()
    }


def _choice(own_host, own_zone, peers):
    choice = aggregation.AggregatorChoice(own_host, own_zone, random.Random(1))
    choice.set_peers(peers)
    return choice


def test_hosts_with_the_largest_links_gather_in_large_zones_only():
    peers = _peers("z1", 40) + _peers("z2", 12, big=1) + _peers("z3", 11)
    expected = {"z1": ["z1-0", "z1-1", "z1-2"], "z2": ["z2-0"]}
    assert _hosts(aggregation.aggregators_by_zone(peers)) == expected
    random.Random(7).shuffle(peers)
    assert _hosts(aggregation.aggregators_by_zone(peers)) == expected


def test_query_stays_in_a_zone_that_holds_all_shards():
    choice = _choice("z1-9", "z1", _peers("z1", 40) + _peers("z2", 40))
    hosts = {choice.choose(_LEAF_ZONES, _NOW).host for _ in range(50)}
    assert hosts == {"z1-0", "z1-1", "z1-2"}


def test_query_of_a_zone_without_leafs_goes_to_zones_that_hold_them():
    peers = [peer for zone in ("z1", "z2", "z3") for peer in _peers(zone, 40)]
    choice = _choice("z3-0", "z3", peers)
    hosts = {choice.choose(_LEAF_ZONES, _NOW).host for _ in range(100)}
    assert hosts == {f"{zone}-{n}" for zone in ("z1", "z2") for n in range(3)}


def test_zone_that_holds_fewer_shards_is_not_chosen():
    choice = _choice("z1-9", "z1", _peers("z1", 40) + _peers("z2", 40))
    peer = choice.choose({"z1": 30, "z2": 42}, _NOW)
    assert peer is not None
    assert peer.zone == "z2"


def test_host_gathers_itself_if_it_is_an_aggregator_or_none_is_known():
    peers = _peers("z1", 40)
    assert _choice("z1-0", "z1", peers).choose(_LEAF_ZONES, _NOW) is None
    assert _choice("z1-9", "z1", []).choose(_LEAF_ZONES, _NOW) is None
    assert _choice("z1-9", "z1", peers).choose({}, _NOW) is None


def test_failed_host_is_avoided_for_doubling_times_until_it_answers():
    choice = _choice("z1-9", "z1", _peers("z1", 40, big=1))

    def chosen_at(time):
        return choice.choose(_LEAF_ZONES, time) is not None

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
    hosts = [choice.choose(_LEAF_ZONES, _NOW).host for _ in range(20)]
    assert set(hosts) == {"z1-1"}


def test_aggregators_weigh_as_much_as_all_other_hosts():
    peers = [peer for zone in ("z1", "z2", "z3") for peer in _peers(zone, 40)]
    weights = aggregation.weight_by_host(peers)
    assert set(weights.values()) == {12}
    assert len(weights) == 9
    assert aggregation.weight_by_host(_peers("z1", 8)) == {}
