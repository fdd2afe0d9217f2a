import collections
import datetime
import random

import pytest

from sassafrashold import search
from sassafrashold import settings

_MS = datetime.timedelta(milliseconds=1)
_OWNER_BY_ZONE = {
    "a": settings.Address("127.0.0.1", 1),
    "b": settings.Address("127.0.0.1", 2),
}


def _setup(weights=(1, 1)):
    tracker = search.LeafTracker(random.Random(7))
    replicas = [
        search.Replica(
            f"leaf-{zone}", zone, weight, tracker.leaf(f"leaf-{zone}")
        )
        for zone, weight in zip("ab", weights, strict=True)
    ]
    return tracker, replicas


def _count_primaries_by_zone(tracker, replicas, now=100 * _MS, zones=None):
    chooser = search.ReplicaChooser(
        tracker, random.Random(1), lambda r: _OWNER_BY_ZONE[r.zone], zones
    )
    return collections.Counter(
        chooser.primary(replicas, now).zone for _ in range(1000)
    )


def test_primaries_are_distributed_by_zone_weight():
    counts = _count_primaries_by_zone(*_setup(weights=(3, 1)))
    assert 700 < counts["a"] < 800


def test_a_slow_leaf_gets_probes_only():
    tracker, replicas = _setup()
    for _ in range(20):
        replicas[0].record.record(50 * _MS, 100 * _MS)
        replicas[1].record.record(5 * _MS, 100 * _MS)
    assert _count_primaries_by_zone(tracker, replicas)["a"] == 0
    assert (
        _count_primaries_by_zone(tracker, replicas, now=10_000 * _MS)["a"] == 1
    )


def test_a_slow_leaf_keeps_a_share_while_it_warms_up():
    tracker, replicas = _setup()
    for _ in range(20):
        replicas[0].record.record(50 * _MS, 100 * _MS)
        replicas[1].record.record(5 * _MS, 100 * _MS)
    replicas[0].record.is_warming = True
    assert 250 < _count_primaries_by_zone(tracker, replicas)["a"] < 420
    replicas[0].record.is_warming = False
    assert _count_primaries_by_zone(tracker, replicas)["a"] == 0


def test_probe_interval_grows_until_a_slow_leaf_recovers():
    tracker, replicas = _setup()
    slow, fast = (replica.record for replica in replicas)
    for _ in range(20):
        slow.record(50 * _MS, 100 * _MS)
        fast.record(5 * _MS, 100 * _MS)
    probes = []
    latency = 50 * _MS
    for second in range(1, 121):
        now = second * 1000 * _MS
        if second == 80:
            latency = 5 * _MS
        if _count_primaries_by_zone(tracker, replicas, now)["a"]:
            probes.append(second)
            slow.record(latency, now)
    late = [second for second in probes if second > 80]
    assert [second for second in probes if second < 80] == [4, 10, 22, 46, 70]
    assert late[:2] == [94, 97]
    assert len(late) > 20
    assert not tracker.leaf("leaf-a").backoff.is_active(now)


def test_straggler_is_detected_from_cancelled_sub_queries():
    tracker, replicas = _setup()
    for _ in range(20):
        replicas[0].record.record(5 * _MS, 100 * _MS)
        replicas[1].record.record(5 * _MS, 100 * _MS)
    for _ in range(8):
        replicas[0].record.record_unfinished(10 * _MS, 100 * _MS)
    assert _count_primaries_by_zone(tracker, replicas)["a"] == 0


@pytest.mark.parametrize(
    ("own_ms", "other_ms", "expected_ms"),
    [(10, 8, 10), (None, 8, 8), (8, None, 8), (80, 8, 8), (None, None, 100)],
)
def test_straggler_or_unsampled_leaf_uses_lowest_replica_p95(
    own_ms, other_ms, expected_ms
):
    tracker, replicas = _setup()
    for replica, latency in zip(replicas, (own_ms, other_ms), strict=True):
        for _ in range(40 if latency else 0):
            replica.record.record(latency * _MS, 100 * _MS)
    chooser = search.ReplicaChooser(tracker, random.Random(1), lambda r: None)
    delay = chooser.hedge_delay(replicas[0], replicas, 100 * _MS)
    assert delay / _MS == pytest.approx(expected_ms, rel=0.1)


@pytest.mark.parametrize(
    "fail",
    [
        lambda tracker, now: tracker.leaf_failed("leaf-a", now),
        lambda tracker, now: tracker.owner_failed(_OWNER_BY_ZONE["a"], now),
    ],
)
def test_failed_leaf_or_owner_is_in_backoff(fail):
    tracker, replicas = _setup()
    fail(tracker, 90 * _MS)
    assert _count_primaries_by_zone(tracker, replicas)["a"] == 0
    assert (
        _count_primaries_by_zone(tracker, replicas, now=9000 * _MS)["a"] > 400
    )


def test_unreachable_zone_is_used_only_as_last_resort():
    tracker, replicas = _setup()
    zones = frozenset({"b"})
    assert _count_primaries_by_zone(tracker, replicas, zones=zones)["a"] == 0
    assert (
        _count_primaries_by_zone(tracker, replicas[:1], zones=zones)["a"]
        == 1000
    )
