"""Guards against zones that stay out of service for good."""

import datetime

from sassafrashold import directory


def test_zone_taken_back_before_the_first_list_of_the_era_returns_in_time():
    # The entry may as well be lost with the copy, so that the zone is kept for
    # as long as operators may take to write it again.
    zones = directory.ZonesOut()
    zones.replace_all(["z1"])
    zones.restore([], datetime.timedelta(seconds=10))
    zones.forget_expired(datetime.timedelta(seconds=19))
    assert zones.zones == frozenset({"z1"})
    zones.forget_expired(datetime.timedelta(seconds=20))
    assert zones.zones == frozenset()
