"""Configurations of many routes follow each other; memory has a limit."""

import asyncio
import collections
import dataclasses
import pathlib
import random
import time

from standins import fronts
from standins import leaf
from standins import world as world_lib

_FRONTS = {"thies-nord": 3, "dakar-pikine": 3, "kaolack-centre": 2}
_SERVICE = "kafi81c"
_PATH = "/goka902/"
_CLIENTS_PER_FRONT = 12
_PAUSE_S = 0.1
_WORK_S = 0.12
_DEADLINE_MS = 5000
# `limits.memory_mb` of toitsure.
_MEMORY_MB = 300
_MEMORY_CHECK_S = 0.1
_RESTART_S = 1.0
# `big_config`: 350 routes more, six times.
_BIG_CONFIGS = 6
_MORE_ROUTES = 350
# `config_storm`: a change each 0.33 s for 4 s.
_STORMS = 18
_STORM_S = 4.0
_STORM_GAP_S = 0.33
_CALM_S = 0.5
_MAX_BROKEN_OFF = 3


@dataclasses.dataclass
class _Request:
    """One request on a kept connection."""

    request_id: str
    front: str
    sent_at: float
    ended_at: float = 0.0
    end: str = ""


def _routes(count: int, timeout_ms: int) -> list[dict[str, object]]:
    return [
        {
            "name": f"r-{number:06d}",
            "host": world_lib.HOST if not number else f"h{number % 40}.example",
            "path_prefix": f"/p{number:06d}/" if number else _PATH,
            "type": "idempotent",
            "timeout_ms": timeout_ms,
            "target_latency_ms": 500,
            "priority": 2,
            "service": _SERVICE,
            "attempts": 2,
        }
        for number in range(count)
    ]


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


class _Platform:
    """Ends processes over the memory limit and starts them again."""

    def __init__(
        self, started: list[fronts.Front], record: world_lib.Record
    ) -> None:
        self._fronts = started
        self._record = record
        self.ended: list[tuple[str, float]] = []
        self.peak_mb: dict[str, float] = {}

    async def run(self) -> None:
        """Checks the memory of all processes until cancelled."""
        while True:
            await asyncio.sleep(_MEMORY_CHECK_S)
            for front in self._fronts:
                memory_mb = _resident_mb(front)
                self.peak_mb[front.name] = max(
                    memory_mb, self.peak_mb.get(front.name, 0)
                )
                if memory_mb > _MEMORY_MB:
                    front.kill()
                    self.ended.append((front.name, time.monotonic()))
                    self._record.add(
                        f"killed: {front.name} uses {memory_mb:.0f} MB"
                    )
                    loop = asyncio.get_running_loop()
                    loop.call_later(_RESTART_S, front.start)


def _resident_mb(front: fronts.Front) -> float:
    if front.process is None or front.process.poll() is not None:
        return 0.0
    path = pathlib.Path(f"/proc/{front.process.pid}/status")
    for line in path.read_text(encoding="utf-8").splitlines():
        # Without the pages that are shared with files.
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0


