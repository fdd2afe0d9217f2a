"""Guards against requests to stopped leafs and against idle ready leafs."""

import datetime

from sassafrashold import directory
from sassafrashold import settings

_GRACE_PERIODS = directory.GracePeriods(
    draining=datetime.timedelta(seconds=2),
    store_outage=datetime.timedelta(seconds=2),
    older_copy=datetime.timedelta(seconds=6),
)


def _at(seconds):
    return datetime.timedelta(seconds=seconds)


def _entry(leaf_id, *, born=1, service="s", zone="z1", draining=False, cold=0):
    return directory.LeafEntry(
        ref=directory.LeafRef(leaf_id, born),
        service=service,
        address=settings.Address("10.0.0.1", 80),
        zone=zone,
        slots=3,
        draining=draining,
        cold_for=datetime.timedelta(seconds=cold),
    )


def _directory(*entries):
    leafs = directory.LeafDirectory(_GRACE_PERIODS)
    leafs.replace_all(entries, _at(0))
    return leafs


def _usable(leafs, seconds, service="s"):
    eligible = leafs.usable(service, _at(seconds))
    return sorted(entry.ref.leaf_id for entry in eligible)


def test_draining_leaf_is_not_usable_while_another_is_ready():
    leafs = _directory(_entry("a"), _entry("b"))
    leafs.apply(directory.LeafUpdated(_entry("a", draining=True)), _at(1))
    assert _usable(leafs, 1) == ["b"]


def test_last_draining_leaf_is_usable_until_its_grace_period_ends():
    leafs = _directory(_entry("a"))
    leafs.apply(directory.LeafUpdated(_entry("a", draining=True)), _at(1))
    leafs.apply(directory.LeafUpdated(_entry("a", draining=True)), _at(2))
    leafs.apply(directory.LeafRemoved("a"), _at(2))
    assert _usable(leafs, 2.9) == ["a"]
    assert _usable(leafs, 3) == []


def test_leaf_removed_without_draining_is_a_last_resort():
    leafs = _directory(_entry("a"), _entry("b"))
    leafs.apply(directory.LeafRemoved("a"), _at(1))
    assert _usable(leafs, 1) == ["b"]
    leafs.apply(directory.LeafRemoved("b"), _at(2))
    assert _usable(leafs, 2.5) == ["a", "b"]
    assert _usable(leafs, 3.5) == ["b"]
    ended = leafs.forget_expired(_at(5))
    assert sorted(ref.leaf_id for ref in ended) == ["a", "b"]


def test_leafs_removed_during_a_store_outage_remain_usable():
    leafs = _directory(_entry("a"), _entry("b"))
    leafs.set_store_unavailable(True, _at(1))
    leafs.replace_all([], _at(20))
    assert _usable(leafs, 30) == ["a", "b"]
    leafs.set_store_unavailable(False, _at(30))
    leafs.apply(directory.LeafUpdated(_entry("a")), _at(31))
    assert _usable(leafs, 31) == ["a"]
    assert _usable(leafs, 33) == ["a"]


def test_zone_out_of_service_is_not_usable_as_a_last_resort():
    leafs = _directory(_entry("a", zone="z1"), _entry("b", zone="z2"))
    leafs.set_zones_out({"z1"})
    assert _usable(leafs, 1) == ["b"]
    leafs.apply(directory.LeafRemoved("b"), _at(1))
    leafs.set_zones_out({"z1", "z2"})
    assert _usable(leafs, 1) == []
    leafs.set_zones_out(())
    assert _usable(leafs, 1) == ["a"]


def test_restarted_leaf_with_the_same_id_is_a_new_incarnation():
    leafs = _directory(_entry("a", born=5))
    leafs.apply(
        directory.LeafUpdated(_entry("a", born=5, draining=True)), _at(1)
    )
    ended = leafs.apply(directory.LeafUpdated(_entry("a", born=9)), _at(2))
    assert ended == [directory.LeafRef("a", 5)]
    assert _usable(leafs, 2) == ["a"]
    # A late entry of the earlier incarnation is ignored.
    leafs.apply(
        directory.LeafUpdated(_entry("a", born=5, draining=True)), _at(3)
    )
    assert _usable(leafs, 9) == ["a"]


def test_leaf_id_that_moves_to_another_service_leaves_the_old_one():
    leafs = _directory(_entry("a", born=5))
    leafs.apply(directory.LeafUpdated(_entry("a", born=9, service="t")), _at(1))
    assert _usable(leafs, 1, "s") == []
    assert _usable(leafs, 1, "t") == ["a"]


def test_leaf_is_cold_for_the_warm_up_time_in_its_entry():
    leafs = _directory(_entry("a", cold=3))
    assert leafs.is_cold("a", _at(2.9))
    assert not leafs.is_cold("a", _at(3))
    # An entry without a warm-up time does not shorten the current one.
    leafs.apply(directory.LeafUpdated(_entry("a")), _at(1))
    assert leafs.is_cold("a", _at(2.9))
    leafs.apply(directory.LeafUpdated(_entry("a", cold=2)), _at(10))
    assert leafs.is_cold("a", _at(11.9))
