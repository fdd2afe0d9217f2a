"""Goodput at 2 and 4 times capacity, with priority classes.

The leafs' time grows with each item of a batch, so batches add no capacity.
Capacity is the best goodput of the system around the nominal rate. A quarter of
the load is in the priority class. Target: goodput at least 90% of capacity; no
priority lookup late (or refused) that capacity could serve.
"""

import asyncio
from typing import Any

import common

from sassafrashold import load
from sassafrashold.standins import deployment as deployment_lib

_SLOTS = 2
_SERVICE_MS = 20.0
_SHARDS = 3
_LEAFS = 6
_DEADLINE_MS = 1000
_DURATION_S = 15.0
_WARMUP_S = 5.0
_PRIORITY_SHARE = 0.25

# Mean of the log-normal service time with sigma 0.4.
_MEAN_MS = _SERVICE_MS * 1.083
_NOMINAL = _LEAFS * _SLOTS * 1000 / _MEAN_MS / _SHARDS

_DEPLOYMENT = deployment_lib.Deployment(
    name="overload",
    zones=(
        deployment_lib.Zone("luzon-a", 2),
        deployment_lib.Zone("visayas-a", 2),
    ),
    groups=(
        deployment_lib.ServiceGroup(
            name="almanac",
            leafs=_LEAFS,
            shards=_SHARDS,
            slots=_SLOTS,
            connections=30,
            connect_ms=6,
            cells={
                "deadline_ms": str(_DEADLINE_MS),
                "priority_class": "almanac",
                "priority_share": "60",
                "priority_floor_percent": "50",
                "allow_partial": "no",
            },
            profile={
                "service_ms": _SERVICE_MS,
                "item_ms": _SERVICE_MS,
                "cold_at_start": False,
            },
        ),
        deployment_lib.ServiceGroup(
            name="records",
            leafs=2,
            shards=1,
            slots=_SLOTS,
            connections=30,
            connect_ms=1,
            cells={"priority_class": "archive", "priority_share": "5"},
            profile={"cold_at_start": False},
        ),
    ),
    versions=("v1",),
)

_TARGETS = (
    load.Target("almanac", _PRIORITY_SHARE, "almanac"),
    load.Target("almanac", 1 - _PRIORITY_SHARE, "archive"),
)


async def _run(variant: common.Variant, factor: float) -> dict[str, Any]:
    async with common.running(_DEPLOYMENT, variant) as cluster:
        return await common.search_load(
            cluster,
            _TARGETS,
            _NOMINAL * factor,
            _DURATION_S,
            warmup_s=_WARMUP_S,
        )


def _goodput(report: dict[str, Any], part: str | None = None) -> float:
    """Returns the answers per second that came within the deadline."""
    figures = report["by_class"][part] if part else report["all"]
    return float(figures["answered"] / (_DURATION_S - _WARMUP_S))


async def main() -> None:
    """Runs all rates and saves the result."""
    rows: list[tuple[object, ...]] = [
        (
            "variant",
            "offered",
            "goodput/s",
            "priority ok",
            "priority p99 ms",
            "over slots",
        )
    ]
    reports: dict[str, Any] = {}
    goodput: dict[str, float] = {}
    baseline = common.baseline(_SLOTS, 2)
    for variant, factor in (
        (common.SYSTEM, 0.8),
        (common.SYSTEM, 1.0),
        (common.SYSTEM, 2.0),
        (common.SYSTEM, 4.0),
        (baseline, 1.0),
        (baseline, 2.0),
        (baseline, 4.0),
    ):
        report = await _run(variant, factor)
        name = f"{variant.name} {factor:g}x"
        reports[name] = report
        goodput[name] = _goodput(report)
        priority = report["by_class"]["almanac"]
        rows.append(
            (
                variant.name,
                f"{factor:g}x",
                f"{goodput[name]:.1f}",
                f"{priority['answered']}/{priority['sent']}",
                priority["latency"].get("p99_ms"),
                report["leafs"]["over_limit_calls"],
            )
        )
    common.print_table(rows)
    capacity = max(goodput["system 0.8x"], goodput["system 1x"])
    ratios = {
        "nominal_rate": _NOMINAL,
        "capacity": capacity,
        "goodput_2x": goodput["system 2x"] / capacity,
        "goodput_4x": goodput["system 4x"] / capacity,
    }
    print(ratios)
    common.save(
        "overload", {"ratios": ratios, "goodput": goodput, "reports": reports}
    )
    common.bar_plot("overload", "goodput by offered load", "per s", goodput)


if __name__ == "__main__":
    asyncio.run(main())
