import dataclasses
import datetime

import hypothesis
from hypothesis import strategies as st
import pytest

from sassafrashold import clock
from sassafrashold import membership
from sassafrashold import settings

_ADDRESS = settings.Address("127.0.1.1", 8003)
_DESCRIPTION = membership.Description(
    "a",
    "luzon-a",
    "1",
    membership.State.SERVING,
    _ADDRESS,
    _ADDRESS,
    _ADDRESS,
)


def _s(seconds):
    return datetime.timedelta(seconds=seconds)


_TIMES = st.integers(0, 50).map(_s)
_PROMISES = st.none() | st.builds(membership.Promise, st.integers(1, 3), _TIMES)


@st.composite
def _entries(draw):
    description = dataclasses.replace(
        _DESCRIPTION,
        incarnation=draw(st.sampled_from(["1", "2"])),
        state=draw(st.sampled_from(membership.State)),
    )
    heard = draw(_TIMES)
    return membership.Entry(
        description,
        heard,
        draw(st.sampled_from([None, heard])),
        draw(_PROMISES),
        draw(st.integers(0, 3)),
        draw(_TIMES),
    )


def _have_distinct_times(entries):
    """Whether the times differ, as in real reports of one host."""
    return len({entry.last_heard for entry in entries}) == len(entries)


@hypothesis.given(_entries(), _entries())
def test_merge_is_commutative(one, other):
    hypothesis.assume(_have_distinct_times([one, other]))
    assert membership.merge(one, other) == membership.merge(other, one)


@hypothesis.given(_entries(), _entries())
def test_merge_keeps_promises_and_never_makes_an_entry_fresher(one, other):
    merged = membership.merge(one, other)
    assert merged.last_heard == max(one.last_heard, other.last_heard)
    for entry in (one, other):
        if entry.promise is not None:
            assert merged.promise >= entry.promise
        if entry.confirmed_at is not None and merged.confirmed_at is not None:
            assert merged.confirmed_at <= max(one.last_heard, other.last_heard)
    assert membership.merge(merged, one) == merged


@hypothesis.given(_entries(), _entries())
def test_merge_never_moves_a_proof_to_another_description(one, other):
    merged = membership.merge(one, other)
    sources = [
        entry.confirmed_at
        for entry in (one, other)
        if entry.description == merged.description
    ]
    assert merged.confirmed_at in [*sources, None]


@hypothesis.given(_entries(), _entries())
def test_noop_check_agrees_with_merge(known, other):
    other = dataclasses.replace(other, description=known.description)
    if membership.is_merge_noop(known, other):
        assert membership.merge(known, other) == known


@pytest.mark.parametrize(
    ("asked", "delay_s", "age_s"), [(100, 0, 0), (100, 9, 2), (100, 30, 1)]
)
def test_delay_of_an_answer_never_makes_it_fresher(asked, delay_s, age_s):
    report = membership.Report(_DESCRIPTION, _s(age_s), _s(age_s), 7, 7)
    entry = membership.Entry.from_answer(report, _s(asked), _s(asked + delay_s))
    assert (entry.last_heard, entry.confirmed_at, entry.promise) == (
        _s(asked - age_s),
        _s(asked - age_s),
        membership.Promise(7, _s(asked - age_s)),
    )


def test_entry_from_a_request_has_no_proof_or_promise():
    report = membership.Report(_DESCRIPTION, _s(0), _s(0), 7, 7)
    entry = membership.Entry.from_request(report, _s(100))
    assert (entry.confirmed_at, entry.promise) == (None, None)


def test_gossip_does_not_restore_an_expired_host():
    members = membership.Members("b", "luzon-a")
    expired = membership.Entry(_DESCRIPTION, _s(0), _s(0), None, 0, _s(61))
    members.merge([expired])
    assert members.get("a") is None
    members.merge([dataclasses.replace(expired, first_seen=_s(60))])
    members.forget(_s(61), needed={"a"})
    assert members.get("a") is not None
    members.forget(_s(61), needed=())
    assert members.get("a") is None


@pytest.mark.parametrize(
    ("times", "absent_s"),
    [
        # (platform clock in s, local clock in s, whether the host is listed)
        ([(0, 0, True), (60, 60, False)], 60),
        # A forward step of one clock does not lengthen the absence.
        ([(0, 0, True), (900, 5, False)], 5),
        ([(0, 0, True), (5, 900, False)], 5),
        ([(0, 0, False), (70, 70, False)], 70),
        ([(0, 0, True), (50, 50, True), (60, 60, False)], 10),
        # An older list is ignored.
        ([(50, 0, True), (10, 60, False)], 0),
        ([], 0),
    ],
)
def test_absence_counts_only_the_time_between_lists(times, absent_s):
    hosts = membership.PlatformHosts()
    for as_of, received, named in times:
        hosts.update(
            clock.from_unix_ms(as_of * 1000),
            {"a": False} if named else {},
            _s(received),
        )
    assert hosts.absent_for("a") == _s(absent_s)


def test_every_host_of_a_zone_of_61_is_within_two_hops_of_the_root():
    ranking = [str(i) for i in range(61)]
    for host in ranking[1:]:
        parent = membership.tree_neighbours(host, ranking).parent
        assert parent is not None
        assert host in membership.tree_neighbours(parent, ranking).children
        grandparent = membership.tree_neighbours(parent, ranking).parent
        assert ranking[0] in (parent, grandparent)
    root = membership.tree_neighbours("0", ranking)
    assert (root.parent, len(root.children)) == ("1", 8)
