"""Measures what a control process costs in a zone of a given size.

Starts real control processes of one zone on loopback addresses, all with one
gateway to an in-memory store, and calls `entitlement` of each every 250 ms as
owners do. Prints processor time, memory and gossip bytes per process, and the
age of the evidence at all hosts while the store answers and while it is down.
"""

import asyncio
import contextlib
import datetime
import json
import pathlib
import statistics
import sys
import tempfile
import time

import click
import psutil

from sassafrashold import clock as clock_lib
from sassafrashold import documents
from sassafrashold import index
from sassafrashold import lease
from sassafrashold import platform
from sassafrashold import rpc
from sassafrashold import settings
from sassafrashold import table
from sassafrashold import wire

_CLOCK = clock_lib.SystemClock()
_ZONE = "zone-0"
_GATEWAY = settings.Address("127.0.9.250", 8001)
_OWNER_INTERVAL_S = 0.25
_SEEDS = 3


def _control(host: int) -> settings.Address:
    return settings.Address(f"127.0.9.{host + 1}", 8003)


def _member(zone: int, host: int) -> lease.Member:
    address = settings.Address(f"127.0.{zone + 10}.{host + 1}", 8003)
    return lease.Member(
        f"zone-{zone}-{host}", "1234567890abcdef", address, address, address
    )


async def _fill(store: platform.MemoryStore, size: int) -> None:
    rows = tuple(
        table.ServiceRow(
            service=f"service-{i}",
            weight_by_zone={f"zone-{z}": 1 for z in range(7)},
            slots_per_leaf=3,
            connections_per_leaf=30,
        )
        for i in range(25)
    )
    value = table.Table(revision=1, rows=rows).encode()
    await store.put(table.TABLE_KEY, value, 0)
    for row in rows:
        leafs = {
            f"{row.service}-{i}": index.Leaf(
                f"{row.service}-{i}",
                f"zone-{i % 7}",
                f"host-{i}",
                settings.Address("127.0.2.1", 9000),
            )
            for i in range(100)
        }
        version = index.IndexVersion("v1", tuple((i,) for i in leafs))
        shardmap = index.ShardMap(row.service, (version,), leafs)
        key = index.shardmap_key(row.service)
        await store.put(key, shardmap.encode(), 0)
    for zone in range(1, 7):
        members = tuple(_member(zone, i) for i in range(size))
        document = lease.ZoneLease(f"zone-{zone}", 1, members, (), 0, "x")
        await store.put(lease.lease_key(document.zone), document.encode(), 0)


async def _list_hosts(store: platform.MemoryStore, size: int) -> None:
    hosts = [
        {"host": f"{_ZONE}-{i}", "zone": _ZONE, "state": "live"}
        for i in range(size)
    ]
    while True:
        as_of = clock_lib.to_unix_ms(_CLOCK.now())
        value = documents.dump({"as_of_unix_ms": as_of, "hosts": hosts})
        store.set_host_list(as_of, value)
        await asyncio.sleep(1)


class _Owner:
    """Calls one control as its owner does."""

    def __init__(self, host: int) -> None:
        self._incarnation = f"incarnation-{host}"
        self.client = rpc.Client(_control(host), _CLOCK)
        self.epoch = 0
        self.members = 0
        self.ages: list[int | None] = []

    async def run(self) -> None:
        while True:
            with contextlib.suppress(Exception):
                await self._call()
            await asyncio.sleep(_OWNER_INTERVAL_S)

    async def _call(self) -> None:
        request = wire.messages.EntitlementRequest(
            incarnation=self._incarnation,
            released_epoch=self.epoch,
            leaving=False,
        )
        body = await self.client.call(
            "entitlement",
            wire.encode(request),
            deadline=_CLOCK.now() + datetime.timedelta(seconds=1),
        )
        reply = wire.decode(wire.messages.EntitlementReply, body)
        self.epoch = reply.epoch
        self.members = len(reply.members)
        self.ages.append(reply.evidence_age_ms)

    async def counters(self) -> dict[str, int]:
        body = await self.client.call(
            "status",
            wire.encode(wire.messages.Empty()),
            deadline=_CLOCK.now() + datetime.timedelta(seconds=5),
        )
        facts = json.loads(wire.decode(wire.messages.StatusReply, body).value)
        return {
            fact["name"]: fact["value"]
            for fact in facts
            if fact["source"] == "counter since start"
        }


