"""A second copy of a rejection arrives late, when the leaf was asked again."""

import asyncio
import collections
import math
import pathlib
import random

from standins import client
from standins import fronts
from standins import leaf
from standins import world as world_lib

_FRONTS = {"thies-nord": 3, "dakar-pikine": 3, "kaolack-centre": 2}
# Four shards, and the path of a route to each.
_PATH_BY_SERVICE = {
    "huvo11a": "/goka902/",
    "lohu93e": "/rany330/",
    "daje37f": "/nono601/",
    "ficu72g": "/goka601/",
}
# Two zones hold leafs.
_LEAF_ZONES = ("thies-nord", "dakar-pikine")
# `garble`, how `extra late across`: share 0.5 of the leafs of all shards, 0.04
# of their answers, 5 s.
_EXTRA_LEAFS = 4
_EXTRA_SHARE = 0.04
_EXTRA_S = 5.0
_PAUSE_S = 1.0
_ROUNDS = 13
# Requests a second for each service; its leafs serve 133.
_RATE = 130.0
# Traffic comes in waves, so that all leafs of a service are full at times.
_WAVE_SWING = 0.4
_WAVE_S = 3.0
_WORK_S = 0.045
_SLOTS = 3
_QUEUE = 8
_DEADLINE_MS = 5000
_PROMISES = (408, 421, 429, 503)


async def _scenario(
    world: world_lib.World, record: world_lib.Record, trouble: bool
) -> list[str]:
    source = random.Random()
    for service in _PATH_BY_SERVICE:
        for zone in _LEAF_ZONES:
            await world.add_leaf(
                leaf.Leaf(
                    f"i-{service}-{zone}",
                    service,
                    zone,
                    world.next_ip(),
                    slots=_SLOTS,
                    queue=_QUEUE,
                    work_s=_WORK_S,
                    seed=source.randrange(2**32),
                )
            )
    await world.configure(
        [
            {
                "name": f"r-{service}",
                "host": world_lib.HOST,
                "path_prefix": path,
                "type": "non_idempotent",
                "timeout_ms": 5000,
                "target_latency_ms": 500,
                "priority": 2,
                "service": service,
                "attempts": 2,
            }
            for service, path in _PATH_BY_SERVICE.items()
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
            for service in _PATH_BY_SERVICE
        ],
    )
    started = [
        world.add_front(f"front-{zone}-{number}", zone)
        for zone, count in _FRONTS.items()
        for number in range(1, count + 1)
    ]
    for front in started:
        await front.wait_until_ready()
    # All fronts know each other by then.
    await asyncio.sleep(7)
    attempts: list[client.Attempt] = []
    traffic = asyncio.create_task(_traffic(started, attempts, source))
    await asyncio.sleep(2)
    for _ in range(_ROUNDS):
        if trouble:
            for garbled in source.sample(world.leafs, _EXTRA_LEAFS):
                garbled.extra_share = _EXTRA_SHARE
                record.add(f"extra late answers at {garbled.leaf_id}")
        await asyncio.sleep(_EXTRA_S)
        for garbled in world.leafs:
            garbled.extra_share = 0.0
        record.add("no more extra answers")
        await asyncio.sleep(_PAUSE_S)
    traffic.cancel()
    await asyncio.gather(traffic, return_exceptions=True)
    await asyncio.sleep(_DEADLINE_MS / 1000 + 1)
    return _check(world, record, attempts)


async def _traffic(
    fronts_: list[fronts.Front],
    attempts: list[client.Attempt],
    source: random.Random,
) -> None:
    async def attempt(request_id: str) -> None:
        front = source.choice(fronts_)
        attempts.append(
            await client.send(
                front.address,
                world_lib.HOST,
                f"{source.choice(paths)}2f",
                request_id,
                method="POST",
                body=b"x" * 300,
                deadline_ms=_DEADLINE_MS,
            )
        )

    paths = tuple(_PATH_BY_SERVICE.values())
    loop = asyncio.get_running_loop()
    next_at = loop.time()
    tasks = set()
    number = 0
    try:
        while True:
            number += 1
            tasks.add(asyncio.create_task(attempt(f"{number:016x}")))
            phase = 2 * math.pi * next_at / _WAVE_S
            rate = _RATE * len(paths) * (1 + _WAVE_SWING * math.sin(phase))
            next_at += source.expovariate(rate)
            await asyncio.sleep(max(next_at - loop.time(), 0))
    except asyncio.CancelledError:
        await asyncio.gather(*tasks)
        raise


def _check(
    world: world_lib.World,
    record: world_lib.Record,
    attempts: list[client.Attempt],
) -> list[str]:
    arrivals_by_id = collections.defaultdict(list)
    for server in world.leafs:
        for arrival in server.arrivals:
            arrivals_by_id[arrival.request_id].append(arrival)
    twice = []
    refused = []
    for attempt in attempts:
        record.add(
            f"sent {attempt.request_id} {attempt.front}", attempt.sent_at
        )
        record.add(
            f"answered {attempt.request_id} {attempt.status} {attempt.error}",
            attempt.ended_at,
        )
        runs = []
        for arrival in arrivals_by_id[attempt.request_id]:
            record.add(
                f"arrived {arrival.request_id} {arrival.leaf_id} "
                f"{arrival.ended}",
                arrival.at,
            )
            if arrival.began_at is not None:
                runs.append(arrival.leaf_id)
                record.add(
                    f"ran {arrival.request_id} {arrival.leaf_id}",
                    arrival.began_at,
                )
        if len(runs) > 1:
            twice.append(f"{attempt.request_id} ran at {runs}")
        if attempt.status in _PROMISES and runs:
            refused.append(
                f"{attempt.request_id} answered {attempt.status}, ran at {runs}"
            )
    statuses = collections.Counter(attempt.status for attempt in attempts)
    rejected = sum(
        a.ended.startswith("503") for s in world.leafs for a in s.arrivals
    )
    record.add(
        f"sums: {len(attempts)} attempts, answers {dict(statuses)}, "
        f"{rejected} rejections, extra answers "
        f"{sum(s.extra_answers for s in world.leafs)}"
    )
    return [
        *(f"TWICE {text}" for text in twice),
        *(f"REFUSED {text}" for text in refused),
    ]


world_lib.run(_scenario, pathlib.Path(__file__).resolve().parent)
