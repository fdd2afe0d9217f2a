"""Tests of outlier detection across the hosts of a zone.

Guards against slow detection in zones of many hosts: with 22 hosts that each
call a leaf less than once per second, every host hit a slow leaf three times in
eight seconds before it avoided the leaf. Also guards against false detection
because of a short pause of a leaf or of one slow host.
"""

import datetime
import itertools
import random

import pytest

from sassafrashold import directory
from sassafrashold import errors
from sassafrashold import leaf_health

MS = datetime.timedelta(milliseconds=1)
LEAF = directory.LeafRef("leaf", 1)


def _tally(bad=0, good=0, first=0, last=0):
    return leaf_health.Tally(LEAF, good, bad, first * MS, last * MS)


def _outliers_at(detector, ms):
    return [outlier.leaf for outlier in detector.outliers(ms * MS)]


def test_bad_calls_from_two_hosts_beyond_a_pause_make_an_outlier():
    detector = leaf_health.OutlierDetector()
    assert not detector.add("h1", [_tally(bad=2, first=100, last=50)], 0 * MS)
    assert detector.add("h2", [_tally(bad=1)], 250 * MS) == (LEAF,)
    assert _outliers_at(detector, 250) == [LEAF]
    assert _outliers_at(detector, 1250) == []


@pytest.mark.parametrize(
    ("reports", "why"),
    [
        ([("h1", 3, 0, 0), ("h2", 3, 0, 249)], "one pause"),
        ([("h1", 3, 0, 0), ("h1", 3, 0, 400)], "one slow host"),
        ([("h1", 1, 0, 0), ("h2", 1, 0, 400)], "too few calls"),
        ([("h1", 2, 4, 0), ("h2", 1, 1, 400)], "most calls are good"),
        ([("h1", 3, 0, 0), ("h2", 1, 0, 1501)], "too long ago"),
    ],
)
def test_insufficient_evidence_makes_no_outlier(reports, why):
    detector = leaf_health.OutlierDetector()
    for host, bad, good, ms in reports:
        detected = detector.add(host, [_tally(bad=bad, good=good)], ms * MS)
        assert not detected, why


def test_avoid_time_doubles_up_to_a_maximum_for_recurring_outliers():
    detector = leaf_health.OutlierDetector()
    now = 0
    avoid_times = []
    for _ in range(4):
        for host in itertools.cycle(("h1", "h2")):
            now += 130
            if detector.add(host, [_tally(bad=1)], now * MS):
                break
        (outlier,) = detector.outliers(now * MS)
        avoid_times.append(outlier.avoid_for // MS)
        now += avoid_times[-1]
    assert avoid_times == [1000, 2000, 4000, 4000]


def test_avoid_time_is_reset_after_a_healthy_period():
    detector = leaf_health.OutlierDetector()
    detector.add("h1", [_tally(bad=2)], 0 * MS)
    detector.add("h2", [_tally(bad=1)], 300 * MS)
    now = 300 + 1000 + 1500 + 1000 + 1
    assert _outliers_at(detector, now) == []
    detector.add("h1", [_tally(bad=2)], now * MS)
    detector.add("h2", [_tally(bad=1)], (now + 300) * MS)
    (outlier,) = detector.outliers((now + 300) * MS)
    assert outlier.avoid_for == 1000 * MS


def test_new_incarnation_is_not_avoided():
    avoided = leaf_health.AvoidedLeafs(random.Random(1))
    avoided.update([leaf_health.Outlier(LEAF, 1000 * MS)], 0 * MS)
    assert avoided.is_outlier(LEAF, 999 * MS)
    assert not avoided.is_outlier(directory.LeafRef("leaf", 2), 999 * MS)


def test_avoid_times_of_hosts_are_jittered():
    ends = set()
    for seed in range(20):
        avoided = leaf_health.AvoidedLeafs(random.Random(seed))
        avoided.update([leaf_health.Outlier(LEAF, 1000 * MS)], 0 * MS)
        # An update before the end does not change the time.
        avoided.update([leaf_health.Outlier(LEAF, 600 * MS)], 400 * MS)
        avoided.update([], 1000 * MS)
        ends.add(
            next(
                ms
                for ms in itertools.count(step=50)
                if not avoided.is_outlier(LEAF, ms * MS)
            )
        )
    assert min(ends) >= 1000
    assert max(ends) <= 1500
    assert len(ends) > 4


def test_each_call_is_reported_once():
    counter = leaf_health.TallyCounter()
    counter.add_call(LEAF, False, 10 * MS)
    counter.add_call(LEAF, True, 20 * MS)
    counter.add_call(LEAF, True, 50 * MS)
    assert counter.pop_all(60 * MS) == (
        _tally(bad=2, good=1, first=40, last=10),
    )
    assert counter.pop_all(70 * MS) == ()


def test_messages_round_trip():
    report = leaf_health.Report(
        "h1", (_tally(bad=2, good=1, first=40),), ("z2",)
    )
    text = leaf_health.encode_report(report)
    assert leaf_health.decode_report(text.encode()) == report
    zone_health = leaf_health.ZoneHealth(
        (leaf_health.Outlier(LEAF, 700 * MS),), ("z3",)
    )
    text = leaf_health.encode_zone_health(zone_health)
    assert leaf_health.decode_zone_health(text.encode()) == zone_health


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b'{"leafs":[["leaf",1,"2"]]}',
        b'{"leafs":[["leaf",1,-2]]}',
        b'{"leafs":[["leaf",1]]}',
        b'{"leafs":[7]}',
        b'{"leafs":[],"silent_zones":"z1"}',
    ],
)
def test_malformed_message_is_rejected(data):
    with pytest.raises(errors.DocumentError):
        leaf_health.decode_zone_health(data)
    with pytest.raises(errors.DocumentError):
        leaf_health.decode_report(data)


