"""Three of four machines of a zone are lost while the configuration changes."""

import asyncio
import collections
import pathlib
import signal
import time

from standins import client
from standins import leaf
from standins import world as world_lib

_FRONTS = {"thies-nord": 4, "dakar-pikine": 4}
_LOST = ("front-thies-nord-1", "front-thies-nord-2", "front-thies-nord-3")
_SERVICE = "kafi81c"
_CHANGE_GAP_S = 2.0
_CHANGES = 30
_STABLE_WINDOW_S = 4.0
_CONFIG_APPLY_S = 3.0
# How long each new route is asked for, from `config_apply_ms` on.
_ASK_S = 3.0
_ASK_GAP_S = 0.1
_DEADLINE_MS = 1000


def _route(number: int) -> dict[str, object]:
    return {
        "name": f"r-{number:04d}",
        "host": world_lib.HOST,
        "path_prefix": f"/goka{number:04d}/",
        "type": "idempotent",
        "timeout_ms": 5000,
        "target_latency_ms": 500,
        "priority": 2,
        "service": _SERVICE,
        "attempts": 2,
    }


_SERVICES: list[dict[str, object]] = [
    {
        "name": _SERVICE,
        "health_path": leaf.HEALTH_PATH,
        "max_connections": 110,
        "protocol": "h1",
        "tls": False,
        "warmup_s": 3.0,
        "cold_per_s": 0.0,
    }
]


async def _scenario(
    world: world_lib.World, record: world_lib.Record, trouble: bool
) -> list[str]:
    for zone in _FRONTS:
        await world.add_leaf(
            leaf.Leaf(
                f"i-{zone}",
                _SERVICE,
                zone,
                world.next_ip(),
                slots=4,
                queue=8,
                work_s=0.02,
            )
        )
    routes = [_route(0)]
    await world.configure(routes, _SERVICES)
    started = [
        world.add_front(f"front-{zone}-{number}", zone)
        for zone, count in _FRONTS.items()
        for number in range(1, count + 1)
    ]
    for front in started:
        await front.wait_until_ready()
    await asyncio.sleep(12)
    asked = [front for front in started if front.name not in _LOST]
    if trouble:
        for front in started:
            if front.name in _LOST:
                assert front.process is not None
                front.process.send_signal(signal.SIGSTOP)
                record.add(f"lost: {front.name}")
    lost_at = time.monotonic()
    attempts: list[tuple[client.Attempt, int, float]] = []

    async def ask(address: str, number: int, acknowledged_at: float) -> None:
        await asyncio.sleep(
            acknowledged_at + _CONFIG_APPLY_S - time.monotonic()
        )
        turn = 0
        while time.monotonic() < acknowledged_at + _CONFIG_APPLY_S + _ASK_S:
            turn += 1
            attempt = await client.send(
                address,
                world_lib.HOST,
                f"/goka{number:04d}/2f",
                f"{number:04x}{address.rpartition(':')[2]:0>8}{turn:04x}",
                deadline_ms=_DEADLINE_MS,
            )
            attempts.append((attempt, number, acknowledged_at))
            await asyncio.sleep(_ASK_GAP_S)

    tasks = []
    for number in range(1, _CHANGES + 1):
        await asyncio.sleep(_CHANGE_GAP_S)
        routes = [*routes, _route(number)]
        await world.configure(routes, _SERVICES)
        acknowledged_at = time.monotonic()
        record.add(f"acknowledged: version {world.version}, route {number}")
        tasks.extend(
            asyncio.create_task(ask(front.address, number, acknowledged_at))
            for front in asked
        )
    await asyncio.gather(*tasks)
    name_by_address = {front.address: front.name for front in started}
    late = []
    for attempt, number, acknowledged_at in attempts:
        age = attempt.sent_at - acknowledged_at
        front = name_by_address[attempt.front]
        record.add(
            f"sent {attempt.request_id} route {number} to {front}, "
            f"{age:.2f} s after its version was acknowledged",
            attempt.sent_at,
        )
        record.add(
            f"answered {attempt.request_id} {attempt.status} {attempt.error}",
            attempt.ended_at,
        )
        in_touch = attempt.sent_at > lost_at + _STABLE_WINDOW_S
        if attempt.status == 404 and age > _CONFIG_APPLY_S and in_touch:
            late.append(
                f"CONFIG {attempt.request_id}: {front} refused route {number} "
                f"with 404, {age:.2f} s after the acknowledgement"
            )
    statuses = collections.Counter(attempt.status for attempt, _, _ in attempts)
    record.add(f"sums: {len(attempts)} attempts, answers {dict(statuses)}")
    return late


world_lib.run(_scenario, pathlib.Path(__file__).resolve().parent)
