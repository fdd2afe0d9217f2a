"""The store is silent for half a second while leafs are replaced in turn."""

import asyncio
import collections
import pathlib
import random
import time

from standins import client
from standins import fronts
from standins import leaf
from standins import world as world_lib

_FRONTS = {"thies-nord": 3, "dakar-pikine": 3, "kaolack-centre": 2}
_SHARDS = ("huvo11a", "lohu93e", "daje37f", "ficu72g")
_PATH = "/rany330/"
_RATE = 40.0
_WORK_S = 0.015
_DEADLINE_MS = 1200
# `release`: leafs are replaced one after the other. The new one starts first,
# the old one drains.
_RELEASE_GAP_S = 1.0
_START_S = 0.5
# Leafs serve for `drain_ms` after the store has accepted the report and a
# little longer, at times many seconds.
_DRAIN_S = 3.0
_LONGER_S = 4.0
# `platform_down`, how `silent`.
_SILENCE_S = 0.5
_START_GAP_S = 0.13
_BEFORE_S = 6.0
_AFTER_S = 30.0
_STABLE_WINDOW_S = 4.0


class _Release:
    """Replaces leafs one after the other."""

    def __init__(
        self, world: world_lib.World, record: world_lib.Record
    ) -> None:
        self._world = world
        self._record = record
        self._numbers = collections.Counter[tuple[str, str]]()
        self._leaving: set[asyncio.Task[None]] = set()
        self.acknowledged_at: dict[str, float] = {}

    async def start_leaf(self, service: str, zone: str) -> leaf.Leaf:
        """Starts a leaf and lists it as ready."""
        self._numbers[service, zone] += 1
        number = self._numbers[service, zone]
        return await self._world.add_leaf(
            leaf.Leaf(
                f"i-{service}-{zone}-{number}",
                service,
                zone,
                self._world.next_ip(),
                slots=3,
                queue=18,
                work_s=_WORK_S,
            )
        )

    async def run(self) -> None:
        """Replaces all leafs in turn, again and again."""
        current = {(old.service, old.zone): old for old in self._world.leafs}
        while True:
            for (service, zone), old in list(current.items()):
                current[service, zone] = await self.start_leaf(service, zone)
                await asyncio.sleep(_START_S)
                await self._world.store.put(
                    "servers", old.leaf_id, old.entry("draining")
                )
                self.acknowledged_at[old.leaf_id] = time.monotonic()
                self._record.add(f"acknowledged: {old.leaf_id} is draining")
                task = asyncio.create_task(self._leave(old))
                self._leaving.add(task)
                task.add_done_callback(self._leaving.discard)
                await asyncio.sleep(_RELEASE_GAP_S - _START_S)

    async def _leave(self, old: leaf.Leaf) -> None:
        await asyncio.sleep(_DRAIN_S + _LONGER_S)
        await self._world.store.remove("servers", old.leaf_id)
        await old.stop()
        self._record.add(f"left: {old.leaf_id}")


async def _scenario(
    world: world_lib.World, record: world_lib.Record, trouble: bool
) -> list[str]:
    release = _Release(world, record)
    for service in _SHARDS:
        for zone in _FRONTS:
            await release.start_leaf(service, zone)
    await world.configure(
        [
            {
                "name": "r-wa5xwyh",
                "host": world_lib.HOST,
                "path_prefix": _PATH,
                "type": "idempotent",
                "timeout_ms": 1200,
                "target_latency_ms": 144,
                "priority": 1,
                "gather": list(_SHARDS),
                "attempts": 2,
                "top_k": 20,
                "min_shard_fraction": 0.75,
            }
        ],
        [
            {
                "name": service,
                "health_path": leaf.HEALTH_PATH,
                "max_connections": 31,
                "protocol": "h1",
                "tls": False,
                "warmup_s": 3.0,
                "cold_per_s": 0.0,
            }
            for service in _SHARDS
        ],
    )
    started = []
    for zone, count in _FRONTS.items():
        for number in range(1, count + 1):
            started.append(world.add_front(f"front-{zone}-{number}", zone))
            # The processes of a deployment do not run in step.
            await asyncio.sleep(_START_GAP_S)
    for front in started:
        await front.wait_until_ready()
    await asyncio.sleep(7)
    attempts: list[client.Attempt] = []
    tasks = [
        asyncio.create_task(_traffic(started, attempts)),
        asyncio.create_task(release.run()),
    ]
    await asyncio.sleep(_BEFORE_S + random.uniform(0, 1))
    if trouble:
        record.add("the store is silent")
        world.store.drops_calls = True
    await asyncio.sleep(_SILENCE_S)
    world.store.drops_calls = False
    answers_at = time.monotonic()
    record.add(f"the store answers; it dropped {world.store.dropped}")
    await asyncio.sleep(_AFTER_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return _check(world, record, attempts, release, answers_at)


async def _traffic(
    fronts_: list[fronts.Front], attempts: list[client.Attempt]
) -> None:
    async def attempt(request_id: str) -> None:
        attempts.append(
            await client.send(
                random.choice(fronts_).address,
                world_lib.HOST,
                f"{_PATH}2f",
                request_id,
                deadline_ms=_DEADLINE_MS,
            )
        )

    tasks = set()
    number = 0
    while True:
        number += 1
        task = asyncio.create_task(attempt(f"{number:016x}"))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(random.expovariate(_RATE))


def _check(
    world: world_lib.World,
    record: world_lib.Record,
    attempts: list[client.Attempt],
    release: _Release,
    answers_at: float,
) -> list[str]:
    front_by_id = {}
    for attempt in attempts:
        front_by_id[attempt.request_id] = attempt.front
        record.add(
            f"sent {attempt.request_id} {attempt.front}", attempt.sent_at
        )
        record.add(
            f"answered {attempt.request_id} {attempt.status} {attempt.error}",
            attempt.ended_at,
        )
    late = []
    # The store has been stable, and the machines in touch, from then on.
    in_touch_from = answers_at + _STABLE_WINDOW_S
    for server in world.leafs:
        acknowledged_at = release.acknowledged_at.get(server.leaf_id)
        for arrival in server.arrivals:
            record.add(
                f"arrived {arrival.request_id} {arrival.leaf_id} "
                f"{arrival.ended}",
                arrival.at,
            )
            if acknowledged_at is None or acknowledged_at < in_touch_from:
                continue
            age = arrival.at - acknowledged_at
            if age > _DRAIN_S and arrival.ended != "421":
                late.append(
                    f"DRAIN {arrival.request_id} reached {server.leaf_id} "
                    f"{age:.2f} s after the acknowledgement, from "
                    f"{front_by_id.get(arrival.request_id)}"
                )
    statuses = collections.Counter(attempt.status for attempt in attempts)
    record.add(
        f"sums: {len(attempts)} attempts, answers {dict(statuses)}, "
        f"{len(release.acknowledged_at)} leafs drained"
    )
    return late


world_lib.run(_scenario, pathlib.Path(__file__).resolve().parent)
