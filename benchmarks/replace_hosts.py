"""All hosts of a deployment are replaced one by one under load.

Target: 0 requests lost or doubled. Searches and dispatches run at the same
time; leaf records tell what ran.
"""

import asyncio
import dataclasses
from typing import Any

import common

from sassafrashold import load
from sassafrashold.standins import deployment as deployment_lib
from sassafrashold.standins import harness

_SEARCH_RATE = 30.0
_DISPATCH_RATE = 10.0

_DEPLOYMENT = dataclasses.replace(
    deployment_lib.SMALL,
    name="replace",
    zones=(
        deployment_lib.Zone("north", 2),
        deployment_lib.Zone("east", 2),
        deployment_lib.Zone("south", 2),
    ),
)


async def _replace_all(
    cluster: harness.Cluster, stopping: asyncio.Event
) -> None:
    try:
        for host in cluster.deployment.hosts:
            await cluster.replace_host(host.name)
    finally:
        stopping.set()


async def main() -> None:
    """Runs the experiment and saves the result."""
    stopping = asyncio.Event()
    async with common.running(_DEPLOYMENT, common.SYSTEM) as cluster:
        plan: dict[str, Any] = {
            "entries": common.entries_of(cluster),
            "duration_s": 300.0,
        }
        admins = tuple(cluster.leaf_admins)
        searches = asyncio.create_task(
            load.run_searches(
                load.SearchPlan(
                    targets=(load.Target("almanac"),),
                    rate=_SEARCH_RATE,
                    **plan,
                ),
                stopping,
            )
        )
        dispatches = asyncio.create_task(
            load.run_dispatches(
                load.DispatchPlan(
                    services=("guichet",),
                    rate=_DISPATCH_RATE,
                    leaf_admins=admins,
                    **plan,
                ),
                stopping,
            )
        )
        await asyncio.sleep(3)
        await _replace_all(cluster, stopping)
        search_report, dispatch_report = await asyncio.gather(
            searches, dispatches
        )
        records = await cluster.leaf_records(calls=False)
    over = sum(
        record["counters"].get("over_limit_calls", 0)
        for record in records.values()
    )
    print(load.format_report(search_report))
    print(load.format_report(dispatch_report))
    print(f"leaf calls over the slot limit: {over}")
    common.save(
        "replace_hosts",
        {
            "over_limit_calls": over,
            "search": search_report,
            "dispatch": dispatch_report,
        },
    )


if __name__ == "__main__":
    asyncio.run(main())
