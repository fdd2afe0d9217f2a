"""Guards against copies that go on in another history of the store."""

import itertools

import pytest

from sassafrashold import relay


def _document(name, content=0, deleted=False):
    return relay.Document(name, content, deleted)


def _at(era, revision):
    return relay.Position(era, revision)


def _snapshot(position, **content_by_name):
    return relay.Batch(
        tuple(_document(name, c) for name, c in content_by_name.items()),
        position,
        is_snapshot=True,
    )


def _mirror(*batches):
    mirror = relay.Mirror()
    for batch in batches:
        mirror.apply(batch)
    return mirror


def _contents(mirror):
    return {document.name: document.content for document in mirror.documents}


def _follow(follower, source):
    """Applies what a source answers to a follower; returns the answer."""
    batch = source.changes_since(follower.position)
    if batch is not None:
        follower.apply(batch)
    return batch


def test_every_place_of_a_later_era_is_later():
    ascending = [_at(0, 9), _at(1, 3), _at(1, 20), _at(2, 0), _at(10, 1)]
    assert sorted([*ascending[2:], *ascending[:2]]) == ascending
    for earlier, later in itertools.pairwise(ascending):
        assert earlier < later


@pytest.mark.parametrize(
    "position", [_at(0, 0), _at(1, 20), _at(10, 3), _at(10**18 - 1, 10**20)]
)
def test_position_survives_its_text(position):
    assert relay.Position.parse(str(position)) == position


@pytest.mark.parametrize(
    "text",
    [
        "",
        ".",
        "7",
        "1.",
        ".7",
        "1.2.3",
        "-1.7",
        "+1.7",
        "1.-7",
        "1. 7",
        " 1.7",
        "1.7\n",
        "1_0.7",
        "1e3.7",
        "0x1.7",
        "1,7",
        "\u0661.7",
        "\u00b2.7",
        "nan.inf",
        "1." + "9" * 31,
        "9" * 5000 + ".1",
    ],
)
def test_text_of_another_form_is_no_position(text):
    with pytest.raises(ValueError, match="position"):
        relay.Position.parse(text)


def test_only_a_rise_is_reported():
    eras = relay.LatestEra()
    rises: list[int] = []
    eras.note(1)
    eras.on_rise = rises.append
    for era in (1, 3, 2, 3, 4):
        eras.note(era)
    assert (rises, eras.value) == ([3, 4], 4)


def test_first_era_is_a_rise():
    # A host may hold the copy of a seed from before a return.
    eras = relay.LatestEra()
    rises: list[int] = []
    eras.on_rise = rises.append
    assert eras.value == 0
    eras.note(5)
    assert (rises, eras.value) == ([5], 5)


def test_era_that_is_numbered_for_the_first_time_is_a_rise():
    # A store that begins to send the header has begun another history.
    eras = relay.LatestEra()
    rises: list[int] = []
    eras.on_rise = rises.append
    eras.note(0)
    eras.note(1)
    assert rises == [1]


def test_snapshot_of_a_later_era_is_applied_at_a_lower_revision():
    # Guards against hosts that leave the list out as older, in a loop.
    mirror = _mirror(_snapshot(_at(1, 20), kept=1, lost=1, changed=2))
    assert mirror.apply(_snapshot(_at(2, 7), kept=1, changed=1, back=1))
    assert mirror.position == _at(2, 7)
    assert _contents(mirror) == {"kept": 1, "changed": 1, "back": 1}


def test_follower_of_an_earlier_era_gets_the_difference():
    """Snapshots for each of ten followers saturated a 20 Mbit/s link."""
    source = _mirror(
        _snapshot(_at(1, 18), kept=1, lost=1, changed=1),
        relay.Batch((_document("changed", 2),), _at(1, 20)),
        _snapshot(_at(2, 7), kept=1, changed=1, back=1),
    )
    for revision in (18, 20):
        batch = source.changes_since(_at(1, revision))
        assert batch is not None
        assert (batch.position, batch.since, batch.is_snapshot) == (
            _at(2, 7),
            _at(1, revision),
            False,
        )
        assert batch.documents == (
            _document("changed", 1),
            _document("back", 1),
            _document("lost", None, deleted=True),
        )


def test_difference_between_eras_is_passed_on_by_a_follower():
    source = _mirror(_snapshot(_at(1, 20), kept=1, lost=1))
    first = _mirror(_snapshot(_at(1, 20), kept=1, lost=1))
    second = _mirror(_snapshot(_at(1, 20), kept=1, lost=1))
    source.apply(_snapshot(_at(2, 7), kept=1, back=1))
    for follower, its_source in ((first, source), (second, first)):
        batch = _follow(follower, its_source)
        assert batch is not None
        assert not batch.is_snapshot
        assert follower.position == _at(2, 7)
        assert _contents(follower) == {"kept": 1, "back": 1}


def test_empty_difference_carries_the_new_era():
    # Guards against followers that keep a place which the store has given out
    # again, because nothing else has changed.
    source = _mirror(_snapshot(_at(1, 20), a=1))
    follower = _mirror(_snapshot(_at(1, 20), a=1))
    assert source.apply(_snapshot(_at(2, 7), a=1))
    batch = _follow(follower, source)
    assert batch is not None
    assert (batch.documents, batch.is_snapshot) == ((), False)
    assert follower.position == _at(2, 7)


def test_follower_ahead_in_the_lost_era_gets_a_snapshot():
    # It holds changes of the lost era that its source has not seen.
    source = _mirror(
        _snapshot(_at(1, 18), a=1),
        _snapshot(_at(2, 7), a=1),
    )
    follower = _mirror(_snapshot(_at(1, 20), a=2, lost=1))
    batch = _follow(follower, source)
    assert batch is not None
    assert batch.is_snapshot
    assert follower.position == _at(2, 7)
    assert _contents(follower) == {"a": 1}


