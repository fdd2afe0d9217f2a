"""Leafs that restart cold under load, with the cold-start rule and without.

Target: 0 calls above the cold-start bound, and full load within 2 times the
leaf's own warm-up. The leaf's own warm-up is measured by a driver that always
keeps exactly as many calls open as the leaf bears.
"""

import asyncio
import time
from typing import Any

import aiohttp
import common

from sassafrashold import index
from sassafrashold import load
from sassafrashold.standins import deployment as deployment_lib
from sassafrashold.standins import harness

_SLOTS = 3
_WARMUP = 20
_RATE = 140.0
_DURATION_S = 14.0
_RESTART_AT_S = 5.0
_ZONE = "visayas-a"
_QUERY_DEADLINE_MS = 1500

_DEPLOYMENT = deployment_lib.Deployment(
    name="cold",
    zones=(
        deployment_lib.Zone("luzon-a", 1),
        deployment_lib.Zone(_ZONE, 1),
        deployment_lib.Zone("mindanao-a", 1),
    ),
    groups=(
        deployment_lib.ServiceGroup(
            name="almanac",
            leafs=3,
            shards=3,
            slots=_SLOTS,
            connections=30,
            connect_ms=6,
            cells={"warmup_successes": str(_WARMUP)},
            profile={
                "cold_at_start": False,
                "warmup_successes": _WARMUP,
                "item_ms": 4.0,
                "service_ms": 12.0,
            },
        ),
    ),
    versions=("v1",),
)


def _leaf_of(cluster: harness.Cluster) -> index.Leaf:
    leafs = cluster.deployment.shardmaps[0].leaf_by_id.values()
    return next(leaf for leaf in leafs if leaf.zone == _ZONE)


async def _until_warm(cluster: harness.Cluster, leaf_id: str) -> float:
    """Returns the time until the leaf bears its full number of calls."""
    started = time.monotonic()
    while True:
        record = (await cluster.leaf_records(calls=False))[leaf_id]
        if record["bound"] >= record["slots"]:
            return time.monotonic() - started
        if time.monotonic() - started > 60:
            return float("inf")
        await asyncio.sleep(0.02)


async def _own_warmup_s() -> float:
    """Returns how long a cold leaf needs when it is driven at its bound."""
    async with common.running(_DEPLOYMENT, common.SYSTEM) as cluster:
        leaf = _leaf_of(cluster)
        shardmap = cluster.deployment.shardmaps[0]
        shard = next(
            number
            for number, replicas in enumerate(shardmap.versions[0].replicas)
            if leaf.leaf_id in replicas
        )
        await cluster.make_leafs_cold({"leaf": leaf.leaf_id})
        started = time.monotonic()
        async with aiohttp.ClientSession() as session:
            drivers = [
                asyncio.create_task(
                    _drive(session, cluster, leaf, shard, number)
                )
                for number in range(_SLOTS)
            ]
            await _until_warm(cluster, leaf.leaf_id)
            elapsed = time.monotonic() - started
            for driver in drivers:
                driver.cancel()
            await asyncio.gather(*drivers, return_exceptions=True)
        return elapsed


async def _drive(
    session: aiohttp.ClientSession,
    cluster: harness.Cluster,
    leaf: index.Leaf,
    shard: int,
    number: int,
) -> None:
    """Keeps one call open while the leaf bears more than `number` calls."""
    sent = 0
    while True:
        records = await cluster.leaf_records(calls=False)
        if records[leaf.leaf_id]["bound"] <= number:
            await asyncio.sleep(0.01)
            continue
        sent += 1
        async with session.post(
            f"http://{leaf.address}/v1/query",
            json={
                "request_id": f"direct-{number}-{sent}",
                "service": "almanac",
                "index_version": "v1",
                "deadline_unix_ms": int(time.time() * 1000) + 2000,
                "items": [{"id": "0", "shard": shard, "query": 0}],
            },
        ) as response:
            await response.read()


async def _under_load(variant: common.Variant) -> dict[str, Any]:
    async with common.running(_DEPLOYMENT, variant) as cluster:
        leaf = _leaf_of(cluster)
        running = asyncio.create_task(
            common.search_load(
                cluster,
                [load.Target("almanac", deadline_ms=_QUERY_DEADLINE_MS)],
                _RATE,
                _DURATION_S,
            )
        )
        await asyncio.sleep(_RESTART_AT_S)
        await cluster.make_leafs_cold({"leaf": leaf.leaf_id}, restart=True)
        warm_s = await _until_warm(cluster, leaf.leaf_id)
        report = await running
        return {"warm_s": warm_s, "report": report}


async def main() -> None:
    """Runs the experiment and saves the result."""
    own = await _own_warmup_s()
    result_by_name = {
        "system": await _under_load(common.SYSTEM),
        "baseline": await _under_load(common.baseline(_SLOTS, 1)),
    }
    rows: list[tuple[object, ...]] = [
        (
            "variant",
            "above cold bound",
            "collapses",
            "full load after s",
            "to own warm-up",
            "refused",
            "p99 ms",
        )
    ]
    for name, result in result_by_name.items():
        report = result["report"]
        rows.append(
            (
                name,
                report["leafs"]["calls_above_cold_bound"],
                report["leafs"]["collapses"],
                f"{result['warm_s']:.2f}",
                f"{result['warm_s'] / own:.2f}",
                report["all"]["sent"] - report["all"]["answered"],
                report["all"]["latency"]["p99_ms"],
            )
        )
    print(f"own warm-up of the leaf: {own:.2f} s")
    common.print_table(rows)
    common.save("cold_start", {"own_warmup_s": own, "results": result_by_name})
    common.bar_plot(
        "cold_start",
        "time to full load after a cold restart",
        "s",
        {"leaf alone": own}
        | {name: r["warm_s"] for name, r in result_by_name.items()},
    )


if __name__ == "__main__":
    asyncio.run(main())
