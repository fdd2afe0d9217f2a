"""Guards against followers that miss what a snapshot of their source skipped.

Pattern: around a return of the store, a follower moves from one reader to a
second one that reached the new era later, by a snapshot.
"""

from sassafrashold import relay


def _era1(revision):
    return relay.Position(1, revision)


def _era2(revision):
    return relay.Position(2, revision)


def _reader(*documents):
    mirror = relay.Mirror()
    mirror.apply(relay.Batch(documents, _era1(98), is_snapshot=True))
    return mirror


def _by_name(mirror):
    return {document.name: document for document in mirror.documents}


def _follow(follower, reader):
    batch = reader.changes_since(follower.position)
    if batch is not None:
        follower.apply(batch)


_ZONE_OUT = relay.Document("z1", {"spec": {}})
_LEAF = relay.Document("leaf", {"spec": {"state": "ready"}})


def test_entry_written_again_alike_reaches_a_follower_that_saw_its_loss():
    # Before: an evacuation in force is unknown at the follower.
    first, second, follower = (_reader(_ZONE_OUT) for _ in range(3))
    first.apply(relay.Batch((), _era2(95), is_snapshot=True))
    _follow(follower, first)
    assert follower.documents == ()
    second.apply(relay.Batch((_ZONE_OUT,), _era2(96), is_snapshot=True))
    second.apply(
        relay.Batch((relay.Document("z2", {}),), _era2(97), since=_era2(96))
    )
    _follow(follower, second)
    assert _by_name(follower) == _by_name(second)


def test_entry_removed_again_is_removed_at_a_follower_that_saw_it_return():
    # Before: a leaf that has left stays listed at the follower.
    first, second, follower = (_reader() for _ in range(3))
    first.apply(relay.Batch((_LEAF,), _era2(95), is_snapshot=True))
    _follow(follower, first)
    assert follower.documents == (_LEAF,)
    second.apply(relay.Batch((), _era2(96), is_snapshot=True))
    second.apply(
        relay.Batch((relay.Document("b", {}),), _era2(97), since=_era2(96))
    )
    _follow(follower, second)
    assert _by_name(follower) == _by_name(second)


def test_late_answer_across_a_snapshot_does_not_extend_a_newer_copy():
    # Before: both readers were asked at the same time.
    first, second, follower = (_reader() for _ in range(3))
    first.apply(relay.Batch((_LEAF,), _era2(95), is_snapshot=True))
    second.apply(relay.Batch((), _era2(96), is_snapshot=True))
    answers = [
        reader.changes_since(follower.position) for reader in (first, second)
    ]
    for answer in answers:
        follower.apply(answer)
    _follow(follower, second)
    assert (
        follower.position != second.position
        or follower.documents == second.documents
    )


def test_snapshot_within_an_era_leaves_no_document_behind():
    # Before: the second reader read a snapshot after lost long polls.
    first, second, follower = (_reader() for _ in range(3))
    first.apply(relay.Batch((_LEAF,), _era1(100)))
    _follow(follower, first)
    second.apply(relay.Batch((), _era1(105), is_snapshot=True))
    second.apply(relay.Batch((relay.Document("b", {}),), _era1(106)))
    _follow(follower, second)
    assert _by_name(follower) == _by_name(second)
