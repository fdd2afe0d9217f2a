"""Probes zones that seem out of reach and tells where callers go."""

import asyncio
import datetime
import logging
import random

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import directory as directory_lib
from sassafrashold.front import _leaf_pool

_LOGGER = logging.getLogger(__name__)
# With the connect timeout of 250 ms, a zone that went silent is told from dead
# leafs within about half a second.
_INTERVAL = datetime.timedelta(milliseconds=150)


class ReachTask:
    """Keeps the reach of zones up to date."""

    def __init__(
        self,
        own_zone: str,
        state: calls.CallState,
        directory: directory_lib.LeafDirectory,
        pool: _leaf_pool.LeafPool,
        random_source: random.Random,
        clock: clock_lib.Clock,
    ) -> None:
        """Initializes the task.

        Args:
            own_zone: Zone of this host.
            state: Has the aggregates to keep.
            directory: Leafs to probe.
            pool: Opens connections.
            random_source: Chooses leafs.
            clock: The clock.
        """
        self._own_zone = own_zone
        self._state = state
        self._directory = directory
        self._pool = pool
        self._random = random_source
        self._clock = clock

    async def run(self) -> None:
        """Probes suspects until cancelled."""
        silent: frozenset[str] = frozenset()
        while True:
            await asyncio.sleep(_INTERVAL.total_seconds())
            reach = self._state.reach
            reach.forget_old(self._clock.monotonic())
            if reach.suspects:
                await asyncio.gather(
                    *(self._probe(zone) for zone in reach.suspects)
                )
            if reach.silent != silent:
                silent = reach.silent
                _LOGGER.warning(
                    "zones out of reach", extra={"zones": sorted(silent)}
                )
            if self._state.callers_elsewhere.update(
                self._other_zones(), silent
            ):
                _LOGGER.warning(
                    "callers go elsewhere"
                    if self._state.callers_elsewhere.active
                    else "callers may come again",
                    extra={"zones_out_of_reach": sorted(silent)},
                )

    def _other_zones(self) -> frozenset[str]:
        zones = {entry.zone for entry in self._directory.entries()}
        return frozenset(zones - {self._own_zone})

    async def _probe(self, zone: str) -> None:
        """Connects to a leaf of a zone, rather to one not yet tried."""
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
        leaf = self._random.choice(untried or leafs)
        if await self._pool.probe(leaf):
            reach.connected(leaf.ref, zone)
        else:
            reach.connect_failed(leaf, self._clock.monotonic())
