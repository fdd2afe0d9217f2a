"""Cost of the data path by shards per query and by owners per query.

Fits core time of entry and owner against the number of shards with one owner,
and against the number of owners with a fixed number of shards, for both ways
of sending (`direct`: a message for each owner, `zone`: one for the zone).
"""

import asyncio
from typing import Any

import common
import numpy as np
import psutil

from sassafrashold import load
from sassafrashold.standins import deployment as deployment_lib

_LEAFS = 20
_RATE_BY_SHARDS = {10: 60.0, 40: 25.0, 160: 7.0, 640: 2.0}
_RATE_BY_OWNERS = {1: 10.0, 2: 10.0, 4: 10.0, 8: 10.0}
_SHARDS_BY_OWNERS = 160
_DURATION_S = 10.0
_WARMUP_S = 3.0


def _deployment(
    shards: int, hosts: int, combine: str
) -> deployment_lib.Deployment:
    return deployment_lib.Deployment(
        name="data",
        zones=(deployment_lib.Zone("luzon-a", hosts),),
        groups=(
            deployment_lib.ServiceGroup(
                name="almanac",
                leafs=_LEAFS,
                shards=shards,
                replicas=1,
                slots=3,
                connections=30,
                connect_ms=1,
                cells={"deadline_ms": "5000", "queue_limit": "10000"},
                profile={
                    "cold_at_start": False,
                    "service_ms": 2.0,
                    "item_ms": 0.1,
                    "rows_per_shard": 1,
                },
            ),
        ),
        versions=("v1",),
        leaf_processes=1,
        entry_options={"combine": combine},
    )


async def _measure(
    shards: int, hosts: int, rate: float, combine: str
) -> dict[str, Any]:
    async with common.running(
        _deployment(shards, hosts, combine), common.SYSTEM
    ) as cluster:
        targets = [load.Target("almanac")]
        await common.search_load(cluster, targets, rate, _WARMUP_S)
        before = {
            kind: common.core_seconds(cluster, kind)
            for kind in ("entry", "owner")
        }
        report = await common.search_load(
            cluster, targets, rate, _DURATION_S, seed=2
        )
        queries = report["all"]["answered"]
        core = {
            f"{kind}_us_per_query": 1e6
            * (common.core_seconds(cluster, kind) - used)
            / queries
            for kind, used in before.items()
        }
        resident = {
            f"{kind}_rss_mb": max(
                psutil.Process(process.pid).memory_info().rss / 2**20
                for name, process in cluster.process_by_name.items()
                if name.endswith(kind)
            )
            for kind in ("entry", "owner")
        }
        return {
            "shards": shards,
            "owners": hosts,
            "combine": combine,
            "queries": queries,
            "coverage": report["all"]["coverage"],
            "p50_ms": report["all"]["latency"]["p50_ms"],
            "p99_ms": report["all"]["latency"]["p99_ms"],
            "leaf_calls_per_query": report["leafs"]["calls"] / queries,
            "items_per_call": report["leafs"]["items"]
            / report["leafs"]["calls"],
            **core,
            **resident,
        }


def _fit(results: list[dict[str, Any]], size: str, key: str) -> dict[str, Any]:
    sizes = np.array([float(r[size]) for r in results])
    values = np.array([float(r[key]) for r in results])
    slope, base = np.polyfit(sizes, values, 1)
    error = float(np.sqrt(np.mean((slope * sizes + base - values) ** 2)))
    fit = {"base": float(base), "slope": float(slope), "rms_error": error}
    print(f"{key} = {base:.1f} + {slope:.2f} * {size}, rms {error:.1f}")
    return fit


def _table(results: list[dict[str, Any]]) -> None:
    keys = list(results[0])
    rows = [
        tuple(f"{r[k]:.2f}" if isinstance(r[k], float) else r[k] for k in keys)
        for r in results
    ]
    common.print_table([tuple(keys), *rows])


async def main() -> None:
    """Measures, fits and saves."""
    by_shards = [
        await _measure(shards, 1, rate, "direct")
        for shards, rate in _RATE_BY_SHARDS.items()
    ]
    _table(by_shards)
    fits: dict[str, Any] = {
        f"{kind} by shards": _fit(by_shards, "shards", f"{kind}_us_per_query")
        for kind in ("entry", "owner")
    }
    by_owners: dict[str, list[dict[str, Any]]] = {}
    for combine in ("direct", "zone"):
        results = [
            await _measure(_SHARDS_BY_OWNERS, owners, rate, combine)
            for owners, rate in _RATE_BY_OWNERS.items()
        ]
        _table(results)
        by_owners[combine] = results
        for kind in ("entry", "owner"):
            fits[f"{kind} by owners, {combine}"] = _fit(
                results, "owners", f"{kind}_us_per_query"
            )
    common.save(
        "data_slopes",
        {"by_shards": by_shards, "by_owners": by_owners, "fits": fits},
    )


if __name__ == "__main__":
    asyncio.run(main())
