"""The store comes back from an older copy while front processes run.

Revisions go back and are given out again. Guards against hosts that go on from
their old revision: they never follow what was acknowledged between the copy and
that revision, which breaks the bounds on configurations and on draining leafs.
"""

import asyncio
import contextlib

import platform_harness
import pytest
import pytest_asyncio

_FRONT_COUNT = 3
# `bounds.config_apply_ms` and `bounds.drain_ms` of the users' deployments.
_CONFIGURATION_DUE_S = 3.0
_DRAIN_S = 3.0
# `recovery_s`.
_RECOVERY_S = 12.0
# More than are lost with the copy, so that the counter passes the revision that
# the hosts have reached.
_PASSING_WRITES = 20


@pytest_asyncio.fixture
async def harness(tmp_path):
    async with platform_harness.PlatformHarness(
        tmp_path, fronts=_FRONT_COUNT
    ) as running:
        yield running


async def _lose_changes(harness, count=6):
    """Writes changes that all hosts follow, and returns the copy from before.

    The last one is a version of the configuration with a route of its own, so
    that its presence shows that the hosts have reached the last revision.
    """
    older = harness.store.take_copy()
    kept_routes = list(harness.routes)
    harness.routes.append(
        platform_harness.route("mark", "/mark/", service="single")
    )
    for _ in range(count):
        await harness.publish_configuration()
    for front in range(_FRONT_COUNT):
        await harness.wait_until_served("/mark/x", 5, front)
    harness.routes[:] = kept_routes
    return older


async def _pass_old_revisions(harness):
    for number in range(_PASSING_WRITES):
        await harness.store.put("other", "counter", {"value": number})


async def _publish_route(harness, name):
    harness.routes.append(
        platform_harness.route(name, f"/{name}/", service="single")
    )
    await harness.publish_configuration()


async def _fronts_without(harness, path):
    """Returns the hosts that do not serve a path."""
    answers = await asyncio.gather(
        *(
            harness.send_request(path, f"probe-{front}", front=front)
            for front in range(_FRONT_COUNT)
        )
    )
    return [
        number for number, answer in enumerate(answers) if answer.status != 200
    ]


async def _assert_in_force_in_time(harness, path):
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_CONFIGURATION_DUE_S):
            while True:
                if not await _fronts_without(harness, path):
                    break
                await asyncio.sleep(0.1)
    assert await _fronts_without(harness, path) == []


@pytest.mark.parametrize("passes", [True, False], ids=["passed", "behind"])
async def test_version_acknowledged_after_the_return_is_in_force_in_time(
    harness, passes
):
    older = await _lose_changes(harness)
    await harness.store.restore(older)
    await _publish_route(harness, "new")
    if passes:
        await _pass_old_revisions(harness)
    await _assert_in_force_in_time(harness, "/new/x")


@pytest.mark.parametrize("passes", [True, False], ids=["passed", "behind"])
async def test_leaf_that_drains_after_the_return_gets_no_requests(
    harness, passes
):
    leaf = harness.leaf("single", "z1")
    older = await _lose_changes(harness)
    await harness.put_leaf_entry(leaf, "draining")
    await asyncio.sleep(0.5)
    await harness.put_leaf_entry(leaf)
    await asyncio.sleep(1.0)
    await harness.store.restore(older)
    await harness.put_leaf_entry(leaf, "draining")
    if passes:
        await _pass_old_revisions(harness)
    await asyncio.sleep(_DRAIN_S)
    for number in range(10):
        for front in range(_FRONT_COUNT):
            await harness.send_request(
                "/one/x", f"late-{front}-{number}", front=front
            )
    late = [run for run in leaf.runs if run.request_id.startswith("late-")]
    assert late == []


async def test_version_is_in_force_in_time_after_two_returns(harness):
    for name in ("first", "second"):
        older = await _lose_changes(harness)
        await harness.store.restore(older)
        await _publish_route(harness, name)
        await _pass_old_revisions(harness)
        await _assert_in_force_in_time(harness, f"/{name}/x")


async def _late_runs(harness, leafs, seconds):
    """Sends requests to all hosts; returns the ids of those at the leafs."""
    end = asyncio.get_running_loop().time() + seconds
    count = 0
    while asyncio.get_running_loop().time() < end:
        count += 1
        for front in range(_FRONT_COUNT):
            await harness.send_request(
                "/one/x", f"late-{front}-{count}", front=front
            )
        await asyncio.sleep(0.05)
    return [
        run.request_id
        for leaf in leafs
        for run in leaf.runs
        if run.request_id.startswith("late-")
    ]


@pytest.mark.parametrize("is_removed", [False, True])
async def test_leaf_that_left_before_the_return_gets_no_requests(
    harness, is_removed
):
    # The copy lists it as ready, and it does not write its entry again.
    leaf = harness.leaf("single", "z1")
    older = harness.store.take_copy()
    if is_removed:
        await harness.store.remove("servers", leaf.leaf_id)
    else:
        await harness.put_leaf_entry(leaf, "draining")
    await asyncio.sleep(_DRAIN_S)
    await harness.store.restore(older)
    assert await _late_runs(harness, [leaf], 3.0) == []


async def test_leaf_that_the_copy_lacks_serves_until_it_is_listed_again(
    harness,
):
    leafs = [harness.leaf("single", zone) for zone in platform_harness.ZONES]
    for leaf in leafs:
        await harness.store.remove("servers", leaf.leaf_id)
    older = harness.store.take_copy()
    for leaf in leafs:
        await harness.put_leaf_entry(leaf)
    for front in range(_FRONT_COUNT):
        await harness.wait_until_served("/one/x", 5, front)
    await harness.store.restore(older)
    end = asyncio.get_running_loop().time() + 3.0
    written_again = False
    while asyncio.get_running_loop().time() < end:
        assert await _fronts_without(harness, "/one/x") == []
        await asyncio.sleep(0.05)
        if not written_again and asyncio.get_running_loop().time() > end - 1.8:
            written_again = True
            for leaf in leafs:
                await harness.put_leaf_entry(leaf)


async def test_zone_whose_evacuation_is_lost_gets_no_requests(harness):
    leafs = [leaf for leaf in harness.leafs if leaf.zone == "z1"]
    older = harness.store.take_copy()
    await harness.store.put("evacuations", "z1", {})
    await asyncio.sleep(1.0)
    await harness.store.restore(older)
    assert await _late_runs(harness, leafs, 2.0) == []
    await harness.store.put("evacuations", "z1", {})
    assert await _late_runs(harness, leafs, 1.0) == []
    await harness.store.remove("evacuations", "z1")
    await asyncio.sleep(1.0)
    assert await _late_runs(harness, leafs, 1.0) != []


# Guards against hosts that take an evacuation which ended after the return, but
# before they read the list, for one that was lost, and keep the zone out.
async def test_zone_taken_back_right_after_the_return_gets_requests(harness):
    await harness.store.put("evacuations", "z1", {})
    await asyncio.sleep(1.0)
    await harness.store.restore(harness.store.take_copy())
    await harness.store.remove("evacuations", "z1")
    await harness.store.put("evacuations", "z2", {})
    for front in range(_FRONT_COUNT):
        await harness.wait_until_served("/one/x", _RECOVERY_S, front)
