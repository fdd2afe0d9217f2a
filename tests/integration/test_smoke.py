"""Guards the whole path: caller, entry, owner, leaf, and back."""

import asyncio
import signal

from sassafrashold import load
from sassafrashold.standins import harness


async def _until_full(cluster, service):
    """Waits until each entry answers from all shards."""

    async def full():
        for host in cluster.deployment.hosts:
            status, answer = await cluster.search(host.name, service, {"q": 0})
            if status != 200 or answer["partial"]:
                return False
        return True

    await harness.until(full, f"{service} is served in full", 20)


async def test_search_is_answered_in_full_from_one_version(cluster):
    await _until_full(cluster, "records")
    for number, host in enumerate(cluster.deployment.hosts):
        query = {"text": f"query {number}"}
        status, answer = await cluster.search(host.name, "records", query)
        assert (status, answer["index_version"]) == (200, "v2")
        assert (answer["shards_asked"], answer["shards_answered"]) == (7, 7)
        assert load.check_answer("records", query, answer) == []


async def test_dispatch_runs_once(cluster):
    await _until_full(cluster, "guichet")
    for host in ("north-1", "east-1"):
        status, answer = await cluster.dispatch(
            host, "guichet", "key-1", {"order": 1}
        )
        assert (status, answer["result"]["idempotency_key"]) == (200, "key-1")
    runs = [
        call["idempotency_key"]
        for record in (await cluster.leaf_records()).values()
        for call in record["calls"]
        if call["kind"] == "dispatch"
    ]
    assert runs == ["key-1"]


async def test_sigterm_lets_searches_finish(cluster):
    await _until_full(cluster, "almanac")
    await cluster.set_leaf_faults({"service": "almanac"}, extra_ms=300)
    search = asyncio.create_task(
        cluster.search("north-1", "almanac", {"q": 1}, deadline_ms=2000)
    )

    async def running():
        records = await cluster.leaf_records(calls=False)
        return any(record["running"] for record in records.values())

    await harness.until(running, "a leaf call runs")
    for process in cluster.host("north-1"):
        process.send(signal.SIGTERM)
    status, answer = await search
    assert (status, answer["partial"]) == (200, False)
    codes = [await process.wait() for process in cluster.host("north-1")]
    assert codes == [0, 0, 0]


async def test_no_process_outlives_the_harness(start_deployment):
    cluster = await start_deployment()
    cluster.process_by_name["north-1/owner"].pause()
    await cluster.close()
    running = [
        process.name
        for process in cluster.process_by_name.values()
        if process.is_running
    ]
    assert running == []