def test_follower_in_an_era_that_its_source_has_not_seen_gets_a_snapshot():
    source = _mirror(_snapshot(_at(1, 18), a=1), _snapshot(_at(3, 7), a=1))
    follower = _mirror(_snapshot(_at(2, 5), a=2, lost=1))
    batch = _follow(follower, source)
    assert batch is not None
    assert batch.is_snapshot
    assert _contents(follower) == {"a": 1}


def test_follower_in_a_later_era_than_its_source_gets_nothing():
    source = _mirror(_snapshot(_at(1, 18), a=1))
    assert source.changes_since(_at(2, 3)) is None


@pytest.mark.parametrize("is_snapshot", [False, True])
def test_batch_of_an_earlier_era_is_refused_at_a_higher_revision(is_snapshot):
    mirror = _mirror(_snapshot(_at(2, 7), a=1))
    late = relay.Batch(
        (_document("a", 2), _document("lost", 1)), _at(1, 20), is_snapshot
    )
    assert not mirror.apply(late)
    assert mirror.position == _at(2, 7)
    assert _contents(mirror) == {"a": 1}


def test_changes_that_leave_a_gap_are_refused():
    mirror = _mirror(_snapshot(_at(2, 7), a=1))
    gap = relay.Batch((_document("a", 3),), _at(2, 12), since=_at(2, 9))
    assert not mirror.apply(gap)
    assert mirror.position == _at(2, 7)
    assert _contents(mirror) == {"a": 1}


def test_changes_from_the_same_revision_of_another_era_are_refused():
    # The answer to a watch from an old revision, given after the return.
    mirror = _mirror(_snapshot(_at(1, 9), a=2))
    other = relay.Batch((_document("b", 1),), _at(2, 12), since=_at(2, 9))
    assert not mirror.apply(other)
    assert mirror.position == _at(1, 9)


def test_difference_to_a_later_era_is_refused_by_a_copy_that_has_gone_on():
    mirror = _mirror(
        _snapshot(_at(1, 9), a=1),
        relay.Batch((_document("lost", 1),), _at(1, 10), since=_at(1, 9)),
    )
    late = relay.Batch((), _at(2, 7), since=_at(1, 9))
    assert not mirror.apply(late)
    assert _contents(mirror) == {"a": 1, "lost": 1}


@pytest.mark.parametrize("since", [_at(1, 9), _at(2, 5)])
def test_late_difference_is_refused_by_a_copy_that_has_gone_on(since):
    # Two hosts answer the polls of a follower at about the same time. The
    # second one has left out what it found written again as it was before, but
    # the first one had read the older copy.
    slow = _mirror(_snapshot(since, lost=1))
    follower = _mirror(_snapshot(since, lost=1))
    fast = _mirror(_snapshot(since, lost=1))
    fast.apply(_snapshot(_at(2, 6)))
    slow.apply(_snapshot(_at(2, 8), lost=1))
    answers = [s.changes_since(follower.position) for s in (fast, slow)]
    for answer in answers:
        if answer is not None:
            follower.apply(answer)
    _follow(follower, slow)
    assert follower.position == _at(2, 8)
    assert _contents(follower) == {"lost": 1}


@pytest.mark.parametrize("before", [_at(1, 9), _at(2, 5)])
def test_follower_gets_what_was_written_again_between_two_snapshots(before):
    # The source has it from before and finds no difference; the follower has
    # read the older copy, which lacks it.
    source = _mirror(_snapshot(before, lost=1))
    source.apply(_snapshot(_at(2, 8), lost=1))
    follower = _mirror(_snapshot(_at(2, 6)))
    _follow(follower, source)
    assert follower.position == _at(2, 8)
    assert _contents(follower) == {"lost": 1}


def test_follower_of_a_follower_gets_what_was_written_again():
    # The same, with the difference passed on by a host in between.
    source = _mirror(_snapshot(_at(1, 9), lost=1))
    between = _mirror(_snapshot(_at(1, 9), lost=1))
    source.apply(_snapshot(_at(2, 8), lost=1))
    _follow(between, source)
    follower = _mirror(_snapshot(_at(2, 6)))
    _follow(follower, between)
    assert follower.position == _at(2, 8)
    assert _contents(follower) == {"lost": 1}


def test_follower_behind_a_log_that_was_dropped_behind_an_era_gets_a_snapshot():
    source = _mirror(_snapshot(_at(1, 20), a=1), _snapshot(_at(2, 7), b=1))
    for number in range(600):
        source.apply(
            relay.Batch(
                (_document(f"d{number}"),),
                _at(2, 8 + number),
                since=_at(2, 7 + number),
            )
        )
    for position in (_at(1, 20), _at(2, 7)):
        batch = source.changes_since(position)
        assert batch is not None
        assert batch.is_snapshot
        assert len(batch.documents) == 601
    recent = source.changes_since(_at(2, 606))
    assert recent is not None
    assert [document.name for document in recent.documents] == ["d599"]


def test_difference_between_eras_that_overflows_the_log_is_sent_whole():
    source = _mirror(_snapshot(_at(1, 20), a=1))
    source.apply(
        _snapshot(_at(2, 7), **{f"d{number}": 1 for number in range(600)})
    )
    follower = _mirror(_snapshot(_at(1, 20), a=1))
    batch = _follow(follower, source)
    assert batch is not None
    assert batch.is_snapshot
    assert _contents(follower) == _contents(source)
