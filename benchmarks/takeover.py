"""How long the leafs of a failed host are without an owner.

One zone with two hosts and no replicas elsewhere, the worst case: one host is
killed, paused, or leaves. Measured at the other host: the longest time without
a complete answer.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Any

import common

from sassafrashold.standins import deployment as deployment_lib
from sassafrashold.standins import harness

_WATCH_S = 40.0
_SETTLE_S = 4.0
_QUERY_DEADLINE_MS = 200
_PAUSE_S = 0.02

_DEPLOYMENT = deployment_lib.Deployment(
    name="takeover",
    zones=(deployment_lib.Zone("luzon-a", 2),),
    groups=(
        deployment_lib.ServiceGroup(
            name="almanac",
            leafs=4,
            shards=4,
            replicas=1,
            slots=3,
            connections=30,
            connect_ms=6,
            profile={"cold_at_start": False},
        ),
    ),
    versions=("v1",),
)

_Fault = Callable[[harness.Cluster, str], Awaitable[Any]]


async def _kill(cluster: harness.Cluster, host: str) -> None:
    for process in cluster.host(host):
        process.kill()


async def _pause(cluster: harness.Cluster, host: str) -> None:
    for process in cluster.host(host):
        process.pause()


async def _leave(cluster: harness.Cluster, host: str) -> None:
    await cluster.stop_host(host)


async def _longest_gap_s(fault: _Fault) -> float:
    async with common.running(_DEPLOYMENT, common.SYSTEM) as cluster:
        first, second = (host.name for host in cluster.deployment.hosts)
        await asyncio.sleep(_SETTLE_S)
        started = time.monotonic()
        failing = asyncio.create_task(fault(cluster, first))
        longest = 0.0
        last_complete = started
        while time.monotonic() - started < _WATCH_S:
            status, answer = await cluster.search(
                second,
                "almanac",
                "gap",
                allow_partial=True,
                deadline_ms=_QUERY_DEADLINE_MS,
            )
            now = time.monotonic()
            if status == 200 and not answer["partial"]:
                longest = max(longest, now - last_complete)
                last_complete = now
            await asyncio.sleep(_PAUSE_S)
        await failing
        if last_complete < started + _WATCH_S / 2:
            return float("inf")
        return longest


async def main() -> None:
    """Runs the three cases and saves the result."""
    faults: dict[str, _Fault] = {
        "killed": _kill,
        "paused": _pause,
        "left by SIGTERM": _leave,
    }
    gaps = {name: await _longest_gap_s(f) for name, f in faults.items()}
    common.print_table(
        [("host", "longest time without a complete answer, s")]
        + [(name, f"{gap:.2f}") for name, gap in gaps.items()]
    )
    common.save("takeover", {"gap_s": gaps})


if __name__ == "__main__":
    asyncio.run(main())
