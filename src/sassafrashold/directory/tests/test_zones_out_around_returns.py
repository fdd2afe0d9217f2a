"""Guards against zones that stay out of service after they are taken back."""

import datetime

from sassafrashold import directory


def test_zone_taken_back_before_the_first_list_of_the_era_is_in_service():
    # The copy had the entry; the operator removed it before this host read.
    zones = directory.ZonesOut()
    zones.replace_all(["z1"])
    zones.restore([], datetime.timedelta(seconds=10))
    zones.forget_expired(datetime.timedelta(seconds=20))
    assert zones.zones == frozenset()
