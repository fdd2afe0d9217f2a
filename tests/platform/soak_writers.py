"""The operator and the leafs of the soak test: what they write to the store.

After the store has returned from an older copy they write again what was lost,
as PROTOCOL.md says.
"""

import asyncio
import dataclasses
import random

import platform_harness
import soak_checks

from sassafrashold.standins import objects_store
from sassafrashold.standins import records_leaf

_HEARTBEAT_S = 1.2
_LAPSE_S = 3 * _HEARTBEAT_S
_OPERATOR_DELAY_S = 1.0
_COPY_INTERVAL_S = 0.1
_MIN_COPY_AGE_S = 0.3
_MAX_COPY_AGE_S = 4.0
_MAX_ADDED_ROUTES = 3
_PROBED_REMOVED_PATHS = 4


@dataclasses.dataclass(frozen=True)
class Series:
    """Changes that the operator and the leafs make one after the other."""

    name: str
    """Name for the log."""

    weights: tuple[int, ...]
    """Weights of versions, leavings, evacuations and SIGHUP."""

    min_length_s: float
    """Least length; leavings last three times as long, evacuations four."""

    max_pause_s: float
    """Longest pause between two."""


CLOSE_CHANGES = Series("close", (6, 3, 1, 0), 0.2, 0.6)
FIRST_CHANGES = Series("first", (3, 5, 2, 0), 1.9, 0.3)
CALM_CHANGES = Series("calm", (3, 4, 2, 1), 1.2, 1.0)


