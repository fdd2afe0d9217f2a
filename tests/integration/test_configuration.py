"""Guards P10: an accepted edit is in force everywhere within 4 s for good."""

import asyncio
import itertools
import time

import pytest

from sassafrashold import table as table_lib
from sassafrashold.standins import harness

pytestmark = pytest.mark.asyncio(loop_scope="session")

_BOUND_S = 4.0
_NUMBERS = itertools.count(2000)


async def _edit(proof):
    """Makes an edit with a value of its own."""
    return await proof.edit(
        table_lib.SetCells("almanac", {"queue_limit": str(next(_NUMBERS))})
    )


def _revision(facts):
    """Returns the revision that a host has in force; None if not known."""
    return next(
        (fact["value"] for fact in facts if fact["name"] == "table_revision"),
        None,
    )


async def _is_in_force(proof, host, accepted):
    facts = await proof.facts(host)
    versions = [
        fact["value"] or 0
        for fact in facts
        if fact["name"] in ("view.version", "object_version")
        and fact["subject"] == table_lib.TABLE_KEY
    ]
    return (
        (_revision(facts) or 0) >= accepted.revision
        and len(versions) == 2
        and min(versions) >= accepted.version
    )


async def _assert_in_force(proof, accepted):
    """Checks entry, owner and control of all hosts by the bound."""
    start = time.monotonic()
    seconds_by_host = {}

    async def wait(host):
        await harness.until(
            lambda: _is_in_force(proof, host, accepted), f"{host}", 30
        )
        seconds_by_host[host] = round(time.monotonic() - start, 2)

    await asyncio.gather(*map(wait, proof.hosts))
    late = {h: s for h, s in seconds_by_host.items() if s > _BOUND_S}
    assert late == {}, seconds_by_host


async def test_edits_are_in_force_in_time(proof):
    for _ in range(3):
        await _assert_in_force(proof, await _edit(proof))


async def test_edit_is_in_force_in_time_with_a_slow_store(proof):
    await proof.cluster.set_platform_faults(slow_ms=300, slow_jitter_ms=300)
    for _ in range(2):
        await _assert_in_force(proof, await _edit(proof))


async def test_edit_with_a_lost_answer_is_made_once(proof):
    before = (await proof.stored("config/table"))["revision"]
    await proof.cluster.set_platform_faults(
        lost_answer_percent=100, key_prefix="config/"
    )
    editing = asyncio.create_task(_edit(proof))

    async def is_written():
        return (await proof.stored("config/table"))["revision"] > before

    await harness.until(is_written, "the edit took effect")
    await proof.cluster.set_platform_faults(lost_answer_percent=0)
    accepted = await editing
    assert accepted.revision == before + 1
    await _assert_in_force(proof, accepted)
    assert (await proof.stored("config/table"))["revision"] == before + 1


async def test_zone_without_the_store_gets_the_edit_from_peers(proof):
    await proof.cluster.set_proxy_faults("platform/east", cut="both")
    await _assert_in_force(proof, await _edit(proof))
    await _assert_in_force(proof, await _edit(proof))


@pytest.mark.parametrize("lost_answers", [0, 1])
async def test_restarts_of_all_hosts_put_no_older_revision_in_force(
    proof, lost_answers
):
    """All reads show the state before the edit while no host remembers it."""
    accepted = await _edit(proof)
    await _assert_in_force(proof, accepted)
    await proof.cluster.set_platform_faults(
        stale_ms=7_000,
        stale_percent=100,
        key_prefix="config/",
        lost_answers=lost_answers,
    )
    for host in proof.hosts:
        for process in proof.cluster.host(host):
            process.kill()
    for host in proof.hosts:
        proof.cluster.start_host(host)
    older = {}
    ready = set()

    async def all_ready():
        for host in proof.hosts:
            facts = await proof.facts(host)
            is_ready = any(f["name"] == "ready" and f["value"] for f in facts)
            revision = _revision(facts)
            if is_ready:
                ready.add(host)
            if revision is not None and revision < accepted.revision:
                older.setdefault(host, (revision, is_ready))
        return len(ready) == len(proof.hosts)

    await harness.until(all_ready, "all hosts are ready", 45)
    assert older == {}, f"accepted: {accepted.revision}"
    assert (await proof.stored("config/table"))["revision"] == (
        accepted.revision
    )
