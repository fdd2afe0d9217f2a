"""Guards against more requests to a cold leaf than its limit allows."""

import datetime

from sassafrashold import directory
from sassafrashold.calls.tests import call_world

MS = call_world.MS


def test_all_hosts_together_keep_the_limit_of_a_cold_leaf():
    sent = 0
    for _ in range(2):
        world = call_world.World(hosts=2, max_cold_rps=2)
        for zone in call_world.ZONES:
            leaf = call_world.entry("s0", zone)
            cold = directory.LeafEntry(
                ref=leaf.ref,
                service=leaf.service,
                address=leaf.address,
                zone=leaf.zone,
                slots=leaf.slots,
                draining=False,
                cold_for=datetime.timedelta(seconds=3),
            )
            world.directory.apply(directory.LeafUpdated(cold), 0 * MS)
        for step in range(99):
            call = world.call()
            send = call.first(step * 10 * MS)
            if send is not None:
                call.succeeded(send, step * 10 * MS + 1 * MS)
                sent += send.leaf.zone == "z1"
    # 2 per second, times a burst factor of 1.5, plus a slack of 5.
    assert 0 < sent <= 8
