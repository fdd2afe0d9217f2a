"""Guards P4 (zones out) and P8 (leaving upstreams): no new work after 4 s.

The records of the leafs state when each call started, on the monotonic clock
that all processes of this machine share.
"""

import time

import pytest

from sassafrashold import table as table_lib
from sassafrashold.standins import harness

pytestmark = pytest.mark.asyncio(loop_scope="session")

_BOUND_MS = 4000
_AFTER_BOUND_MS = 1500


def _now_ms():
    return time.monotonic() * 1000


async def _mark(proof, column, name, out):
    await proof.edit(table_lib.Mark(column, name, out))
    return _now_ms()


async def _leave(proof, host, state):
    await proof.cluster.set_host_states({host: state})
    return _now_ms()


async def _calls_after(proof, at_ms, field, value):
    """Returns how late calls started at leafs of a zone or host."""
    records = await proof.cluster.leaf_records()
    return sorted(
        round(call["start_ms"] - at_ms)
        for record in records.values()
        if record[field] == value
        for call in record["calls"]
        if call["start_ms"] > at_ms
    )


async def _until_ms(at_ms):
    await harness.until(lambda: _now_ms() > at_ms, "the bound has passed", 20)


async def _until_called(proof, field, value):
    since = _now_ms()

    async def called():
        return len(await _calls_after(proof, since, field, value)) >= 10

    await harness.until(called, f"{field} {value} is called", 30)


async def _assert_left(proof, at_ms, field, value):
    await _until_ms(at_ms + _BOUND_MS + _AFTER_BOUND_MS)
    calls = await _calls_after(proof, at_ms, field, value)
    late = [delay for delay in calls if delay > _BOUND_MS]
    assert late == [], f"{len(late)} calls, the last {late[-1]} ms after"


@pytest.mark.parametrize("cut", [False, True])
async def test_zone_that_is_out_gets_no_new_work(proof, cut):
    """With `cut`, the hosts of the zone cannot reach the store."""
    async with proof.searching(100) as report:
        await _until_called(proof, "zone", "east")
        if cut:
            await proof.cluster.set_proxy_faults("platform/east", cut="both")
        at_ms = await _mark(proof, "zones", "east", True)
        await _assert_left(proof, at_ms, "zone", "east")
        if cut:
            await proof.cluster.set_proxy_faults("platform/east", cut="none")
        await _mark(proof, "zones", "east", False)
        await _until_called(proof, "zone", "east")
    assert set(report["all"]["by_code"]) == {"OK"}, report["refusal_examples"]
    assert report["wrong_answers"] == {}, report["wrong_answer_examples"]
    assert await proof.limit_faults() == {}


async def test_leaving_upstream_host_gets_no_new_work(proof):
    host = "west-upstream-1"
    async with proof.searching(100) as report:
        await _until_called(proof, "host", host)
        at_ms = await _leave(proof, host, "leaving")
        await _assert_left(proof, at_ms, "host", host)
        await _leave(proof, host, "live")
        await _until_called(proof, "host", host)
    assert set(report["all"]["by_code"]) == {"OK"}, report["refusal_examples"]
    assert report["wrong_answers"] == {}, report["wrong_answer_examples"]
    assert await proof.limit_faults() == {}


async def test_leaving_upstream_is_seen_without_the_platform(proof):
    """A host that leaves just before an outage is known to every zone."""
    host = "east-upstream-1"
    async with proof.searching(100) as report:
        await _until_called(proof, "host", host)
        await proof.cluster.set_proxy_faults("platform/east", cut="both")
        at_ms = await _leave(proof, host, "leaving")
        await _assert_left(proof, at_ms, "host", host)
        await _leave(proof, host, "live")
        await proof.cluster.set_proxy_faults("platform/east", cut="none")
        await _until_called(proof, "host", host)
    assert report["wrong_answers"] == {}, report["wrong_answer_examples"]
    assert await proof.limit_faults() == {}
