"""What the records of the leaf stand-ins say about a load."""

import asyncio
import collections
from collections.abc import Iterable
from typing import Any

import aiohttp

from sassafrashold import settings

_SUMMED = (
    "calls",
    "items",
    "over_limit_calls",
    "calls_above_cold_bound",
    "calls_above_cold_bound_after_notice",
    "collapses",
    "refused_connections",
    "refused_SHED",
    "refused_EXPIRED",
    "refused_DRAINING",
    "refused_VERSION_GONE",
    "ended_cancelled",
    "ended_timed_out",
    "ended_failed",
)


async def reset(
    session: aiohttp.ClientSession, admins: Iterable[settings.Address]
) -> None:
    """Clears the records."""
    for admin in admins:
        async with session.post(f"http://{admin}/admin/reset") as response:
            response.raise_for_status()


async def fetch(
    session: aiohttp.ClientSession,
    admins: Iterable[settings.Address],
    with_calls: bool,
) -> dict[str, Any]:
    """Returns the record of each leaf by leaf id."""
    calls = "yes" if with_calls else "no"

    async def fetch_one(admin: settings.Address) -> dict[str, Any]:
        url = f"http://{admin}/admin/record?calls={calls}"
        async with session.get(url) as response:
            response.raise_for_status()
            leafs: dict[str, Any] = (await response.json())["leafs"]
            return leafs

    records: dict[str, Any] = {}
    for leafs in await asyncio.gather(*map(fetch_one, admins)):
        records |= leafs
    return records


def summarize(records: dict[str, Any]) -> dict[str, Any]:
    """Sums the counters of all leafs."""
    total: collections.Counter[str] = collections.Counter()
    over_slots = 0
    for record in records.values():
        total.update(record["counters"])
        over_slots += record["counters"].get("max_at_once", 0) > record["slots"]
    figures: dict[str, Any] = {name: total[name] for name in _SUMMED}
    figures["leafs_that_ran_above_their_slots"] = over_slots
    return figures


def runs_by_key(records: dict[str, Any]) -> collections.Counter[str]:
    """Counts the runs of each idempotency key over all leafs."""
    return collections.Counter(
        call["idempotency_key"]
        for record in records.values()
        for call in record["calls"]
        if call["kind"] == "dispatch"
    )
