"""Time from the acceptance of an edit until it is in force on every host.

Normal, with the store slow, and with one zone cut off from the store, which
then gets the revision from other zones. Target: within 4 s.
"""

import asyncio
import dataclasses
import statistics
import time
from typing import Any

import common

from sassafrashold import table
from sassafrashold.standins import deployment as deployment_lib
from sassafrashold.standins import harness

_EDITS = 12
_POLL_S = 0.02
_GIVE_UP_S = 20.0
_SLOW_MS = 300.0

_DEPLOYMENT = dataclasses.replace(
    deployment_lib.SMALL,
    name="configuration",
    zones=(
        deployment_lib.Zone("north", 2),
        deployment_lib.Zone("east", 2),
        deployment_lib.Zone("south", 2),
    ),
    proxied=True,
)


async def _spread_s(cluster: harness.Cluster, number: int) -> float:
    """Makes an edit and returns the time until all hosts have it."""
    change = table.SetCells(
        "almanac", {"deadline_ms": str(1000 + number % 500)}
    )
    revision = await common.edit(cluster, change)
    started = time.monotonic()
    waiting = {host.name for host in cluster.deployment.hosts}
    while waiting:
        for host in sorted(waiting):
            if await common.revision_in_force(cluster, host) >= revision:
                waiting.discard(host)
        if time.monotonic() - started > _GIVE_UP_S:
            return float("inf")
        await asyncio.sleep(_POLL_S)
    return time.monotonic() - started


async def _measure(cluster: harness.Cluster, base: int) -> list[float]:
    return [await _spread_s(cluster, base + number) for number in range(_EDITS)]


async def main() -> None:
    """Runs the three cases and saves the result."""
    times: dict[str, list[float]] = {}
    async with common.running(_DEPLOYMENT, common.SYSTEM) as cluster:
        times["normal"] = await _measure(cluster, 0)
        await cluster.set_platform_faults(slow_ms=_SLOW_MS)
        times["store slow"] = await _measure(cluster, 100)
        await cluster.set_platform_faults(slow_ms=0.0)
        zone = cluster.deployment.zones[0].name
        await cluster.set_proxy_faults(f"platform/{zone}", cut="both")
        times["zone cut off"] = await _measure(cluster, 200)
    rows: list[tuple[object, ...]] = [("case", "median s", "max s")]
    summary: dict[str, Any] = {}
    for name, values in times.items():
        summary[name] = max(values)
        rows.append(
            (name, f"{statistics.median(values):.2f}", f"{max(values):.2f}")
        )
    common.print_table(rows)
    common.save("configuration", {"seconds": times})
    common.bar_plot("configuration", "edit in force on all hosts", "s", summary)


if __name__ == "__main__":
    asyncio.run(main())
