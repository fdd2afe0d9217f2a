"""Guards P9: hosts leave under load and cut off no request."""

import asyncio
import signal

import pytest

from sassafrashold import load
from sassafrashold.standins import harness

pytestmark = pytest.mark.asyncio(loop_scope="session")


async def test_sigterm_under_load_cuts_off_no_request(proof):
    """Requests that an entry has accepted are answered in full."""
    host = "east-1"
    await proof.cluster.set_leaf_faults({}, extra_ms=400)
    searches = [
        asyncio.create_task(
            proof.cluster.search(
                host, service, {"number": number}, deadline_ms=5000
            )
        )
        for number in range(3)
        for service in proof.services
    ]
    dispatches = [
        asyncio.create_task(
            proof.cluster.dispatch(
                host, "guichet", f"term-{number}", {}, deadline_ms=5000
            )
        )
        for number in range(2)
    ]

    async def under_way():
        records = await proof.cluster.leaf_records(calls=False)
        return any(record["running"] for record in records.values())

    await harness.until(under_way, "leaf calls run")
    codes = asyncio.create_task(proof.cluster.stop_host(host, 30))
    answers = await asyncio.gather(*searches, *dispatches)
    assert [status for status, _ in answers] == [200] * 8, answers
    partial = [answer for _, answer in answers if answer.get("partial")]
    assert partial == []
    assert set((await codes).values()) == {0}


async def test_hosts_are_replaced_one_by_one_under_load(proof):
    dispatching = asyncio.create_task(
        load.run_dispatches(
            load.DispatchPlan(
                entries=proof.entries,
                services=proof.services,
                rate=5,
                duration_s=25,
                leaf_admins=(),
                twice_percent=20,
            )
        )
    )
    async with proof.searching(60) as report:
        for host in proof.hosts:
            processes = proof.cluster.host(host)
            for process in processes:
                process.send(signal.SIGTERM)
            for process in processes:
                assert await process.wait(30) == 0
            proof.cluster.start_host(host)
            await proof.cluster.hosts_ready([host])
        await dispatching
        records = await proof.cluster.leaf_records()
    assert set(report["all"]["by_code"]) == {"OK"}, report["refusal_examples"]
    assert report["wrong_answers"] == {}, report["wrong_answer_examples"]
    assert set((await dispatching)["all"]["by_code"]) == {"OK"}
    runs = [
        call["idempotency_key"]
        for record in records.values()
        for call in record["calls"]
        if call["kind"] == "dispatch"
    ]
    assert len(runs) == len(set(runs))
    assert await proof.limit_faults() == {}
