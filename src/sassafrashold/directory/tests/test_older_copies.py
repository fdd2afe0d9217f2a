"""Guards against older copies of the store that replace later knowledge."""

import datetime

import pytest

from sassafrashold import directory
from sassafrashold import settings

_DRAIN_S = 2
_RELIST_S = 3
_LAPSE_S = 8
_LEFT_RETENTION_S = 60
_ZONE_RETENTION_S = 10
_MOMENT_S = 0.001
_GRACE_PERIODS = directory.GracePeriods(
    draining=datetime.timedelta(seconds=_DRAIN_S),
    store_outage=datetime.timedelta(seconds=_RELIST_S),
    older_copy=datetime.timedelta(seconds=_LAPSE_S),
)


def _at(seconds):
    return datetime.timedelta(seconds=seconds)


def _entry(leaf_id, *, born=5, zone="z1", draining=False, slots=3):
    return directory.LeafEntry(
        ref=directory.LeafRef(leaf_id, born),
        service="s",
        address=settings.Address("10.0.0.1", 80),
        zone=zone,
        slots=slots,
        draining=draining,
        cold_for=datetime.timedelta(),
    )


def _directory(*entries):
    leafs = directory.LeafDirectory(_GRACE_PERIODS)
    leafs.replace_all(entries, _at(0))
    return leafs


def _usable(leafs, seconds):
    """Returns the usable incarnations after expired ones were dropped."""
    leafs.forget_expired(_at(seconds))
    return sorted(
        (entry.ref.leaf_id, entry.ref.born_unix_ms)
        for entry in leafs.usable("s", _at(seconds))
    )


def _leave(leafs, way, seconds, leaf_id="a", born=5):
    match way:
        case "drains":
            leafs.apply(
                directory.LeafUpdated(
                    _entry(leaf_id, born=born, draining=True)
                ),
                _at(seconds),
            )
        case "removed":
            leafs.apply(directory.LeafRemoved(leaf_id), _at(seconds))
        case "drains and is removed":
            _leave(leafs, "drains", seconds, leaf_id, born)
            _leave(leafs, "removed", seconds, leaf_id, born)


_ways_to_leave = pytest.mark.parametrize(
    "way", ["drains", "removed", "drains and is removed"]
)
# Before and after the leaf that left is dropped.
_return_times = pytest.mark.parametrize("returned_at", [1.5, 20])


@_ways_to_leave
@_return_times
def test_leaf_that_has_left_is_not_used_until_its_entry_would_have_lapsed(
    way, returned_at
):
    leafs = _directory(_entry("a"), _entry("b"))
    _leave(leafs, way, 1)
    assert _usable(leafs, returned_at - _MOMENT_S) == [("b", 5)]
    leafs.restore([_entry("a"), _entry("b")], _at(returned_at))
    assert leafs.contradicted_ids == {"a"}
    for seconds in (0, 1, _LAPSE_S - _MOMENT_S):
        assert _usable(leafs, returned_at + seconds) == [("b", 5)]
    assert _usable(leafs, returned_at + _LAPSE_S) == [("a", 5), ("b", 5)]
    assert leafs.contradicted_ids == frozenset()


@_ways_to_leave
def test_last_leaf_that_has_left_is_a_last_resort_no_longer_than_before(way):
    leafs = _directory(_entry("a"))
    _leave(leafs, way, 1)
    leafs.restore([_entry("a")], _at(2))
    assert _usable(leafs, 1 + _DRAIN_S - _MOMENT_S) == [("a", 5)]
    assert _usable(leafs, 1 + _DRAIN_S) == []
    assert _usable(leafs, 2 + _LAPSE_S - _MOMENT_S) == []
    assert _usable(leafs, 2 + _LAPSE_S) == [("a", 5)]


@_ways_to_leave
@_return_times
@pytest.mark.parametrize("slots", [3, 4], ids=["as before", "changed"])
def test_leaf_that_writes_its_entry_again_is_used_at_once(
    way, returned_at, slots
):
    leafs = _directory(_entry("a"))
    _leave(leafs, way, 1)
    leafs.restore([_entry("a")], _at(returned_at))
    again = _entry("a", slots=slots)
    leafs.apply(directory.LeafUpdated(again), _at(returned_at + 1))
    assert leafs.entry("a") == again
    for seconds in (1, _LAPSE_S, 3 * _LAPSE_S):
        assert _usable(leafs, returned_at + seconds) == [("a", 5)]


@_return_times
def test_leaf_that_writes_again_that_it_drains_is_not_used_later(returned_at):
    leafs = _directory(_entry("a"), _entry("b"))
    _leave(leafs, "drains", 1)
    leafs.restore([_entry("a"), _entry("b")], _at(returned_at))
    _leave(leafs, "drains", returned_at + 1)
    assert leafs.contradicted_ids == frozenset()
    for seconds in (1, _LAPSE_S, 3 * _LAPSE_S):
        assert _usable(leafs, returned_at + seconds) == [("b", 5)]


