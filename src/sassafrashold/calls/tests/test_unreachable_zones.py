"""Guards against requests that wait for zones which can't be reached.

Load pattern: a zone is cut off from the others while some of its shards have
no leaf at home. Requests over all shards were sent to the shards in reach,
waited for the others and failed with 502 (404 requests in 6 s on the heaviest
day); callers kept coming although other zones could serve them.
"""

import pytest

from sassafrashold import calls
from sassafrashold import directory
from sassafrashold.calls.tests import call_world

MS = call_world.MS
OTHERS = frozenset({"z2", "z3"})


def _cut_off(world, now):
    """Lets connects to three leafs of each other zone fail."""
    for zone in OTHERS:
        for shard in range(3):
            world.state.reach.connect_failed(
                call_world.entry(f"s{shard}", zone), now
            )


def _lose_at_home(world, shards):
    for shard in range(shards):
        world.directory.apply(directory.LeafRemoved(f"s{shard}-z1"), 0 * MS)


def test_a_request_that_cannot_reach_enough_shards_is_refused_unsent():
    world = call_world.World(shards=10)
    _lose_at_home(world, 2)
    _cut_off(world, 0 * MS)
    plan = world.plan()
    assert plan.start(1 * MS) == []
    outcome = plan.outcome(1 * MS)
    assert outcome.out_of_reach
    assert not outcome.sent


@pytest.mark.parametrize("lost", [0, 1])
def test_a_request_with_enough_shards_at_home_is_served(lost):
    world = call_world.World(shards=10)
    _lose_at_home(world, lost)
    _cut_off(world, 0 * MS)
    assert len(world.plan().start(1 * MS)) == 10


def test_dead_leafs_of_a_zone_do_not_make_it_silent_if_others_answer():
    reach = calls.ZoneReach("z1")
    for shard in range(2):
        reach.connect_failed(call_world.entry(f"s{shard}", "z2"), 0 * MS)
    assert reach.suspects == {"z2"}
    reach.zone_reached("z2")
    reach.connect_failed(call_world.entry("s2", "z2"), 1 * MS)
    assert not reach.silent


def test_old_failures_do_not_add_up():
    reach = calls.ZoneReach("z1")
    reach.connect_failed(call_world.entry("s0", "z2"), 0 * MS)
    reach.connect_failed(call_world.entry("s1", "z2"), 0 * MS)
    reach.forget_old(2001 * MS)
    reach.connect_failed(call_world.entry("s2", "z2"), 2001 * MS)
    assert not reach.silent
    assert reach.suspects == {"z2"}


def test_the_own_zone_is_never_out_of_reach():
    reach = calls.ZoneReach("z1")
    for shard in range(5):
        reach.connect_failed(call_world.entry(f"s{shard}", "z1"), 0 * MS)
    assert not reach.suspects


def test_late_answers_alone_only_ask_for_a_probe():
    reach = calls.ZoneReach("z1")
    for shard in range(3):
        assert not reach.suspects
        reach.answer_is_late(call_world.entry(f"s{shard}", "z2"))
    assert reach.suspects == {"z2"}
    assert not reach.silent
    reach.zone_reached("z2")
    assert not reach.suspects


def test_an_answer_brings_a_silent_zone_back():
    world = call_world.World(shards=10)
    _lose_at_home(world, 2)
    _cut_off(world, 0 * MS)
    world.state.reach.zone_reached("z2")
    assert world.state.reach.silent == {"z3"}
    assert len(world.plan().start(1 * MS)) == 10


def test_callers_go_elsewhere_only_if_they_are_not_served_here():
    elsewhere = calls.CallersElsewhere()
    assert not elsewhere.update(OTHERS, OTHERS, True)
    assert elsewhere.update(OTHERS, OTHERS, False)
    assert elsewhere.active
    # Leafs that seem to be back at home may be lost again at once.
    assert not elsewhere.update(OTHERS, OTHERS, True)
    assert elsewhere.update(OTHERS, frozenset({"z2"}), False)
    assert not elsewhere.active


def test_callers_stay_where_a_single_other_zone_is_silent():
    elsewhere = calls.CallersElsewhere()
    elsewhere.update(frozenset({"z2"}), frozenset({"z2"}), False)
    assert not elsewhere.active


def _fail_connects(world, shards, times, now):
    """Lets connects to all leafs of some shards fail."""
    for _ in range(times):
        for shard in range(shards):
            for zone in call_world.ZONES:
                world.state.reach.connect_failed(
                    call_world.entry(f"s{shard}", zone), now
                )
                world.state.reach.zone_reached(zone)


def test_a_request_whose_shards_have_lost_all_leafs_is_refused_unsent():
    """The leafs of all other shards worked on it in vain."""
    world = call_world.World(shards=10)
    _fail_connects(world, 2, 3, 0 * MS)
    plan = world.plan()
    assert plan.start(1 * MS) == []
    assert plan.outcome(1 * MS).out_of_reach


def test_a_shard_less_than_is_needed_does_not_refuse():
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


def test_an_answer_brings_a_lost_leaf_back():
    world = call_world.World(shards=10)
    _fail_connects(world, 2, 3, 0 * MS)
    leaf = call_world.entry("s0", "z2")
    world.state.reach.connected(leaf.ref, leaf.zone)
    assert len(world.plan().start(1 * MS)) == 10


@pytest.mark.parametrize(("lost", "serves"), [(0, True), (1, True), (2, False)])
def test_a_host_knows_without_a_request_that_it_cannot_serve(lost, serves):
    """22 hosts got less than one request a second each.

    The balancer sent callers elsewhere only when the last one had met a
    request that it could not serve, four seconds after the cut.
    """
    world = call_world.World(shards=10)
    _lose_at_home(world, lost)
    _cut_off(world, 0 * MS)
    assert world.state.serves_all(1 * MS) is serves


def test_a_zone_that_a_neighbour_does_not_reach_is_probed():
    reach = calls.ZoneReach("z1")
    reach.told_silent(["z1", "z2"])
    assert reach.suspects == {"z2"}
    assert not reach.silent
    reach.zone_reached("z2")
    assert not reach.suspects