class _Client:
    """Sends one request after the other on a kept connection."""

    def __init__(self, number: int, front: fronts.Front) -> None:
        self._number = number
        self._front = front
        self.requests: list[_Request] = []

    async def run(self) -> None:
        """Sends requests, and connects again when a connection has ended."""
        ip, _, port = self._front.address.rpartition(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(ip, int(port))
            except OSError:
                await asyncio.sleep(_PAUSE_S)
                continue
            try:
                while True:
                    if not await self._request(reader, writer):
                        break
                    await asyncio.sleep(random.uniform(0, 2 * _PAUSE_S))
            finally:
                writer.close()

    async def _request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request_id = f"{self._number:08x}{len(self.requests):08x}"
        request = _Request(request_id, self._front.name, time.monotonic())
        self.requests.append(request)
        try:
            writer.write(
                f"GET {_PATH}2f HTTP/1.1\r\nHost: {world_lib.HOST}\r\n"
                f"Request-Id: {request_id}\r\n"
                f"Deadline-Ms: {_DEADLINE_MS}\r\n\r\n".encode()
            )
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            length = head.lower().partition("content-length: ")[2]
            await reader.readexactly(int(length.partition("\r\n")[0]))
            request.end = head.split(" ")[1]
        except (OSError, asyncio.IncompleteReadError) as error:
            request.end = type(error).__name__
        request.ended_at = time.monotonic()
        return request.end == "200" and "connection: close" not in head.lower()


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
                slots=20,
                queue=8,
                work_s=_WORK_S,
            )
        )
    count = 1
    await world.configure(_routes(count, 5000), _SERVICES)
    started = [
        world.add_front(f"front-{zone}-{number}", zone)
        for zone, fronts_ in _FRONTS.items()
        for number in range(1, fronts_ + 1)
    ]
    for front in started:
        await front.wait_until_ready()
    await asyncio.sleep(7)
    platform = _Platform(started, record)
    clients = [
        _Client(number, front)
        for number, front in enumerate(
            front for front in started for _ in range(_CLIENTS_PER_FRONT)
        )
    ]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    tasks.append(asyncio.create_task(platform.run()))
    for _ in range(_BIG_CONFIGS):
        await asyncio.sleep(_CALM_S)
        count += _MORE_ROUTES
        await world.configure(_routes(count, 5000), _SERVICES)
        record.add(f"acknowledged: version {world.version}, {count} routes")
    changes = 0
    for _ in range(_STORMS):
        await asyncio.sleep(_CALM_S)
        end = time.monotonic() + _STORM_S
        if not trouble:
            await asyncio.sleep(_STORM_S)
            continue
        for turn in range(round(_STORM_S / _STORM_GAP_S)):
            changes += 1
            await world.configure(_routes(count, 5000 - changes), _SERVICES)
            next_at = end - _STORM_S + (turn + 1) * _STORM_GAP_S
            await asyncio.sleep(next_at - time.monotonic())
        record.add(
            f"{changes} changes, up to {max(platform.peak_mb.values()):.0f} MB"
        )
        if len(platform.ended) >= len(started):
            break
    await asyncio.sleep(4)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return _check(world, record, clients, platform, changes)


def _check(
    world: world_lib.World,
    record: world_lib.Record,
    clients: list[_Client],
    platform: _Platform,
    changes: int,
) -> list[str]:
    passed_on = {
        arrival.request_id
        for server in world.leafs
        for arrival in server.arrivals
    }
    broken_off = []
    requests = [request for client in clients for request in client.requests]
    for request in requests:
        record.add(
            f"sent {request.request_id} {request.front}", request.sent_at
        )
        record.add(
            f"ended {request.request_id} {request.end}", request.ended_at
        )
        killed = any(
            name == request.front and abs(at - request.ended_at) < 1
            for name, at in platform.ended
        )
        unanswered = request.end and not request.end.isdigit()
        if unanswered and killed and request.request_id in passed_on:
            broken_off.append(request)
    for server in world.leafs:
        for arrival in server.arrivals:
            record.add(
                f"arrived {arrival.request_id} {arrival.leaf_id} "
                f"{arrival.ended}",
                arrival.at,
            )
    ends = collections.Counter(request.end for request in requests)
    peaks = sorted(round(mb) for mb in platform.peak_mb.values())
    record.add(
        f"sums: {len(requests)} requests, ends {dict(ends)}, "
        f"{changes} changes, {len(platform.ended)} processes over "
        f"{_MEMORY_MB} MB, peaks in MB {peaks}"
    )
    if len(broken_off) <= _MAX_BROKEN_OFF:
        return []
    return [
        f"LOST {request.request_id} was passed on; its connection to "
        f"{request.front} ended without an answer: {request.end}"
        for request in broken_off
    ]


world_lib.run(_scenario, pathlib.Path(__file__).resolve().parent)