def _settings_file(directory: pathlib.Path, host: int) -> pathlib.Path:
    path = directory / f"{host}.ini"
    seeds = ", ".join(str(_control(i)) for i in range(_SEEDS))
    path.write_text(
        "[control]\n"
        f"host = {_ZONE}-{host}\nzone = {_ZONE}\nlisten = {_control(host)}\n"
        f"owner = {_control(host)}\nentry = {_GATEWAY}\nseeds = {seeds}\n"
        "log_level = ERROR\n",
        encoding="utf-8",
    )
    return path


async def _measure(
    owners: list[_Owner], processes: list[psutil.Process], seconds: float
) -> None:
    before = [await owner.counters() for owner in owners]
    cpu = [sum(p.cpu_times()[:2]) for p in processes]
    start = time.monotonic()
    for owner in owners:
        owner.ages.clear()
    await asyncio.sleep(seconds)
    elapsed = time.monotonic() - start
    cores = sorted(
        (sum(p.cpu_times()[:2]) - c) / elapsed * 100
        for p, c in zip(processes, cpu, strict=True)
    )
    print(f"  core percent: {_spread(cores)}")
    memory = sorted(p.memory_info().rss / 2**20 for p in processes)
    print(f"  resident MB: {_spread(memory)}")
    after = [await owner.counters() for owner in owners]
    for name in before[0]:
        rates = sorted(
            (b[name] - a[name]) / elapsed
            for a, b in zip(before, after, strict=True)
        )
        print(f"  {name} per second: {_spread(rates)}")
    ages = sorted(age for o in owners for age in o.ages if age is not None)
    missing = sum(age is None for o in owners for age in o.ages)
    stale = sum(age >= 3000 for age in ages)
    hosts = sum(any((a or 0) >= 3000 for a in o.ages) for o in owners)
    print(
        f"  evidence age ms: {_spread([float(age) for age in ages])};"
        f" of {len(ages)} answers {stale} stale at {hosts}"
        f" hosts, {missing} without"
    )


def _spread(values: list[float]) -> str:
    p99 = values[int(len(values) * 0.99)]
    return (
        f"median {statistics.median(values):.2f}, p99 {p99:.2f},"
        f" max {values[-1]:.2f}"
    )


async def _wait_for_one_epoch(owners: list[_Owner]) -> None:
    while True:
        if all(owner.members == len(owners) for owner in owners):
            return
        await asyncio.sleep(0.2)


async def _run(size: int, seconds: float) -> None:
    store = platform.MemoryStore()
    await _fill(store, size)
    server = rpc.Server(platform.gateway_handlers(store, store), _CLOCK)
    await server.start(_GATEWAY)
    tasks = [asyncio.create_task(_list_hosts(store, size))]
    processes = []
    with tempfile.TemporaryDirectory() as name:
        try:
            for host in range(size):
                path = _settings_file(pathlib.Path(name), host)
                processes.append(
                    await asyncio.create_subprocess_exec(
                        sys.executable,
                        "-m",
                        "sassafrashold.control.main",
                        "--config",
                        str(path),
                    )
                )
            owners = [_Owner(host) for host in range(size)]
            tasks += [asyncio.create_task(owner.run()) for owner in owners]
            start = time.monotonic()
            await _wait_for_one_epoch(owners)
            print(f"all in one epoch after {time.monotonic() - start:.1f} s")
            await asyncio.sleep(10)
            views = [psutil.Process(p.pid) for p in processes]
            calls = store.calls.copy()
            print("store up:")
            await _measure(owners, views, seconds)
            print(f"  store calls: {dict(store.calls - calls)}")
            store.down = True
            await asyncio.sleep(5)
            print("store down:")
            await _measure(owners, views, seconds)
        finally:
            for task in tasks:
                task.cancel()
            for process in processes:
                process.terminate()
            await asyncio.gather(*(process.wait() for process in processes))
            await server.close()


@click.command(help=__doc__)
@click.option("--size", default=61, help="Control processes in the zone.")
@click.option("--seconds", default=30.0, help="Length of each measurement.")
def main(size: int, seconds: float) -> None:
    """Runs the measurement."""
    asyncio.run(_run(size, seconds))


if __name__ == "__main__":
    main()
