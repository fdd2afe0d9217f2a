"""What the system adds to direct calls to a leaf, and what it costs.

Latency of one sub-query: direct to the leaf, and through entry and owner. Core
time per query and per leaf call at each hop. Leafs answer in 1 ms, so that the
share of the system is visible.
"""

import asyncio
import time
from typing import Any

import aiohttp
import common

from sassafrashold import load
from sassafrashold.load import _figures as figures
from sassafrashold.standins import deployment as deployment_lib
from sassafrashold.standins import harness

# Low enough that the stand-in of the leafs is not what is measured.
_RATE_BY_SHARDS = {1: 100.0, 10: 20.0}
_DIRECT_RATE = 100.0
_DURATION_S = 12.0


def _deployment(shards: int) -> deployment_lib.Deployment:
    return deployment_lib.Deployment(
        name="overhead",
        zones=(deployment_lib.Zone("luzon-a", 1),),
        groups=(
            deployment_lib.ServiceGroup(
                name="almanac",
                leafs=shards,
                shards=shards,
                replicas=1,
                slots=3,
                connections=30,
                connect_ms=1,
                profile={
                    "cold_at_start": False,
                    "service_ms": 1.0,
                    "service_sigma": 0.01,
                },
            ),
        ),
        versions=("v1",),
    )


async def _direct(cluster: harness.Cluster) -> dict[str, Any]:
    """Calls the first leaf at the same rate over kept-open connections."""
    leaf = next(iter(cluster.deployment.shardmaps[0].leaf_by_id.values()))
    latency = figures.Latency()
    async with aiohttp.ClientSession() as session:

        async def call(number: int) -> None:
            started = time.monotonic()
            async with session.post(
                f"http://{leaf.address}/v1/query",
                json={
                    "request_id": f"direct-{number}",
                    "service": "almanac",
                    "index_version": "v1",
                    "deadline_unix_ms": int(time.time() * 1000) + 1000,
                    "items": [{"id": "0", "shard": 0, "query": number}],
                },
            ) as response:
                await response.read()
            latency.add(time.monotonic() - started)

        for number in range(300):
            await call(number)
            await asyncio.sleep(1 / _DIRECT_RATE)
    return latency.figures()


async def _measure(shards: int, rate: float) -> dict[str, Any]:
    async with common.running(_deployment(shards), common.SYSTEM) as cluster:
        targets = [load.Target("almanac")]
        direct = await _direct(cluster)
        await common.search_load(cluster, targets, rate, 3)
        before = {
            kind: common.core_seconds(cluster, kind)
            for kind in ("entry", "owner", "control")
        }
        report = await common.search_load(
            cluster, targets, rate, _DURATION_S, seed=2
        )
        queries = report["all"]["answered"]
        core_us = {
            kind: (common.core_seconds(cluster, kind) - used) / queries * 1e6
            for kind, used in before.items()
        }
        return {
            "shards": shards,
            "direct": direct,
            "through": report["all"]["latency"],
            "core_us_per_query": core_us,
            "leaf_calls": report["leafs"]["calls"],
            "leaf_items": report["leafs"]["items"],
            "queries": queries,
        }


async def main() -> None:
    """Runs both fan-outs and saves the result."""
    results = [
        await _measure(shards, rate) for shards, rate in _RATE_BY_SHARDS.items()
    ]
    rows: list[tuple[object, ...]] = [
        (
            "shards",
            "direct p50/p99 ms",
            "through p50/p99 ms",
            "entry us/query",
            "owner us/query",
            "owner us/leaf call",
        )
    ]
    for result in results:
        direct, through = result["direct"], result["through"]
        core = result["core_us_per_query"]
        calls = result["leaf_calls"] / result["queries"]
        rows.append(
            (
                result["shards"],
                f"{direct['p50_ms']}/{direct['p99_ms']}",
                f"{through['p50_ms']}/{through['p99_ms']}",
                f"{core['entry']:.0f}",
                f"{core['owner']:.0f}",
                f"{core['owner'] / calls:.0f}",
            )
        )
    common.print_table(rows)
    common.save("overhead", {"results": results})


if __name__ == "__main__":
    asyncio.run(main())