@_ways_to_leave
@_return_times
def test_leaf_that_is_removed_again_is_not_used_later(way, returned_at):
    leafs = _directory(_entry("a"), _entry("b"))
    _leave(leafs, way, 1)
    leafs.restore([_entry("a"), _entry("b")], _at(returned_at))
    _leave(leafs, "removed", returned_at + 1)
    for seconds in (1, _LAPSE_S, 3 * _LAPSE_S):
        assert _usable(leafs, returned_at + seconds) == [("b", 5)]


@_ways_to_leave
def test_later_list_of_the_same_era_does_not_confirm_an_older_entry(way):
    leafs = _directory(_entry("a"), _entry("b"))
    _leave(leafs, way, 1)
    leafs.restore([_entry("a"), _entry("b")], _at(2))
    leafs.replace_all([_entry("a"), _entry("b")], _at(4))
    assert _usable(leafs, 2 + _LAPSE_S - _MOMENT_S) == [("b", 5)]
    assert _usable(leafs, 2 + _LAPSE_S) == [("a", 5), ("b", 5)]


@_ways_to_leave
def test_later_list_that_lacks_an_older_entry_ends_its_wait(way):
    leafs = _directory(_entry("a"), _entry("b"))
    _leave(leafs, way, 1)
    leafs.restore([_entry("a"), _entry("b")], _at(2))
    leafs.replace_all([_entry("b")], _at(4))
    assert leafs.contradicted_ids == frozenset()
    assert _usable(leafs, 2 + 2 * _LAPSE_S) == [("b", 5)]


@_ways_to_leave
def test_leaf_that_has_left_stays_so_over_two_returns(way):
    leafs = _directory(_entry("a"), _entry("b"))
    _leave(leafs, way, 1)
    second_at = 2 + _LAPSE_S - 1
    for returned_at in (2, second_at):
        leafs.restore([_entry("a"), _entry("b")], _at(returned_at))
    assert _usable(leafs, second_at + _LAPSE_S - _MOMENT_S) == [("b", 5)]
    assert _usable(leafs, second_at + _LAPSE_S) == [("a", 5), ("b", 5)]


@_ways_to_leave
def test_leaf_that_has_left_stays_so_if_only_the_second_copy_lists_it(way):
    leafs = _directory(_entry("a"), _entry("b"))
    _leave(leafs, way, 1)
    leafs.restore([_entry("b")], _at(2))
    leafs.restore([_entry("a"), _entry("b")], _at(8))
    assert _usable(leafs, 8 + _LAPSE_S - _MOMENT_S) == [("b", 5)]


@_ways_to_leave
def test_new_incarnation_in_the_copy_is_used_at_once(way):
    leafs = _directory(_entry("a"))
    _leave(leafs, way, 1)
    assert leafs.restore([_entry("a", born=9)], _at(2)) == [
        directory.LeafRef("a", 5)
    ]
    assert leafs.contradicted_ids == frozenset()
    assert _usable(leafs, 2) == [("a", 9)]


@_ways_to_leave
@_return_times
def test_earlier_incarnation_in_the_copy_is_not_used(way, returned_at):
    leafs = _directory(_entry("a", born=5), _entry("b"))
    leafs.apply(directory.LeafUpdated(_entry("a", born=9)), _at(0.5))
    _leave(leafs, way, 1, born=9)
    _usable(leafs, returned_at - _MOMENT_S)
    leafs.restore([_entry("a", born=5), _entry("b")], _at(returned_at))
    assert _usable(leafs, returned_at + _LAPSE_S - _MOMENT_S) == [("b", 5)]


def test_earlier_incarnation_in_the_copy_does_not_replace_a_ready_one():
    leafs = _directory(_entry("a", born=9))
    assert leafs.restore([_entry("a", born=5)], _at(2)) == []
    for seconds in (2, 2 + _RELIST_S, 2 + _LAPSE_S):
        assert _usable(leafs, seconds) == [("a", 9)]


def test_leaf_that_left_is_remembered_for_a_minute_after_it_was_dropped():
    dropped_at = 10
    for returned_at, usable in (
        (dropped_at + _LEFT_RETENTION_S - _MOMENT_S, []),
        (dropped_at + _LEFT_RETENTION_S, [("a", 5)]),
    ):
        leafs = _directory(_entry("a"))
        _leave(leafs, "removed", 1)
        assert _usable(leafs, dropped_at) == []
        assert _usable(leafs, returned_at) == []
        leafs.restore([_entry("a")], _at(returned_at))
        assert _usable(leafs, returned_at) == usable


def test_leaf_that_the_copy_lacks_is_a_last_resort_for_a_time():
    leafs = _directory(_entry("a"))
    leafs.restore([], _at(10))
    assert _usable(leafs, 10 + _RELIST_S - _MOMENT_S) == [("a", 5)]
    assert _usable(leafs, 10 + _RELIST_S) == []