def test_zone_is_unreachable_while_a_host_reports_it():
    zones = leaf_health.UnreachableZones()
    zones.report("h1", ["z2"], 0 * MS)
    zones.report("h2", [], 400 * MS)
    assert zones.zones(400 * MS) == ("z2",)
    assert zones.zones(1500 * MS) == ()
    zones.report("h1", ["z3", "z2"], 1600 * MS)
    assert zones.zones(1600 * MS) == ("z2", "z3")
    zones.report("h1", [], 1700 * MS)
    assert zones.zones(1700 * MS) == ()


class _SimulatedZone:
    """22 hosts with a leaf in their zone, which they call unless avoided."""

    def __init__(self, shared):
        self._is_shared = shared
        self._detector = leaf_health.OutlierDetector()
        self._counters = [leaf_health.TallyCounter() for _ in range(22)]
        self._avoided_leafs = [
            leaf_health.AvoidedLeafs(random.Random(i)) for i in range(22)
        ]
        self._random = random.Random(5)
        self.bad_calls = 0
        self.calls = 0

    def run(self, end_ms, slow_from_ms, slow_to_ms):
        for now in range(0, end_ms, 10):
            for host, counter in enumerate(self._counters):
                if self._random.random() < 0.009:
                    self._call(host, now, slow_from_ms <= now < slow_to_ms)
                if self._is_shared and (now + host * 17) % 400 < 10:
                    tallies = counter.pop_all(now * MS)
                    self._detector.add(f"h{host}", tallies, now * MS)
                    self._avoided_leafs[host].update(
                        self._detector.outliers(now * MS), now * MS
                    )

    def _call(self, host, now, slow):
        if self._avoided_leafs[host].is_outlier(LEAF, now * MS):
            return
        self._counters[host].add_call(LEAF, slow, now * MS)
        self.calls += 1
        self.bad_calls += slow


def test_shared_detection_reduces_calls_to_a_slow_leaf():
    unshared = _SimulatedZone(shared=False)
    unshared.run(20_000, 5000, 13_000)
    sharing = _SimulatedZone(shared=True)
    sharing.run(20_000, 5000, 13_000)
    assert sharing.bad_calls <= 0.25 * unshared.bad_calls
    # The leaf is used again at most 4 s after it has recovered.
    assert sharing.calls - sharing.bad_calls >= 0.6 * (
        unshared.calls - unshared.bad_calls
    )
