"""Guards against requests that wait for unreachable zones.

A zone is partitioned from the others while some shards have no leaf in it.
Requests over all shards were sent to the reachable shards, waited for the
others and failed with 502 (404 requests in 6 s under the heaviest load), and
callers were not sent to other zones that could serve them.
"""

import pytest

from sassafrashold import calls
from sassafrashold import directory
from sassafrashold.calls.tests import call_world

MS = call_world.MS
OTHER_ZONES = frozenset({"z2", "z3"})


def _disconnect_other_zones(world, now):
    """Fails connects to three leafs of each other zone."""
    for zone in OTHER_ZONES:
        for shard in range(3):
            world.state.reach.connect_failed(
                call_world.entry(f"s{shard}", zone), now
            )


def _remove_leafs_of_own_zone(world, shards):
    for shard in range(shards):
        world.directory.apply(directory.LeafRemoved(f"s{shard}-z1"), 0 * MS)


def test_request_without_enough_reachable_shards_is_not_sent():
    world = call_world.World(shards=10)
    _remove_leafs_of_own_zone(world, 2)
    _disconnect_other_zones(world, 0 * MS)
    plan = world.plan()
    assert plan.start(1 * MS) == []
    outcome = plan.outcome(1 * MS)
    assert outcome.out_of_reach
    assert not outcome.sent


@pytest.mark.parametrize("lost", [0, 1])
def test_request_with_enough_shards_in_own_zone_is_sent(lost):
    world = call_world.World(shards=10)
    _remove_leafs_of_own_zone(world, lost)
    _disconnect_other_zones(world, 0 * MS)
    assert len(world.plan().start(1 * MS)) == 10


def test_dead_leafs_do_not_make_a_reachable_zone_unreachable():
    reach = calls.ZoneReach("z1")
    for shard in range(2):
        reach.connect_failed(call_world.entry(f"s{shard}", "z2"), 0 * MS)
    assert reach.suspects == {"z2"}
    reach.zone_reached("z2")
    reach.connect_failed(call_world.entry("s2", "z2"), 1 * MS)
    assert not reach.unreachable_zones


def test_expired_failures_are_not_counted():
    reach = calls.ZoneReach("z1")
    reach.connect_failed(call_world.entry("s0", "z2"), 0 * MS)
    reach.connect_failed(call_world.entry("s1", "z2"), 0 * MS)
    reach.forget_old(2001 * MS)
    reach.connect_failed(call_world.entry("s2", "z2"), 2001 * MS)
    assert not reach.unreachable_zones
    assert reach.suspects == {"z2"}


def test_own_zone_is_never_suspect():
    reach = calls.ZoneReach("z1")
    for shard in range(5):
        reach.connect_failed(call_world.entry(f"s{shard}", "z1"), 0 * MS)
    assert not reach.suspects


def test_late_answers_only_make_a_zone_suspect():
    reach = calls.ZoneReach("z1")
    for shard in range(3):
        assert not reach.suspects
        reach.answer_late(call_world.entry(f"s{shard}", "z2"))
    assert reach.suspects == {"z2"}
    assert not reach.unreachable_zones
    reach.zone_reached("z2")
    assert not reach.suspects


def test_answer_makes_a_zone_reachable_again():
    world = call_world.World(shards=10)
    _remove_leafs_of_own_zone(world, 2)
    _disconnect_other_zones(world, 0 * MS)
    world.state.reach.zone_reached("z2")
    assert world.state.reach.unreachable_zones == {"z3"}
    assert len(world.plan().start(1 * MS)) == 10


def test_failover_only_if_routes_can_not_be_served():
    failover = calls.ZoneFailover()
    assert not failover.update(OTHER_ZONES, OTHER_ZONES, True)
    assert failover.update(OTHER_ZONES, OTHER_ZONES, False)
    assert failover.active
    # Leafs of the own zone that have returned may be lost again soon.
    assert not failover.update(OTHER_ZONES, OTHER_ZONES, True)
    assert failover.update(OTHER_ZONES, frozenset({"z2"}), False)
    assert not failover.active


def test_no_failover_with_a_single_other_zone():
    failover = calls.ZoneFailover()
    failover.update(frozenset({"z2"}), frozenset({"z2"}), False)
    assert not failover.active


def _fail_connects(world, shards, times, now):
    """Fails connects to all leafs of some shards."""
    for _ in range(times):
        for shard in range(shards):
            for zone in call_world.ZONES:
                world.state.reach.connect_failed(
                    call_world.entry(f"s{shard}", zone), now
                )
                world.state.reach.zone_reached(zone)


def test_request_with_too_many_lost_shards_is_not_sent():
    """The leafs of all other shards ran such requests needlessly."""
    world = call_world.World(shards=10)
    _fail_connects(world, 2, 3, 0 * MS)
    plan = world.plan()
    assert plan.start(1 * MS) == []
    assert plan.outcome(1 * MS).out_of_reach


def test_request_is_sent_if_enough_shards_remain():
    world = call_world.World(shards=10)
    _fail_connects(world, 1, 3, 0 * MS)
    assert len(world.plan().start(1 * MS)) == 10


def test_leafs_that_failed_once_are_still_tried():
    world = call_world.World(shards=10)
    _fail_connects(world, 2, 2, 0 * MS)
    assert len(world.plan().start(1 * MS)) == 10


def test_lost_leafs_are_tried_again_after_a_second():
    world = call_world.World(shards=10)
    _fail_connects(world, 2, 3, 0 * MS)
    assert len(world.plan().start(1000 * MS)) == 10


def test_answer_makes_a_lost_leaf_usable_again():
    world = call_world.World(shards=10)
    _fail_connects(world, 2, 3, 0 * MS)
    leaf = call_world.entry("s0", "z2")
    world.state.reach.connected(leaf.ref, leaf.zone)
    assert len(world.plan().start(1 * MS)) == 10


@pytest.mark.parametrize(("lost", "serves"), [(0, True), (1, True), (2, False)])
def test_missing_shards_are_detected_without_a_request(lost, serves):
    """Failover must not depend on requests that a host can't serve.

    With 22 hosts and less than one request per second each, the last host got
    such a request four seconds after the partition, and only then did the
    balancer send callers to other zones.
    """
    world = call_world.World(shards=10)
    _remove_leafs_of_own_zone(world, lost)
    _disconnect_other_zones(world, 0 * MS)
    assert world.state.serves_all_routes(1 * MS) is serves


def test_zone_reported_as_unreachable_by_a_peer_becomes_suspect():
    reach = calls.ZoneReach("z1")
    reach.add_suspects(["z1", "z2"])
    assert reach.suspects == {"z2"}
    assert not reach.unreachable_zones
    reach.zone_reached("z2")
    assert not reach.suspects
