"""Guards against lost or repeated changes and zones without a reader."""

import dataclasses
import gc
import weakref

from hypothesis import given
from hypothesis import strategies

from sassafrashold import relay
from sassafrashold import settings


def _document(name, content=0, deleted=False):
    return relay.Document(name, content, deleted)


def _at(revision):
    return relay.Position(1, revision)


def _all(mirror):
    batch = mirror.changes_since(None)
    assert batch is not None
    return {document.name: document for document in batch.documents}


def test_follower_without_a_copy_gets_a_snapshot():
    mirror = relay.Mirror()
    assert mirror.changes_since(None) is None
    mirror.apply(relay.Batch((_document("a"),), _at(5), is_snapshot=True))
    assert mirror.changes_since(None) == relay.Batch(
        (_document("a"),), _at(5), is_snapshot=True
    )
    assert mirror.changes_since(_at(5)) is None


def test_follower_gets_only_newer_changes():
    mirror = relay.Mirror()
    mirror.apply(relay.Batch((), _at(5), is_snapshot=True))
    mirror.apply(relay.Batch((_document("a", 1),), _at(7)))
    mirror.apply(relay.Batch((_document("a", deleted=True),), _at(9)))
    assert mirror.changes_since(_at(5)) == relay.Batch(
        (_document("a", deleted=True),), _at(9), since=_at(5)
    )
    assert mirror.changes_since(_at(7)) == relay.Batch(
        (_document("a", deleted=True),), _at(9), since=_at(7)
    )
    assert mirror.changes_since(_at(9)) is None


def test_only_the_newest_version_of_a_document_is_sent():
    """12 versions for each of 22 followers saturated a 10 Mbit/s link."""
    mirror = relay.Mirror()
    mirror.apply(relay.Batch((_document("main", 0),), _at(5), is_snapshot=True))
    for version in range(1, 13):
        mirror.apply(
            relay.Batch((_document("main", version),), _at(5 + version))
        )
    assert mirror.changes_since(_at(5)) == relay.Batch(
        (_document("main", 12),), _at(17), since=_at(5)
    )


def test_older_batch_is_ignored():
    mirror = relay.Mirror()
    mirror.apply(relay.Batch((_document("a", 1),), _at(9), is_snapshot=True))
    assert not mirror.apply(relay.Batch((_document("a", 0),), _at(7)))
    assert _all(mirror) == {"a": _document("a", 1)}


def test_follower_behind_a_later_snapshot_gets_the_difference():
    """Snapshots for each of ten followers saturated a 20 Mbit/s link."""
    mirror = relay.Mirror()
    mirror.apply(
        relay.Batch((_document("a"), _document("c")), _at(5), is_snapshot=True)
    )
    mirror.apply(relay.Batch((_document("d"),), _at(7)))
    mirror.apply(
        relay.Batch((_document("b"), _document("c")), _at(20), is_snapshot=True)
    )
    deletions = [
        relay.Document(name, None, deleted=True) for name in ("a", "d")
    ]
    assert mirror.changes_since(_at(7)) == relay.Batch(
        (_document("b"), *deletions),
        _at(20),
        since=_at(7),
        is_difference=True,
    )
    assert mirror.changes_since(_at(5)) == relay.Batch(
        (_document("b"), *deletions),
        _at(20),
        since=_at(5),
        is_difference=True,
    )


def test_replaced_versions_of_a_large_document_are_not_kept():
    # Guards against processes that run out of memory: 200 configurations of
    # 0.4 MB each filled the memory of all hosts at the same time.
    class Content:
        pass

    mirror = relay.Mirror()
    mirror.apply(relay.Batch((_document("main", Content()),), _at(5), True))
    versions: list[weakref.ref[Content]] = []
    for revision in range(6, 306):
        content = Content()
        versions.append(weakref.ref(content))
        mirror.apply(relay.Batch((_document("main", content),), _at(revision)))
    del content
    gc.collect()
    assert [v() is not None for v in versions] == [False] * 299 + [True]
    # Followers still get the change from any revision.
    newest = _document("main", versions[-1]())
    for revision in (5, 6, 304):
        assert mirror.changes_since(_at(revision)) == relay.Batch(
            (newest,), _at(305), since=_at(revision)
        )


