"""Fixtures that start whole deployments as processes."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import pathlib
from typing import Any

import aiohttp
import pytest
import pytest_asyncio

from sassafrashold import clock as clock_lib
from sassafrashold import load
from sassafrashold import table as table_lib
from sassafrashold.standins import deployment as deployment_lib
from sassafrashold.standins import harness
from sassafrashold.store import http

StartDeployment = Callable[..., Awaitable[harness.Cluster]]

# Calls are long and slots few, so that the load keeps the slots busy.
_PROOF = deployment_lib.Deployment(
    name="proof",
    zones=(deployment_lib.Zone("east", 2), deployment_lib.Zone("west", 2)),
    groups=tuple(
        deployment_lib.ServiceGroup(
            name=name,
            leafs=4,
            shards=4,
            slots=slots,
            connections=slots + 4,
            connect_ms=1,
            cells={"kind": "both", "deadline_ms": "3000"},
            profile={"service_ms": 20.0},
        )
        for name, slots in (("almanac", 3), ("guichet", 2))
    ),
    proxied=True,
    with_table=True,
)
_SETTLE_TIMEOUT_S = 60.0
_NO_PLATFORM_FAULTS: dict[str, Any] = {
    "down": None,
    "slow_ms": 0,
    "slow_jitter_ms": 0,
    "stale_ms": 0,
    "stale_percent": 100,
    "lost_answer_percent": 0,
    "lost_request_percent": 0,
    "lost_delay_ms": 0,
    "key_prefix": "",
}
_NO_LINK_FAULTS: dict[str, Any] = {
    "delay_ms": 0,
    "jitter_ms": 0,
    "cut": "none",
    "refuse": False,
    "trickle_bytes_per_second": 0,
    "duplicate_percent": 0,
    "late_percent": 0,
    "late_ms": 0,
}
_NO_LEAF_FAULTS: dict[str, Any] = {
    "extra_ms": 0,
    "fail_percent": 0,
    "lost_percent": 0,
    "draining": False,
    "hang": False,
    "unreachable": False,
    "answered_version": None,
}


class Proof:
    """A running deployment with what the proofs ask of it."""

    services = ("almanac", "guichet")

    def __init__(self, cluster: harness.Cluster) -> None:
        self.cluster = cluster
        self.deployment = cluster.deployment
        self.hosts = [host.name for host in self.deployment.hosts]
        self.entries = tuple(
            load.Entry(host.zone, host.entry_http)
            for host in self.deployment.hosts
        )

    def members_of(self, zone: str) -> list[str]:
        """Returns the hosts that belong to a zone."""
        return [h.name for h in self.deployment.hosts if h.zone == zone]

    async def facts(self, host: str) -> list[dict[str, Any]]:
        """Returns the status facts of a host; empty if it does not answer."""
        address = self.deployment.host_by_name[host].entry_http
        try:
            return list(await self.cluster.get(address, "/v1/status"))
        except (aiohttp.ClientError, TimeoutError):
            return []

    async def stored(self, key: str) -> Any:
        """Returns a JSON object of the store."""
        url = f"http://{self.deployment.platform}/v1/objects/{key}"
        async with self.cluster.session.get(url) as response:
            return await response.json(content_type=None)

    async def stored_members(self, zone: str) -> list[str]:
        """Returns the members of the zone lease in the store."""
        document = await self.stored(f"leases/{zone}")
        return sorted(member["host"] for member in document["members"])

    async def edit(self, change: table_lib.Change) -> table_lib.Accepted:
        """Makes an edit as an operator does."""
        clock = clock_lib.SystemClock()
        client = http.HttpPlatform(self.deployment.platform, clock)
        try:
            return await table_lib.Editor(client, clock).apply(
                change, who="test", note=""
            )
        finally:
            await client.close()

    async def is_settled(self) -> bool:
        """Returns whether all hosts own their parts and serve in full."""
        for zone in self.deployment.zones:
            members = await self.stored_members(zone.name)
            if members != self.members_of(zone.name):
                return False
        for host in self.hosts:
            facts = await self.facts(host)
            if not facts or any(
                (fact["name"] == "unreleased_owners" and fact["value"])
                or (fact["name"] == "status" and fact["value"] is None)
                or (fact["name"] == "lease_evidence" and not fact["value"])
                for fact in facts
            ):
                return False
            for service in self.services:
                status, answer = await self.cluster.search(
                    host, service, {"settled": host}, allow_partial=True
                )
                if status != 200 or answer["partial"]:
                    return False
        return True

    async def heal(self) -> None:
        """Ends all faults and waits until the deployment serves in full."""
        for process in self.cluster.process_by_name.values():
            process.resume()
        await self.cluster.set_platform_faults(**_NO_PLATFORM_FAULTS)
        await self.cluster.set_proxy_faults("", **_NO_LINK_FAULTS)
        await self.cluster.set_leaf_faults({}, **_NO_LEAF_FAULTS)
        for host in self.hosts:
            self.cluster.start_host(host)
        await self.cluster.hosts_ready(self.hosts)
        await harness.until(
            self.is_settled, "the deployment has settled", _SETTLE_TIMEOUT_S
        )

    @contextlib.asynccontextmanager
    async def searching(
        self, rate: float = 100, allow_partial: bool = True
    ) -> AsyncIterator[dict[str, Any]]:
        """Keeps up a load of searches; fills the report at the end."""
        stopping = asyncio.Event()
        plan = load.SearchPlan(
            entries=self.entries,
            targets=tuple(
                load.Target(service, allow_partial=allow_partial)
                for service in self.services
            ),
            rate=rate,
            duration_s=120,
            leaf_admins=tuple(self.cluster.leaf_admins),
        )
        task = asyncio.create_task(load.run_searches(plan, stopping))
        report: dict[str, Any] = {}
        try:
            await self.until_calls(20)
            yield report
        finally:
            stopping.set()
            report |= await task

    async def calls(self) -> int:
        """Returns the number of leaf calls in the records."""
        records = await self.cluster.leaf_records(calls=False)
        return sum(r["counters"].get("calls", 0) for r in records.values())

    async def until_calls(self, more: int) -> None:
        """Waits for a number of further leaf calls."""
        before = await self.calls()

        async def made() -> bool:
            count = await self.calls()
            # The load clears the records when it starts.
            return count >= before + more or more <= count < before

        await harness.until(made, f"{more} more leaf calls", 30)

    async def limit_faults(self) -> dict[str, Any]:
        """Returns what leafs recorded beyond their limits; empty if none."""
        records = await self.cluster.leaf_records()
        faults: dict[str, Any] = {}
        for leaf_id, record in records.items():
            counters = record["counters"]
            found = {
                name: counters[name]
                for name in (
                    "over_limit_calls",
                    "refused_connections",
                    "calls_above_cold_bound_after_notice",
                )
                if counters.get(name)
            }
            if counters.get("max_at_once", 0) > record["slots"]:
                found["max_at_once"] = counters["max_at_once"]
            if found:
                faults[leaf_id] = found | {"events": record["over_limit"][:2]}
        return faults


@pytest_asyncio.fixture(scope="session", loop_scope="session")
async def proof_deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[Proof]:
    """Runs one deployment for all tests that use it."""
    directory = tmp_path_factory.mktemp("proof")
    async with harness.running(
        _PROOF, directory, graceful_end=False
    ) as cluster:
        yield Proof(cluster)


@pytest_asyncio.fixture(loop_scope="session")
async def proof(proof_deployment: Proof) -> Proof:
    """Returns the shared deployment without faults."""
    await proof_deployment.heal()
    return proof_deployment


@pytest.fixture
async def start_deployment(
    tmp_path: pathlib.Path,
) -> AsyncIterator[StartDeployment]:
    """Yields a coroutine function that starts a deployment.

    Its keywords replace fields of the small deployment (or of `base`); the
    table is among the initial objects. The call returns when every entry is
    ready. All processes end with the test.
    """
    async with contextlib.AsyncExitStack() as stack:

        async def start(
            base: deployment_lib.Deployment = deployment_lib.SMALL,
            **changes: Any,
        ) -> harness.Cluster:
            made = dataclasses.replace(base, **({"with_table": True} | changes))
            return await stack.enter_async_context(
                harness.running(made, tmp_path, graceful_end=False)
            )

        yield start


@pytest.fixture
async def cluster(start_deployment: StartDeployment) -> harness.Cluster:
    """Returns the running small deployment."""
    return await start_deployment()
