"""Guards the exact bounds of the dispatch rule (design page, 3.1)."""

import datetime

import pytest

from sassafrashold import leafs
from sassafrashold import membership

LEAF = "leaf-1"
OWNER = membership.rank(LEAF, ["a", "b", "c"])[0]
OTHERS = [host for host in "abc" if host != OWNER]
START = datetime.timedelta(seconds=100)
TICK = datetime.timedelta(microseconds=1)
NONE = leafs.SlotGrant(0, leafs.Basis.NO_EVIDENCE)
RESIDUAL = leafs.SlotGrant(1, leafs.Basis.RESIDUAL)
HELD = leafs.SlotGrant(0, leafs.Basis.HOLD_BACK)
RESERVED = leafs.SlotGrant(0, leafs.Basis.RESERVED)


def _full(slots):
    return leafs.SlotGrant(slots, leafs.Basis.FRESH)


def _earlier(*hosts, epoch=6):
    """Earlier epochs in which each of `hosts` alone owned all leafs."""
    return tuple(
        leafs.EarlierOwners(epoch - i, (host,), frozenset({host}))
        for i, host in enumerate(hosts)
    )


def _report(at, *, earlier=(), epoch=7, members=("a", "b", "c"), member=True):
    return leafs.Report(epoch, members, member, at, earlier)


def _known(*reports):
    """Applies (received, report) pairs."""
    known = leafs.Entitlement(OWNER)
    for received, report in reports:
        known = known.with_report(report, received)
    return known


@pytest.mark.parametrize(
    ("earlier", "slots", "after", "expected"),
    [
        ((), 3, leafs.LEASE_DURATION - TICK, _full(3)),
        ((), 3, leafs.LEASE_DURATION, RESIDUAL),
        ((), 2, leafs.LEASE_DURATION, RESIDUAL),
        ((), 1, leafs.LEASE_DURATION - TICK, _full(1)),
        ((), 1, leafs.LEASE_DURATION, NONE),
        (_earlier(OTHERS[0]), 3, leafs.LEASE_DURATION - TICK, HELD),
        (_earlier(OTHERS[0]), 3, leafs.LEASE_DURATION, NONE),
        (_earlier(OWNER), 3, TICK, _full(3)),
    ],
)
def test_one_report(earlier, slots, after, expected):
    known = _known((START, _report(START, earlier=earlier)))
    assert known.grant(LEAF, slots, START + after) == expected


@pytest.mark.parametrize(
    ("hosts", "slots", "expected"),
    [
        (OTHERS[:1], 3, _full(2)),
        (OTHERS, 3, _full(1)),
        ((OTHERS[0], OTHERS[0]), 3, _full(2)),
        (OTHERS, 2, RESERVED),
        (OTHERS[:1], 1, RESERVED),
        ((OWNER, OTHERS[0]), 3, _full(2)),
    ],
)
def test_each_unreleased_earlier_owner_keeps_one_slot(hosts, slots, expected):
    late = START + leafs.HOLD_BACK
    report = _report(START, earlier=_earlier(*hosts))
    fresh = _report(late - TICK, earlier=_earlier(*hosts))
    known = _known((START, report), (late - TICK, fresh))
    assert known.grant(LEAF, slots, late - TICK) == HELD
    assert known.grant(LEAF, slots, late) == expected
    residual = RESIDUAL if expected.slots and slots > 1 else NONE
    assert known.grant(LEAF, slots, late + leafs.LEASE_DURATION) == residual


def test_the_hold_back_covers_lease_longest_call_and_clock_difference():
    assert datetime.timedelta(milliseconds=5500) == leafs.HOLD_BACK


def test_no_residual_slot_if_evidence_ended_with_the_hold_back():
    end = START + leafs.HOLD_BACK
    earlier = _earlier(OTHERS[0])
    for evidence, expected in [
        (end - leafs.LEASE_DURATION, NONE),
        (end - leafs.LEASE_DURATION + TICK, RESIDUAL),
    ]:
        known = _known(
            (START, _report(START, earlier=earlier)),
            (evidence, _report(evidence, earlier=earlier)),
        )
        assert known.grant(LEAF, 3, end + leafs.LEASE_DURATION) == expected


def test_a_release_told_with_old_evidence_gives_no_residual_slot():
    earlier = _earlier(*OTHERS)
    late = START + leafs.HOLD_BACK
    known = _known(
        (START, _report(START, earlier=earlier)),
        (late, _report(late, earlier=earlier)),
        (late + leafs.LEASE_DURATION, _report(late)),
    )
    assert known.grant(LEAF, 2, late + leafs.LEASE_DURATION) == NONE


def test_a_newer_epoch_ends_everything_until_it_has_evidence():
    known = _known((START, _report(START)))
    newer = known.with_newer_epoch(_report(None, epoch=8), START)
    assert newer.grant(LEAF, 3, START) == NONE
    assert newer.with_report(_report(START), START) == newer
    lost = known.with_newer_epoch(
        _report(None, epoch=8, members=tuple(OTHERS)), START
    )
    not_owner = leafs.SlotGrant(0, leafs.Basis.NOT_OWNER)
    assert lost.grant(LEAF, 3, START) == not_owner
    restarted = _known((START, _report(START, member=False)))
    assert restarted.grant(LEAF, 3, START) == not_owner


def test_a_release_ends_the_hold_back_at_once():
    known = _known(
        (START, _report(START, earlier=_earlier(OTHERS[0]))),
        (START + TICK, _report(START)),
    )
    assert known.grant(LEAF, 3, START + TICK) == _full(3)


def test_evidence_is_never_later_than_the_request():
    for age_ms, expected in [
        (0, START),
        (-5, START),
        (40, START - 40000 * TICK),
    ]:
        age = datetime.timedelta(milliseconds=age_ms)
        assert leafs.evidence_time(START, age) == expected