def test_leaf_that_the_copy_lacks_gives_way_to_a_listed_one():
    leafs = _directory(_entry("a"), _entry("b"))
    leafs.restore([_entry("b")], _at(10))
    assert _usable(leafs, 10) == [("b", 5)]
    leafs.apply(directory.LeafUpdated(_entry("a")), _at(11))
    assert _usable(leafs, 11) == [("a", 5), ("b", 5)]
    assert _usable(leafs, 11 + 2 * _LAPSE_S) == [("a", 5), ("b", 5)]


def test_leaf_that_the_copy_lacks_is_kept_while_the_store_is_away():
    leafs = _directory(_entry("a"))
    leafs.set_store_unavailable(True, _at(8))
    leafs.restore([], _at(10))
    assert _usable(leafs, 10 + 3 * _RELIST_S) == [("a", 5)]
    leafs.set_store_unavailable(False, _at(30))
    assert _usable(leafs, 30 + _RELIST_S - _MOMENT_S) == [("a", 5)]
    assert _usable(leafs, 30 + _RELIST_S) == []


def test_leaf_that_two_copies_lack_is_kept_from_the_second_return_on():
    # It writes its entry again only after the second return, like any other.
    leafs = _directory(_entry("a"))
    leafs.restore([], _at(10))
    second_at = 10 + _RELIST_S - 0.5
    leafs.restore([], _at(second_at))
    assert _usable(leafs, second_at + _RELIST_S - _MOMENT_S) == [("a", 5)]
    assert _usable(leafs, second_at + _RELIST_S) == []


def test_leaf_that_only_the_first_copy_lacks_has_not_left():
    # Its entry was lost with the first return and read by no host afterwards.
    leafs = _directory(_entry("a"))
    leafs.restore([], _at(10))
    assert _usable(leafs, 20) == []
    leafs.restore([_entry("a")], _at(21))
    assert leafs.contradicted_ids == frozenset()
    assert _usable(leafs, 21) == [("a", 5)]


def _zones_out(*zones):
    zones_out = directory.ZonesOut()
    zones_out.replace_all(zones)
    return zones_out


def _zones(zones_out, seconds):
    zones_out.forget_expired(_at(seconds))
    return zones_out.zones


def test_zone_that_the_copy_lacks_stays_out_for_a_time():
    zones_out = _zones_out("z1")
    zones_out.restore((), _at(10))
    end = 10 + _ZONE_RETENTION_S
    assert not zones_out.forget_expired(_at(end - _MOMENT_S))
    assert zones_out.zones == {"z1"}
    assert zones_out.forget_expired(_at(end))
    assert zones_out.zones == frozenset()


def test_zone_that_the_copy_lists_is_out_until_it_is_removed():
    zones_out = _zones_out("z1")
    zones_out.restore({"z1", "z2"}, _at(10))
    assert _zones(zones_out, 10 + 2 * _ZONE_RETENTION_S) == {"z1", "z2"}
    zones_out.update("z1", False)
    assert _zones(zones_out, 10 + 2 * _ZONE_RETENTION_S) == {"z2"}


@pytest.mark.parametrize("seconds", [0, 20, 100])
def test_zone_is_in_service_once_it_is_written_again_and_removed(seconds):
    zones_out = _zones_out("z1")
    zones_out.restore((), _at(10))
    zones_out.update("z1", True)
    assert _zones(zones_out, 10 + seconds) == {"z1"}
    zones_out.update("z1", False)
    assert _zones(zones_out, 10 + seconds) == frozenset()


def test_later_list_that_lacks_a_zone_does_not_end_its_retention():
    zones_out = _zones_out("z1", "z2")
    zones_out.restore({"z2"}, _at(10))
    zones_out.replace_all(())
    assert _zones(zones_out, 11) == {"z1"}
    assert _zones(zones_out, 10 + _ZONE_RETENTION_S) == frozenset()


def test_later_list_that_has_a_zone_again_ends_its_retention():
    zones_out = _zones_out("z1")
    zones_out.restore((), _at(10))
    zones_out.replace_all({"z1"})
    zones_out.replace_all(())
    assert _zones(zones_out, 11) == frozenset()


def test_zone_stays_out_over_two_returns():
    zones_out = _zones_out("z1")
    zones_out.restore((), _at(10))
    zones_out.restore((), _at(25))
    assert _zones(zones_out, 10 + _ZONE_RETENTION_S - _MOMENT_S) == {"z1"}
    assert _zones(zones_out, 25 + _ZONE_RETENTION_S) == frozenset()


def test_zone_that_is_lost_again_stays_out_from_the_second_return_on():
    zones_out = _zones_out("z1")
    zones_out.restore((), _at(10))
    zones_out.update("z1", True)
    zones_out.restore((), _at(25))
    assert _zones(zones_out, 25 + _ZONE_RETENTION_S - _MOMENT_S) == {"z1"}
    assert _zones(zones_out, 25 + _ZONE_RETENTION_S) == frozenset()
