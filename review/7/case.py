"""LOST: a connection made at the end of the drain is dropped while served."""

import asyncio
import collections
import itertools
import pathlib
import random
import signal
import time

import small_deployment as world

# Hosts of each zone, as on the sheet.
_ZONES = ("z1", "z2", "z3")
_HOSTS = 8
# roll_term, one at a time.
_GAP_S = 1.1
_ROLLS_S = 97
_GRACE_S = 6.0
# The balancer asks once a second; two misses take a host out.
_PROBE_INTERVAL_S = 1.0
_MAX_MISSES = 2
# Requests a second of a zone of the site file.
_RATE_PER_ZONE = 78


class Balancer:
    """Chooses hosts for new connections as the platform's page says."""

    def __init__(self, hosts_by_zone: dict[str, list[world.EntryHost]]) -> None:
        self._hosts_by_zone = hosts_by_zone
        self._misses: collections.Counter[str] = collections.Counter()

    async def probe(self, host: world.EntryHost) -> None:
        """Asks a host for its readiness once a second."""
        while True:
            asked_at = time.monotonic()
            ready = await host.is_ready(_PROBE_INTERVAL_S)
            self._misses[host.name] = (
                0 if ready else self._misses[host.name] + 1
            )
            spent = time.monotonic() - asked_at
            await asyncio.sleep(max(_PROBE_INTERVAL_S - spent, 0))

    def choose(self, zone: str) -> world.EntryHost:
        """Returns the host for a new connection of a caller in a zone."""
        own = self._hosts_by_zone[zone]
        everybody = [
            host for hosts in self._hosts_by_zone.values() for host in hosts
        ]
        in_rotation = self._in_rotation(own)
        if not in_rotation:
            return random.choice(self._in_rotation(everybody) or everybody)
        if len(in_rotation) * 2 < len(own):
            return random.choice(own)
        return random.choice(in_rotation)

    def _in_rotation(
        self, hosts: list[world.EntryHost]
    ) -> list[world.EntryHost]:
        return [h for h in hosts if self._misses[h.name] < _MAX_MISSES]


async def _call_from_zone(
    zone: str,
    balancer: Balancer,
    record: world.Record,
    end: float,
    replies: list[tuple[str, world.Reply]],
) -> None:
    """Sends requests at random times, each on a new connection."""

    async def send() -> None:
        host = balancer.choose(zone)
        caller = world.Caller(host, record)
        replies.append((host.name, await caller.send("/one/q")))
        caller.close()

    tasks = []
    while time.monotonic() < end:
        tasks.append(asyncio.create_task(send()))
        await asyncio.sleep(random.expovariate(_RATE_PER_ZONE))
    await asyncio.gather(*tasks)


async def _roll(
    deployment: world.SmallDeployment,
    end: float,
    stopped_at_by_host: dict[str, list[float]],
) -> None:
    """Stops and starts the hosts in turn, zone by zone."""

    async def restart(host: world.EntryHost) -> None:
        deployment.record.add(f"{host.name} gets SIGTERM")
        stopped_at_by_host[host.name].append(time.monotonic())
        host.send_signal(signal.SIGTERM)
        await host.wait_for_end(_GRACE_S)
        deployment.record.add(f"{host.name} has ended")
        host.start()

    order = sorted(deployment.hosts, key=lambda host: (host.zone, host.name))
    tasks = []
    for host in itertools.cycle(order):
        if time.monotonic() >= end:
            break
        tasks.append(asyncio.create_task(restart(host)))
        await asyncio.sleep(_GAP_S)
    await asyncio.gather(*tasks)


async def _case(record: world.Record, trouble: bool) -> world.Outcome:
    deployment = world.SmallDeployment(record, _ZONES, _HOSTS)
    leafs = deployment.add_leafs("paie", 7, 4, lambda: 0.0075)
    deployment.routes.append(
        world.route("one", "/one/", service="paie", target_latency_ms=68)
    )
    replies: list[tuple[str, world.Reply]] = []
    stopped_at_by_host: dict[str, list[float]] = collections.defaultdict(list)
    async with deployment:
        hosts_by_zone = {
            zone: [host for host in deployment.hosts if host.zone == zone]
            for zone in _ZONES
        }
        balancer = Balancer(hosts_by_zone)
        probes = [
            asyncio.create_task(balancer.probe(host))
            for host in deployment.hosts
        ]
        await asyncio.sleep(world.STABLE_WINDOW_S)
        end = time.monotonic() + _ROLLS_S
        work = [
            _call_from_zone(zone, balancer, record, end, replies)
            for zone in _ZONES
        ]
        if trouble:
            work.append(_roll(deployment, end, stopped_at_by_host))
        await asyncio.gather(*work)
        for probe in probes:
            probe.cancel()
    ran = {run_id for leaf in leafs for run_id in leaf.run_ids}
    lost = 0
    for host, reply in replies:
        if reply.status is not None or reply.request_id not in ran:
            continue
        since_stop = min(
            (
                reply.sent_at - at
                for at in stopped_at_by_host[host]
                if at <= reply.sent_at
            ),
            default=float("inf"),
        )
        # Planned work lasts until 1 s after the grace; the leaf must not have
        # been at work in the last sixth of it.
        if since_stop < _GRACE_S * 5 / 6:
            lost += 1
            record.add(
                f"{reply.request_id} ran; {host} closed without an answer, "
                f"{since_stop:.3f} s after SIGTERM"
            )
    record.conclude(
        f"{len(replies)} requests, "
        f"{sum(map(len, stopped_at_by_host.values()))} planned stops; {lost} "
        "requests were passed on to a leaf and their connection ended without "
        "an answer"
    )
    return world.Outcome.BROKEN if lost else world.Outcome.HELD


world.run_case(pathlib.Path(__file__).parent, _case)
