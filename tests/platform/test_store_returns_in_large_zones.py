"""The store comes back from an older copy in a zone where hosts follow hosts.

From four hosts a zone on, two hosts read the store and the others follow them.
Guards against followers that keep, or are passed, a place of a lost history.
"""

import asyncio
import signal

import platform_harness
import pytest_asyncio

_FRONT_COUNT = 5
# The first two by name read the store.
_READERS = (0, 1)
_FOLLOWERS = (2, 3, 4)
# Hosts list each other every 5 s.
_ROLES_KNOWN_S = 15.0
# `bounds.config_apply_ms` and `bounds.drain_ms` of the users' deployments.
_CONFIGURATION_DUE_S = 3.0
_DRAIN_S = 3.0
_LOST_VERSIONS = 6
# More than are lost with the copy, so that the counter passes the revision that
# the hosts have reached.
_PASSING_WRITES = 20


@pytest_asyncio.fixture
async def harness(tmp_path):
    async with platform_harness.PlatformHarness(
        tmp_path, fronts=_FRONT_COUNT
    ) as running:
        for number in _FOLLOWERS:
            await running.wait_for_log(
                running.fronts[number],
                lambda log: "following host" in log,
                _ROLES_KNOWN_S,
            )
        yield running


async def _publish_route(harness, name):
    harness.routes.append(
        platform_harness.route(name, f"/{name}/", service="single")
    )
    await harness.publish_configuration()


async def _lose_versions(harness):
    """Writes versions that all hosts follow; returns the copy from before."""
    older = harness.store.take_copy()
    kept_routes = list(harness.routes)
    for number in range(_LOST_VERSIONS):
        await _publish_route(harness, f"lost{number}")
    await asyncio.gather(
        *(
            harness.wait_until_served(f"/lost{_LOST_VERSIONS - 1}/x", 5, front)
            for front in range(_FRONT_COUNT)
        )
    )
    harness.routes[:] = kept_routes
    return older


async def _pass_old_revisions(harness):
    for number in range(_PASSING_WRITES):
        await harness.store.put("other", "counter", {"value": number})


async def _assert_in_force_in_time(harness, name, fronts):
    """Checks hosts at the same time, from the acknowledgement of a version."""
    outcomes = await asyncio.gather(
        *(
            harness.wait_until_served(f"/{name}/x", _CONFIGURATION_DUE_S, front)
            for front in fronts
        ),
        return_exceptions=True,
    )
    late = [
        front
        for front, outcome in zip(fronts, outcomes, strict=True)
        if isinstance(outcome, BaseException)
    ]
    assert late == []


async def _late_runs(harness, leaf, fronts):
    """Sends requests to hosts; returns the ids of those at the leaf."""
    for number in range(10):
        for front in fronts:
            await harness.send_request(
                "/one/x", f"late-{front}-{number}", front=front
            )
    return [
        run.request_id
        for run in leaf.runs
        if run.request_id.startswith("late-")
    ]


async def test_version_acknowledged_after_a_return_is_in_force_at_followers(
    harness,
):
    for name, passes in (("passed", True), ("behind", False)):
        older = await _lose_versions(harness)
        await harness.store.restore(older)
        await _publish_route(harness, name)
        if passes:
            await _pass_old_revisions(harness)
        await _assert_in_force_in_time(harness, name, range(_FRONT_COUNT))


async def test_leaf_that_drains_after_a_return_gets_no_requests_of_followers(
    harness,
):
    leaf = harness.leaf("single", "z1")
    older = await _lose_versions(harness)
    await harness.put_leaf_entry(leaf, "draining")
    await asyncio.sleep(0.5)
    await harness.put_leaf_entry(leaf)
    await asyncio.sleep(1.0)
    await harness.store.restore(older)
    await harness.put_leaf_entry(leaf, "draining")
    await _pass_old_revisions(harness)
    await asyncio.sleep(_DRAIN_S)
    assert await _late_runs(harness, leaf, range(_FRONT_COUNT)) == []


async def test_follower_cut_off_from_its_reader_knows_what_follows_a_return(
    harness,
):
    # The stopped reader goes on with the copy of the lost history.
    leaf = harness.leaf("single", "z1")
    for stopped in _READERS:
        running = [n for n in range(_FRONT_COUNT) if n != stopped]
        older = await _lose_versions(harness)
        harness.fronts[stopped].send_signal(signal.SIGSTOP)
        await harness.store.restore(older)
        name = f"without{stopped}"
        await _publish_route(harness, name)
        await _pass_old_revisions(harness)
        await _assert_in_force_in_time(harness, name, running)
        harness.fronts[stopped].send_signal(signal.SIGCONT)
        await _assert_in_force_in_time(harness, name, [stopped])
    await harness.put_leaf_entry(leaf, "draining")
    await asyncio.sleep(_DRAIN_S)
    assert await _late_runs(harness, leaf, range(_FRONT_COUNT)) == []
