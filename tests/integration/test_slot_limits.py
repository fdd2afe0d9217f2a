"""Guards the slots of leafs and cold starts (P3) while owners change.

Judged by what the leafs recorded, summed over all hosts.
"""

import pytest

from sassafrashold.standins import harness

pytestmark = pytest.mark.asyncio(loop_scope="session")

_RATE = 100


async def _kill_owners(proof):
    for name in ("east-1/owner", "west-2/owner"):
        process = proof.cluster.process_by_name[name]
        process.kill()
        await proof.until_calls(50)
        process.start()


async def _kill_host(proof):
    for process in proof.cluster.host("east-2"):
        process.kill()
    await _until_members(proof, "east", ["east-1"])
    await proof.until_calls(100)
    proof.cluster.start_host("east-2")


async def _freeze_longer_than_the_lease(proof):
    """A host and, elsewhere, an owner alone wake up with old rights."""
    frozen = [
        *proof.cluster.host("east-1"),
        proof.cluster.process_by_name["west-1/owner"],
    ]
    for process in frozen:
        process.pause()
    await _until_members(proof, "east", ["east-2"])
    await proof.until_calls(100)
    for process in frozen:
        process.resume()
    await proof.until_calls(100)


async def _outage_and_killed_owner(proof):
    await proof.cluster.set_platform_faults(down="close")
    owner = proof.cluster.process_by_name["east-1/owner"]
    owner.kill()
    await proof.until_calls(200)
    owner.start()
    await proof.until_calls(200)
    await proof.cluster.set_platform_faults(down=None)


async def _cut_zone_and_frozen_control(proof):
    await proof.cluster.set_proxy_faults("platform/east", cut="both")
    control = proof.cluster.process_by_name["east-1/control"]
    control.pause()

    async def lease_is_old():
        facts = await proof.facts("east-2")
        return any(
            fact["name"] == "lease_evidence" and fact["value"] is False
            for fact in facts
        )

    await harness.until(lease_is_old, "the evidence is old", 20)
    await proof.until_calls(100)
    control.resume()
    await proof.cluster.set_proxy_faults("platform/east", cut="none")


@pytest.mark.parametrize(
    "fault",
    [
        _kill_owners,
        _kill_host,
        _freeze_longer_than_the_lease,
        _outage_and_killed_owner,
        _cut_zone_and_frozen_control,
    ],
)
async def test_no_leaf_gets_more_calls_than_slots(proof, fault):
    async with proof.searching(_RATE) as report:
        await fault(proof)
        # Leafs that are overrun may not serve in full again.
        assert await proof.limit_faults() == {}
        await proof.heal()
    assert await proof.limit_faults() == {}
    assert report["wrong_answers"] == {}, report["wrong_answer_examples"]


async def test_restarted_leafs_get_only_what_they_bear(proof):
    await _make_cold(proof, restart=True)
    records = await proof.cluster.leaf_records(calls=False)
    above = {
        leaf_id: record["counters"]["calls_above_cold_bound"]
        for leaf_id, record in records.items()
        if record["counters"].get("calls_above_cold_bound")
    }
    assert above == {}


async def test_silently_cold_leafs_get_only_what_they_bear(proof):
    """Judged from the first answer that shows the new generation."""
    await _make_cold(proof, restart=False)


async def _make_cold(proof, restart):
    async with proof.searching(_RATE) as report:
        leafs = await proof.cluster.leaf_records(calls=False)
        generation_by_leaf = {k: v["generation"] for k, v in leafs.items()}
        await proof.cluster.make_leafs_cold({}, restart=restart)

        async def warm():
            records = await proof.cluster.leaf_records(calls=False)
            return all(
                record["generation"] > generation_by_leaf[leaf_id]
                and record["bound"] == record["slots"]
                for leaf_id, record in records.items()
            )

        await harness.until(warm, "all leafs are warm", 40)
    assert await proof.limit_faults() == {}
    assert report["wrong_answers"] == {}, report["wrong_answer_examples"]


async def _until_members(proof, zone, expected):
    async def are_members():
        return await proof.stored_members(zone) == expected

    await harness.until(are_members, f"{zone} consists of {expected}", 30)
