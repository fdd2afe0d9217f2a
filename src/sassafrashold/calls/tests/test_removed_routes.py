"""Guards against memory that grows with each route that ever existed.

Operators make 1,600 changes a day. The latency statistics of a route take
8 KB and were kept after the route had been removed.
"""

import dataclasses
import random

from sassafrashold import directory
from sassafrashold import routing
from sassafrashold.calls import _state
from sassafrashold.calls.tests import call_world

MS = call_world.MS


def test_statistics_of_removed_routes_are_dropped_and_others_kept():
    kept = call_world.World().route
    table = routing.RouteTable(random.Random(1))
    state = _state.CallState(
        "z1",
        directory.LeafDirectory(directory.GracePeriods(MS, MS, MS)),
        table,
        _state.LimitShare(
            hosts=("h",),
            own_host="h",
            extra_calls_ratio=0.2,
            extra_calls_burst=10,
            extra_calls_window=1000 * MS,
            cold_burst_factor=1.5,
            cold_slack=5,
        ),
        random.Random(1),
    )
    latency = state.latency(kept)
    for version in range(1, 200):
        added = dataclasses.replace(kept, name=f"added-{version}")
        table.adopt(call_world.configuration(version, [kept, added]))
        state.forget_removed_routes()
        state.latency(added)
    assert set(state._latency_by_route) == {"r", "added-199"}
    assert state.latency(kept) is latency