def test_follower_behind_the_oldest_kept_change_gets_a_snapshot():
    mirror = relay.Mirror()
    mirror.apply(relay.Batch((), _at(5), is_snapshot=True))
    for number in range(600):
        mirror.apply(relay.Batch((_document(f"d{number}"),), _at(6 + number)))
    behind = mirror.changes_since(_at(6))
    assert behind is not None
    assert behind.is_snapshot
    assert len(behind.documents) == 600
    recent = mirror.changes_since(_at(600))
    assert recent is not None
    assert not recent.is_snapshot
    assert [document.name for document in recent.documents] == [
        f"d{number}" for number in range(595, 600)
    ]


def test_follower_behind_the_first_snapshot_gets_a_snapshot():
    mirror = relay.Mirror()
    mirror.apply(relay.Batch((_document("b"),), _at(20), is_snapshot=True))
    assert mirror.changes_since(_at(5)) == relay.Batch(
        (_document("b"),), _at(20), is_snapshot=True
    )


def test_snapshot_without_a_difference_yields_no_changes():
    mirror = relay.Mirror()
    mirror.apply(relay.Batch((_document("a"),), _at(5), is_snapshot=True))
    mirror.apply(relay.Batch((_document("a"),), _at(9), is_snapshot=True))
    assert mirror.changes_since(_at(5)) is None


@given(strategies.lists(strategies.integers(0, 4), max_size=40))
def test_follower_that_polls_at_intervals_converges_with_its_source(steps):
    source = relay.Mirror()
    copy = relay.Mirror()
    source.apply(relay.Batch((), _at(1), is_snapshot=True))
    for number, step in enumerate(steps):
        name = f"d{step}"
        if step == 4:
            # The source reads a new snapshot, which lacks one document.
            remaining = list(_all(source).values())[1:]
            source.apply(
                relay.Batch(tuple(remaining), _at(number + 2), is_snapshot=True)
            )
            continue
        source.apply(
            relay.Batch(
                (_document(name, number, number % 5 == 4),), _at(number + 2)
            )
        )
        if step == 0:
            changes = source.changes_since(copy.position)
            if changes is not None:
                copy.apply(changes)
    changes = source.changes_since(copy.position)
    if changes is not None:
        copy.apply(changes)
    assert _all(copy) == _all(source)


def _peers(count):
    return [
        relay.Peer(f"h{i}", "z", settings.Address("10.0.0.1", 80 + i))
        for i in range(count)
    ]


def test_all_hosts_of_a_small_zone_read_the_store():
    for count in range(1, relay.MIN_HOSTS_TO_RELAY):
        for peer in _peers(count):
            assert relay.sources_for(peer.host, _peers(count)) == ()


def test_two_hosts_of_a_zone_read_the_store_for_the_others():
    peers = _peers(9)
    readers = [p.host for p in peers if not relay.sources_for(p.host, peers)]
    assert readers == ["h0", "h1"]
    for peer in peers[2:]:
        sources = relay.sources_for(peer.host, peers)
        assert {source.host for source in sources[:2]} == {"h0", "h1"}
        assert peer not in sources


def test_hosts_with_the_largest_links_are_the_readers():
    peers = [
        dataclasses.replace(peer, link_mbps=200.0 if rank in (4, 7) else 20.0)
        for rank, peer in enumerate(_peers(9))
    ]
    readers = [p.host for p in peers if not relay.sources_for(p.host, peers)]
    assert readers == ["h4", "h7"]


def test_hosts_never_follow_each_other_in_a_cycle():
    peers = _peers(9)
    for rank, peer in enumerate(peers):
        ranks = [peers.index(s) for s in relay.sources_for(peer.host, peers)]
        assert all(r < rank for r in ranks)


def test_unlisted_host_reads_the_store_itself():
    assert relay.sources_for("new", _peers(9)) == ()


def test_host_that_the_store_turns_away_asks_the_likely_readers_first():
    """Asking 195 hosts by name, one of which reads, took many seconds."""
    peers = [
        relay.Peer(f"{zone}-{i}", zone, settings.Address("10.0.0.1", 80))
        for zone in ("z1", "z2")
        for i in range(5)
    ]
    peers.append(relay.Peer("z3-0", "z3", settings.Address("10.0.0.1", 80)))
    order = relay.likely_readers_first("z2-0", "z2", peers)
    assert [peer.host for peer in order[:4]] == ["z2-1", "z1-0", "z1-1", "z3-0"]
    assert {peer.host for peer in order} == {p.host for p in peers} - {"z2-0"}