class Writers:
    """Writes changes, and writes them again after a return of the store."""

    def __init__(
        self,
        harness: platform_harness.PlatformHarness,
        checks: soak_checks.Checks,
        seed: int,
    ) -> None:
        """Initializes writers whose entries are all in the store.

        Args:
            harness: The platform.
            checks: Told of all that the store acknowledges.
            seed: Seed of the delays and of the routes that change.
        """
        self._harness = harness
        self._checks = checks
        self._random = random.Random(f"{seed}/writers")
        # None if the leaf has left.
        self._state_by_leaf: dict[str, str | None] = {
            leaf.leaf_id: "ready" for leaf in harness.leafs
        }
        self._zones_out: set[str] = set()
        self._copies: list[tuple[float, objects_store.Copy]] = []
        self._added_count = 0
        self.present_paths: list[str] = []
        self.removed_paths: list[str] = []
        self._rewrites: list[asyncio.Task[None]] = []
        self._publishing = asyncio.Lock()
        checks.note_version_sent(harness.version, frozenset())
        checks.note_version_acknowledged(harness.version)

    @property
    def probed_paths(self) -> list[str]:
        """Paths of routes that were added or removed lately, and of none."""
        removed = self.removed_paths[-_PROBED_REMOVED_PATHS:]
        return [*removed, *self.present_paths, "/never/"]

    async def change_routes(self) -> None:
        """Publishes a version that adds a route, removes one, or both."""
        async with self._publishing:
            await self._wait_for_store()
            removes = self._random.random() < 0.5
            if len(self.present_paths) == _MAX_ADDED_ROUTES or (
                removes and self.present_paths
            ):
                removed = self.present_paths.pop(0)
                self.removed_paths.append(removed)
                self._harness.routes = [
                    route
                    for route in self._harness.routes
                    if route["path_prefix"] != removed
                ]
            if not removes or self._random.random() < 0.5:
                self._added_count += 1
                name = f"v{self._added_count}"
                self.present_paths.append(f"/{name}/")
                self._harness.routes.append(
                    platform_harness.route(name, f"/{name}/", service="single")
                )
            number = self._harness.version + 3
            self._checks.note_version_sent(
                number, frozenset(self.present_paths)
            )
            await self._harness.publish_configuration()
            self._checks.note_version_acknowledged(number)

    async def let_leaf_leave(
        self, leaf: records_leaf.RecordsLeaf, seconds: float, drains: bool
    ) -> None:
        """Lets a leaf drain or vanish for a time; it then comes back."""
        if self._state_by_leaf[leaf.leaf_id] != "ready":
            return
        self._state_by_leaf[leaf.leaf_id] = "draining" if drains else None
        await self._write_leaf(leaf)
        await asyncio.sleep(seconds)
        self._state_by_leaf[leaf.leaf_id] = None
        await self._write_leaf(leaf)
        await asyncio.sleep(0.2)
        self._state_by_leaf[leaf.leaf_id] = "ready"
        await self._write_leaf(leaf)

    async def evacuate_zone(self, zone: str, seconds: float) -> None:
        """Takes a zone out of service for a time, unless one is out."""
        if self._zones_out:
            return
        self._zones_out.add(zone)
        await self._write_zone(zone)
        await asyncio.sleep(seconds)
        self._zones_out.discard(zone)
        await self._write_zone(zone)

    async def keep_copies(self) -> None:
        """Takes copies of the store on a clock; runs until it is cancelled."""
        while True:
            now = asyncio.get_running_loop().time()
            self._copies = [
                (time_s, copy)
                for time_s, copy in self._copies
                if now - time_s <= _MAX_COPY_AGE_S + 2 * _COPY_INTERVAL_S
            ]
            self._copies.append((now, self._harness.store.take_copy()))
            await asyncio.sleep(_COPY_INTERVAL_S)

    async def return_store(self, away_s: float, age_s: float) -> None:
        """Lets the store be away, then return from an older copy."""
        store = self._harness.store
        loop = asyncio.get_running_loop()
        taken_s = loop.time() - age_s
        older = [entry for entry in self._copies if entry[0] <= taken_s]
        older = older or self._copies[:1]
        store.away = True
        await asyncio.sleep(away_s)
        # A copy of a history that is lost itself is none to return to.
        self._copies = [
            entry for entry in self._copies if entry[0] <= older[-1][0]
        ]
        await store.restore(older[-1][1])
        self._checks.note(
            f"store returns to revision {older[-1][1].revision}, era "
            f"{store.era}"
        )
        store.away = False
        self._rewrites.append(asyncio.create_task(self._write_again()))

    async def wait_for_rewrites(self) -> None:
        """Waits until all that was lost is written again."""
        while self._rewrites:
            await self._rewrites.pop()

    async def _write_again(self) -> None:
        await asyncio.gather(
            self._write_configuration_again(),
            *(self._write_zone_again(zone) for zone in platform_harness.ZONES),
            *(self._write_leaf_again(leaf) for leaf in self._harness.leafs),
        )

    async def _write_configuration_again(self) -> None:
        await asyncio.sleep(self._random.uniform(0, _OPERATOR_DELAY_S))
        async with self._publishing:
            await self._wait_for_store()
            await self._harness.write_configuration()
            self._checks.note_version_acknowledged(self._harness.version)

    async def _write_zone_again(self, zone: str) -> None:
        await asyncio.sleep(self._random.uniform(0, _OPERATOR_DELAY_S))
        await self._write_zone(zone)

    async def _write_leaf_again(self, leaf: records_leaf.RecordsLeaf) -> None:
        delay_s = self._random.uniform(0, _HEARTBEAT_S)
        await asyncio.sleep(delay_s)
        if self._state_by_leaf[leaf.leaf_id] is None:
            # The store drops the entry of a leaf that is silent.
            await asyncio.sleep(_LAPSE_S - delay_s)
        await self._write_leaf(leaf)

    async def _write_leaf(self, leaf: records_leaf.RecordsLeaf) -> None:
        await self._wait_for_store()
        match self._state_by_leaf[leaf.leaf_id]:
            case "ready":
                self._checks.note_readiness(leaf.leaf_id)
                await self._harness.put_leaf_entry(leaf)
            case "draining":
                await self._harness.put_leaf_entry(leaf, "draining")
                self._checks.note_leaving(leaf.leaf_id)
            case None:
                await self._harness.store.remove("servers", leaf.leaf_id)
                self._checks.note_leaving(leaf.leaf_id)

    async def _write_zone(self, zone: str) -> None:
        await self._wait_for_store()
        if zone in self._zones_out:
            await self._harness.store.put("evacuations", zone, {})
            self._checks.note_evacuation(zone)
        else:
            self._checks.note_evacuation_end(zone)
            await self._harness.store.remove("evacuations", zone)

    async def _wait_for_store(self) -> None:
        store = self._harness.store
        while store.away or store.silent:  # noqa: ASYNC110 - plain flags
            await asyncio.sleep(0.02)


def random_age(generator: random.Random) -> float:
    """Returns how many seconds old the copy of a return is."""
    return generator.uniform(_MIN_COPY_AGE_S, _MAX_COPY_AGE_S)
