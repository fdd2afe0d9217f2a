"""Guards against requests to leafs that left around a return of the store."""

import datetime

from sassafrashold import directory
from sassafrashold import settings

_GRACE_PERIODS = directory.GracePeriods(
    draining=datetime.timedelta(seconds=1.8),
    store_outage=datetime.timedelta(seconds=2),
    older_copy=datetime.timedelta(seconds=5.6),
)


def _at(seconds):
    return datetime.timedelta(seconds=seconds)


def _entry(*, draining=False):
    return directory.LeafEntry(
        ref=directory.LeafRef("a", 1),
        service="s",
        address=settings.Address("10.0.0.1", 80),
        zone="z1",
        slots=3,
        draining=draining,
        cold_for=datetime.timedelta(),
    )


def _usable(leafs, seconds):
    return [e.ref.leaf_id for e in leafs.usable("s", _at(seconds))]


def test_leaf_that_lapsed_in_an_outage_and_then_drained_has_left():
    leafs = directory.LeafDirectory(_GRACE_PERIODS)
    leafs.replace_all([_entry()], _at(0))
    leafs.set_store_unavailable(True, _at(1))
    leafs.apply(directory.LeafRemoved("a"), _at(2))
    leafs.set_store_unavailable(False, _at(3))
    leafs.apply(directory.LeafUpdated(_entry(draining=True)), _at(4))
    leafs.restore([_entry()], _at(8))
    assert _usable(leafs, 8) == []


def test_leaf_that_the_copy_lacks_and_then_drained_has_left():
    leafs = directory.LeafDirectory(_GRACE_PERIODS)
    leafs.replace_all([_entry()], _at(0))
    leafs.restore([], _at(1))
    leafs.apply(directory.LeafUpdated(_entry(draining=True)), _at(2))
    leafs.restore([_entry()], _at(6))
    assert _usable(leafs, 6) == []


def test_drain_is_bounded_for_a_leaf_that_the_copy_lacked():
    # A new outage after the return; the leaf drains in between.
    leafs = directory.LeafDirectory(_GRACE_PERIODS)
    leafs.replace_all([_entry()], _at(0))
    leafs.restore([], _at(1))
    leafs.apply(directory.LeafUpdated(_entry(draining=True)), _at(1.5))
    leafs.set_store_unavailable(True, _at(2))
    leafs.set_store_unavailable(False, _at(7))
    assert _usable(leafs, 7.1) == []


def test_list_of_an_older_copy_is_not_accepted_while_the_store_is_away():
    # Entries of silent leafs do not lapse meanwhile.
    leafs = directory.LeafDirectory(_GRACE_PERIODS)
    leafs.replace_all([_entry()], _at(0))
    leafs.apply(directory.LeafUpdated(_entry(draining=True)), _at(1))
    leafs.restore([_entry()], _at(5))
    leafs.set_store_unavailable(True, _at(6))
    leafs.forget_expired(_at(10.7))
    assert _usable(leafs, 10.7) == []
