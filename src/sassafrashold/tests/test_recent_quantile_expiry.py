"""Guards against quantiles of expired samples after a time without any."""

import datetime

from sassafrashold import quantiles

_MS = datetime.timedelta(milliseconds=1)


def test_expired_samples_give_no_value():
    recent = quantiles.RecentQuantile(90, window=10_000 * _MS)
    for number in range(100):
        recent.record(3000 * _MS, number * _MS)
    assert (recent.value(200 * _MS) or 0 * _MS) >= 2900 * _MS
    assert recent.value(30_000 * _MS) is None
    recent.record(10 * _MS, 30_000 * _MS)
    assert recent.value(30_000 * _MS) is None
    for number in range(40):
        recent.record(10 * _MS, (30_001 + number) * _MS)
    assert 9 * _MS <= (recent.value(30_050 * _MS) or 0 * _MS) <= 11 * _MS
