"""Probes zones that may be unreachable and decides where callers go."""

import asyncio
from collections.abc import Callable
import datetime
import logging
import random

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import directory as directory_lib
from sassafrashold.front import _leaf_pool

_LOGGER = logging.getLogger(__name__)
# With the connect timeout of 250 ms, an unreachable zone is distinguished from
# a few dead leafs within about half a second.
_PROBE_INTERVAL = datetime.timedelta(milliseconds=150)


class ReachTask:
    """Keeps track of which zones this host can reach."""

    def __init__(
        self,
        own_zone: str,
        state: calls.CallState,
        directory: directory_lib.LeafDirectory,
        pool: _leaf_pool.LeafPool,
        random_source: random.Random,
        clock: clock_lib.Clock,
        on_reach_change: Callable[[], None],
    ) -> None:
        """Initializes the task.

        Args:
            own_zone: Zone of this host.
            state: Its `reach` and `zone_failover` are updated.
            directory: Lists the leafs to probe.
            pool: Opens the connections of probes.
            random_source: Samples the leafs to probe.
            clock: Source of monotonic time.
            on_reach_change: Called when the set of unreachable zones changes.
        """
        self._on_reach_change = on_reach_change
        self._own_zone = own_zone
        self._state = state
        self._directory = directory
        self._pool = pool
        self._random = random_source
        self._clock = clock

    async def run(self) -> None:
        """Probes suspect zones until cancelled."""
        unreachable: frozenset[str] = frozenset()
        while True:
            await asyncio.sleep(_PROBE_INTERVAL.total_seconds())
            reach = self._state.reach
            reach.forget_old(self._clock.monotonic())
            if reach.suspects:
                await asyncio.gather(
                    *(self._probe(zone) for zone in reach.suspects)
                )
            if reach.unreachable_zones != unreachable:
                unreachable = reach.unreachable_zones
                self._on_reach_change()
                _LOGGER.warning(
                    "zones out of reach", extra={"zones": sorted(unreachable)}
                )
            if self._state.zone_failover.update(
                self._other_zones(), unreachable, self._serves_all(unreachable)
            ):
                _LOGGER.warning(
                    "sending callers to other zones"
                    if self._state.zone_failover.active
                    else "accepting callers again",
                    extra={"zones_out_of_reach": sorted(unreachable)},
                )

    def _other_zones(self) -> frozenset[str]:
        zones = {entry.zone for entry in self._directory.entries()}
        return frozenset(zones - {self._own_zone})

    def _serves_all(self, unreachable: frozenset[str]) -> bool:
        return not unreachable or self._state.serves_all_routes(
            self._clock.monotonic()
        )

    async def _probe(self, zone: str) -> None:
        """Probes leafs of a zone, preferring those that have not failed yet.

        Probes as many leafs as are needed to distinguish an unreachable zone
        from a few dead leafs.
        """
        reach = self._state.reach
        leafs = [
            entry
            for entry in self._directory.entries()
            if entry.zone == zone and not entry.draining
        ]
        if not leafs:
            reach.zone_reached(zone)
            return
        untried = [
            leaf for leaf in leafs if not reach.has_failed(leaf.ref, zone)
        ]
        # A zone that is known to be unreachable gets one probe per round.
        max_probes = (
            1
            if zone in reach.unreachable_zones
            else calls.FAILED_LEAFS_UNTIL_UNREACHABLE
        )
        chosen = untried or leafs
        await asyncio.gather(
            *(
                self._probe_leaf(leaf)
                for leaf in self._random.sample(
                    chosen, min(max_probes, len(chosen))
                )
            )
        )

    async def _probe_leaf(self, leaf: directory_lib.LeafEntry) -> None:
        if await self._pool.probe(leaf):
            self._state.reach.connected(leaf.ref, leaf.zone)
        else:
            self._state.reach.connect_failed(leaf, self._clock.monotonic())
