"""Checks the exact time limits of the dispatch rule (docs/design.md, 3.1)."""

import datetime

import pytest

from sassafrashold import leafs
from sassafrashold import membership

LEAF = "leaf-1"
OWNER = membership.rank(LEAF, ["a", "b", "c"])[0]
OTHER_HOSTS = [host for host in "abc" if host != OWNER]
START_TIME = datetime.timedelta(seconds=100)
TICK = datetime.timedelta(microseconds=1)
NO_EVIDENCE_GRANT = leafs.SlotGrant(0, leafs.Basis.NO_EVIDENCE)
RESIDUAL_GRANT = leafs.SlotGrant(1, leafs.Basis.RESIDUAL)
HOLD_BACK_GRANT = leafs.SlotGrant(0, leafs.Basis.HOLD_BACK)
RESERVED_GRANT = leafs.SlotGrant(0, leafs.Basis.RESERVED)


def _fresh_grant(slots):
    return leafs.SlotGrant(slots, leafs.Basis.FRESH)


def _earlier(*hosts, epoch=6):
    """Returns earlier epochs, each with one of `hosts` as the only owner."""
    return tuple(
        leafs.EarlierOwners(epoch - i, (host,), frozenset({host}))
        for i, host in enumerate(hosts)
    )


def _report(at, *, earlier=(), epoch=7, members=("a", "b", "c"), member=True):
    return leafs.Report(epoch, members, member, at, earlier)


def _entitlement_after(*reports):
    """Returns the entitlement after (time of receipt, report) pairs."""
    entitlement = leafs.Entitlement(OWNER)
    for received, report in reports:
        entitlement = entitlement.with_report(report, received)
    return entitlement


@pytest.mark.parametrize(
    ("earlier", "slots", "after", "expected"),
    [
        ((), 3, leafs.LEASE_DURATION - TICK, _fresh_grant(3)),
        ((), 3, leafs.LEASE_DURATION, RESIDUAL_GRANT),
        ((), 2, leafs.LEASE_DURATION, RESIDUAL_GRANT),
        ((), 1, leafs.LEASE_DURATION - TICK, _fresh_grant(1)),
        ((), 1, leafs.LEASE_DURATION, NO_EVIDENCE_GRANT),
        (
            _earlier(OTHER_HOSTS[0]),
            3,
            leafs.LEASE_DURATION - TICK,
            HOLD_BACK_GRANT,
        ),
        (_earlier(OTHER_HOSTS[0]), 3, leafs.LEASE_DURATION, NO_EVIDENCE_GRANT),
        (_earlier(OWNER), 3, TICK, _fresh_grant(3)),
    ],
)
def test_grant_after_one_report(earlier, slots, after, expected):
    entitlement = _entitlement_after(
        (START_TIME, _report(START_TIME, earlier=earlier))
    )
    assert entitlement.grant(LEAF, slots, START_TIME + after) == expected


@pytest.mark.parametrize(
    ("hosts", "slots", "expected"),
    [
        (OTHER_HOSTS[:1], 3, _fresh_grant(2)),
        (OTHER_HOSTS, 3, _fresh_grant(1)),
        ((OTHER_HOSTS[0], OTHER_HOSTS[0]), 3, _fresh_grant(2)),
        (OTHER_HOSTS, 2, RESERVED_GRANT),
        (OTHER_HOSTS[:1], 1, RESERVED_GRANT),
        ((OWNER, OTHER_HOSTS[0]), 3, _fresh_grant(2)),
    ],
)
def test_each_unreleased_earlier_owner_reserves_one_slot(
    hosts, slots, expected
):
    after_hold_back = START_TIME + leafs.HOLD_BACK
    report = _report(START_TIME, earlier=_earlier(*hosts))
    fresh = _report(after_hold_back - TICK, earlier=_earlier(*hosts))
    entitlement = _entitlement_after(
        (START_TIME, report), (after_hold_back - TICK, fresh)
    )
    assert (
        entitlement.grant(LEAF, slots, after_hold_back - TICK)
        == HOLD_BACK_GRANT
    )
    assert entitlement.grant(LEAF, slots, after_hold_back) == expected
    residual = (
        RESIDUAL_GRANT if expected.slots and slots > 1 else NO_EVIDENCE_GRANT
    )
    assert (
        entitlement.grant(LEAF, slots, after_hold_back + leafs.LEASE_DURATION)
        == residual
    )


def test_hold_back_covers_lease_longest_call_and_clock_skew():
    assert datetime.timedelta(milliseconds=5500) == leafs.HOLD_BACK


def test_no_residual_slot_if_evidence_ended_with_the_hold_back():
    hold_back_end = START_TIME + leafs.HOLD_BACK
    earlier = _earlier(OTHER_HOSTS[0])
    for evidence, expected in [
        (hold_back_end - leafs.LEASE_DURATION, NO_EVIDENCE_GRANT),
        (hold_back_end - leafs.LEASE_DURATION + TICK, RESIDUAL_GRANT),
    ]:
        entitlement = _entitlement_after(
            (START_TIME, _report(START_TIME, earlier=earlier)),
            (evidence, _report(evidence, earlier=earlier)),
        )
        assert (
            entitlement.grant(LEAF, 3, hold_back_end + leafs.LEASE_DURATION)
            == expected
        )


def test_release_with_stale_evidence_gives_no_residual_slot():
    earlier = _earlier(*OTHER_HOSTS)
    after_hold_back = START_TIME + leafs.HOLD_BACK
    entitlement = _entitlement_after(
        (START_TIME, _report(START_TIME, earlier=earlier)),
        (after_hold_back, _report(after_hold_back, earlier=earlier)),
        (after_hold_back + leafs.LEASE_DURATION, _report(after_hold_back)),
    )
    assert (
        entitlement.grant(LEAF, 2, after_hold_back + leafs.LEASE_DURATION)
        == NO_EVIDENCE_GRANT
    )


def test_newer_epoch_gives_no_slots_until_it_has_evidence():
    entitlement = _entitlement_after((START_TIME, _report(START_TIME)))
    newer = entitlement.with_newer_epoch(_report(None, epoch=8), START_TIME)
    assert newer.grant(LEAF, 3, START_TIME) == NO_EVIDENCE_GRANT
    assert newer.with_report(_report(START_TIME), START_TIME) == newer
    lost = entitlement.with_newer_epoch(
        _report(None, epoch=8, members=tuple(OTHER_HOSTS)), START_TIME
    )
    not_owner = leafs.SlotGrant(0, leafs.Basis.NOT_OWNER)
    assert lost.grant(LEAF, 3, START_TIME) == not_owner
    restarted = _entitlement_after(
        (START_TIME, _report(START_TIME, member=False))
    )
    assert restarted.grant(LEAF, 3, START_TIME) == not_owner


def test_release_ends_the_hold_back_at_once():
    entitlement = _entitlement_after(
        (START_TIME, _report(START_TIME, earlier=_earlier(OTHER_HOSTS[0]))),
        (START_TIME + TICK, _report(START_TIME)),
    )
    assert entitlement.grant(LEAF, 3, START_TIME + TICK) == _fresh_grant(3)


def test_evidence_is_never_later_than_the_request():
    for age_ms, expected in [
        (0, START_TIME),
        (-5, START_TIME),
        (40, START_TIME - 40000 * TICK),
    ]:
        age = datetime.timedelta(milliseconds=age_ms)
        assert leafs.evidence_time(START_TIME, age) == expected
