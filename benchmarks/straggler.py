"""A straggler among 20 shards: system, baseline and oracle side by side.

The oracle always picks the faster replica: the straggler's host is marked out,
so it gets no sub-query at all. Target: p99 at most 1.25 times the oracle's and
at least 3 times better than the baseline's; extra leaf calls at most 5%.
"""

import asyncio
from typing import Any

import common

from sassafrashold import load
from sassafrashold import table
from sassafrashold.standins import deployment as deployment_lib

_SHARDS = 20
_SLOTS = 3
_RATE = 20.0
_DURATION_S = 30.0
_WARMUP_S = 8.0
_FACTOR = 10.0

_DEPLOYMENT = deployment_lib.Deployment(
    name="straggler",
    zones=(
        deployment_lib.Zone("luzon-a", 1, upstream_hosts=20),
        deployment_lib.Zone("visayas-a", 1, upstream_hosts=20),
    ),
    groups=(
        deployment_lib.ServiceGroup(
            name="almanac",
            leafs=_SHARDS,
            shards=_SHARDS,
            slots=_SLOTS,
            connections=30,
            connect_ms=6,
            cells={"deadline_ms": "2000"},
            profile={"cold_at_start": False},
        ),
    ),
    versions=("v1",),
    leaf_processes=2,
)


async def _run(
    variant: common.Variant, straggler: bool, oracle: bool = False
) -> dict[str, Any]:
    async with common.running(_DEPLOYMENT, variant) as cluster:
        leaf = next(iter(cluster.deployment.shardmaps[0].leaf_by_id.values()))
        if straggler:
            await cluster.set_leaf_faults(
                {"leaf": leaf.leaf_id}, straggle_factor=_FACTOR
            )
        if oracle:
            await common.edit(cluster, table.Mark("hosts", leaf.host, True))
        await asyncio.sleep(4)
        return await common.search_load(
            cluster,
            [load.Target("almanac")],
            _RATE,
            _DURATION_S,
            warmup_s=_WARMUP_S,
        )


async def main() -> None:
    """Runs all variants and saves the result."""
    baseline = common.baseline(_SLOTS, 2)
    report_by_name = {
        "system, no straggler": await _run(common.SYSTEM, False),
        "system": await _run(common.SYSTEM, True),
        "oracle": await _run(common.SYSTEM, True, oracle=True),
        "baseline": await _run(baseline, True),
    }
    rows: list[tuple[object, ...]] = [
        ("variant", "p50 ms", "p99 ms", "coverage", "extra leaf items %")
    ]
    p99_by_name = {}
    for name, report in report_by_name.items():
        latency = report["all"]["latency"]
        p99_by_name[name] = latency["p99_ms"]
        rows.append(
            (
                name,
                latency["p50_ms"],
                latency["p99_ms"],
                report["all"]["coverage"],
                report["leafs"]["extra_percent"],
            )
        )
    common.print_table(rows)
    ratios = {
        "p99_to_oracle": p99_by_name["system"] / p99_by_name["oracle"],
        "baseline_to_system": p99_by_name["baseline"] / p99_by_name["system"],
    }
    print(ratios)
    common.save("straggler", {"ratios": ratios, "reports": report_by_name})
    common.bar_plot(
        "straggler", "p99 with a straggler among 20 shards", "ms", p99_by_name
    )


if __name__ == "__main__":
    asyncio.run(main())
