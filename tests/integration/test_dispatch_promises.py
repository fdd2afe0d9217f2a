"""Guards P7 (at most once) and P6 ("not run") while parts fail."""

import asyncio

import pytest

from sassafrashold import load
from sassafrashold.standins import harness

pytestmark = pytest.mark.asyncio(loop_scope="session")

_FIRST = {"Idempotency-Attempt": "1"}


async def _lost_claim_answers(proof):
    await proof.cluster.set_platform_faults(
        lost_answer_percent=30, key_prefix="claims/"
    )


async def _late_writes_and_stale_reads(proof):
    await proof.cluster.set_platform_faults(
        lost_answer_percent=20,
        lost_delay_ms=300,
        stale_ms=1000,
        stale_percent=50,
        key_prefix="claims/",
    )


async def _lost_leaf_answers(proof):
    await proof.cluster.set_leaf_faults({}, lost_percent=20, fail_percent=20)
    for _ in range(4):
        await proof.until_calls(10)
        await proof.cluster.reset_connections("leaf/")


async def _killed_processes_and_lost_claim_answers(proof):
    await _lost_claim_answers(proof)
    for name in ("east-1/owner", "west-1/entry"):
        await proof.until_calls(10)
        proof.cluster.process_by_name[name].kill()
        proof.cluster.process_by_name[name].start()


async def _frozen_entry_and_store_outage(proof):
    await proof.until_calls(10)
    frozen = proof.cluster.process_by_name["east-1/entry"]
    frozen.pause()
    await proof.until_calls(10)
    await proof.cluster.set_platform_faults(down="close")
    await harness.until(
        lambda: _writes_are_refused(proof), "dispatches are refused"
    )
    frozen.resume()
    await proof.cluster.set_platform_faults(down=None)
    await proof.until_calls(10)


async def _writes_are_refused(proof):
    status, _ = await _dispatch(
        proof, "west-2", "probe-outage", deadline_ms=300
    )
    return status != 200


@pytest.mark.parametrize(
    "fault",
    [
        _lost_claim_answers,
        _late_writes_and_stale_reads,
        _lost_leaf_answers,
        _killed_processes_and_lost_claim_answers,
        _frozen_entry_and_store_outage,
    ],
)
async def test_no_dispatch_is_run_twice_or_denied(proof, fault):
    plan = load.DispatchPlan(
        entries=proof.entries,
        services=proof.services,
        rate=30,
        duration_s=4,
        leaf_admins=tuple(proof.cluster.leaf_admins),
        twice_percent=30,
    )
    running = asyncio.create_task(load.run_dispatches(plan))
    try:
        await fault(proof)
    finally:
        report = await running
    verdict = report["verdict"]
    found = {
        name: verdict[name]
        for name in ("lost", "doubled", "ran_though_refused", "wrong_result")
    }
    assert not any(found.values()), verdict
    assert verdict["keys"] > 60 and verdict["done"] > 20, verdict
    assert report["leafs"]["over_limit_calls"] == 0


async def test_retry_after_the_death_of_an_entry_is_never_told_not_run(proof):
    await proof.cluster.set_leaf_faults({}, extra_ms=700)
    first = asyncio.create_task(
        _dispatch(proof, "east-1", "key-death", deadline_ms=2000)
    )
    await harness.until(
        lambda: _has_run(proof, "key-death"), "the dispatch runs"
    )
    proof.cluster.process_by_name["east-1/entry"].kill()
    with pytest.raises(Exception, match=r"."):
        await first
    status, answer = await _dispatch(proof, "west-1", "key-death")
    assert status != 200
    assert answer["error"]["ran"] == "outcome_unknown"
    assert await _runs(proof, "key-death") == 1


async def test_refusals_before_the_claim_state_what_is_known(proof):
    """A store outage hides whether an earlier attempt ran."""
    status, _ = await _dispatch(proof, "east-1", "key-ran")
    assert status == 200
    await proof.cluster.set_platform_faults(down="error")
    cases = {
        "key-ran": ({}, "outcome_unknown"),
        "key-new": (_FIRST, "not_run"),
        "key-none": ({}, "outcome_unknown"),
    }
    told = {
        key: (await _dispatch(proof, "west-2", key, headers))[1]["error"]["ran"]
        for key, (headers, _) in cases.items()
    }
    assert told == {key: ran for key, (_, ran) in cases.items()}
    await proof.cluster.set_platform_faults(down=None)
    assert [await _runs(proof, key) for key in cases] == [1, 0, 0]


async def test_a_refusal_by_the_leafs_is_not_run_and_can_be_retried(proof):
    await proof.cluster.set_leaf_faults({}, draining=True)
    status, answer = await _dispatch(proof, "east-2", "key-drain")
    assert (status != 200, answer["error"]["ran"]) == (True, "not_run")
    assert await _runs(proof, "key-drain") == 0
    await proof.cluster.set_leaf_faults({}, draining=False)

    async def answered():
        status, _ = await _dispatch(proof, "west-1", "key-drain")
        return status == 200

    await harness.until(answered, "the retry is answered", 20)
    assert await _runs(proof, "key-drain") == 1


async def _dispatch(proof, host, key, headers=None, deadline_ms=1000):
    return await proof.cluster.post(
        proof.deployment.host_by_name[host].entry_http,
        "/v1/services/guichet/dispatch",
        {"body": {"key": key}, "deadline_ms": deadline_ms},
        {"Idempotency-Key": key, **(headers or {})},
    )


async def _has_run(proof, key):
    return await _runs(proof, key) > 0


async def _runs(proof, key):
    return sum(
        call["idempotency_key"] == key
        for record in (await proof.cluster.leaf_records()).values()
        for call in record["calls"]
    )
