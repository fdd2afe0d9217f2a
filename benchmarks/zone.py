"""A zone is taken out and brought back under load.

Target: new work stops within 4 s, 0 requests lost, p99 in the other zones at
most 1.5 times its usual value.
"""

import asyncio
import time
from typing import Any

import common

from sassafrashold import load
from sassafrashold import table
from sassafrashold.standins import deployment as deployment_lib
from sassafrashold.standins import harness

_ZONE = "kaolack-centre"
_RATE = 60.0
_PHASE_S = 12.0

_DEPLOYMENT = deployment_lib.Deployment(
    name="zone",
    zones=(
        deployment_lib.Zone("thies-nord", 1),
        deployment_lib.Zone("dakar-pikine", 1),
        deployment_lib.Zone(_ZONE, 1),
    ),
    groups=(
        deployment_lib.ServiceGroup(
            name="guichet",
            leafs=6,
            shards=3,
            slots=3,
            connections=30,
            connect_ms=6,
            cells={"deadline_ms": "1000"},
            profile={"cold_at_start": False},
        ),
    ),
    versions=("v1",),
)


async def _load(cluster: harness.Cluster, seed: int) -> dict[str, Any]:
    return await common.search_load(
        cluster, [load.Target("guichet")], _RATE, _PHASE_S, seed=seed
    )


async def _starts_in_zone(cluster: harness.Cluster) -> list[float]:
    """Returns the start times of leaf calls in the zone, in Unix ms."""
    records = await cluster.leaf_records()
    return [
        call["start_ms"]
        for record in records.values()
        if record["zone"] == _ZONE
        for call in record["calls"]
    ]


async def main() -> None:
    """Runs the phases and saves the result."""
    async with common.running(_DEPLOYMENT, common.SYSTEM) as cluster:
        await _load(cluster, 0)
        usual = await _load(cluster, 1)
        running = asyncio.create_task(_load(cluster, 2))
        await asyncio.sleep(3)
        await common.edit(cluster, table.Mark("zones", _ZONE, True))
        accepted_ms = time.time() * 1000
        out = await running
        starts = [t for t in await _starts_in_zone(cluster) if t > accepted_ms]
        stopped_s = (max(starts) - accepted_ms) / 1000 if starts else 0.0
        running = asyncio.create_task(_load(cluster, 3))
        await asyncio.sleep(3)
        await common.edit(cluster, table.Mark("zones", _ZONE, False))
        back = await running
    phases = {"usual": usual, "out": out, "back": back}
    rows: list[tuple[object, ...]] = [
        ("phase", "sent", "answered", "coverage", "p99 ms", "above cold bound")
    ]
    for name, report in phases.items():
        rows.append(
            (
                name,
                report["all"]["sent"],
                report["all"]["answered"],
                report["all"]["coverage"],
                report["all"]["latency"]["p99_ms"],
                report["leafs"]["calls_above_cold_bound"],
            )
        )
    common.print_table(rows)
    p99 = {name: r["all"]["latency"]["p99_ms"] for name, r in phases.items()}
    ratios = {
        "last_new_work_after_s": stopped_s,
        "p99_out_to_usual": p99["out"] / p99["usual"],
        "p99_back_to_usual": p99["back"] / p99["usual"],
    }
    print(ratios)
    common.save("zone", {"ratios": ratios, "reports": phases})
    common.bar_plot("zone", "p99 while a zone leaves and returns", "ms", p99)


if __name__ == "__main__":
    asyncio.run(main())
