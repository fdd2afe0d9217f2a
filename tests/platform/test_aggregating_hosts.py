"""Guards queries that one process gathers for another, when processes fail.

Twelve hosts make a zone that lets three of them gather. Callers use the other
ones and must get whole answers, whatever happens to those three.
"""

import asyncio
import datetime
import signal

import platform_harness
import pytest
import pytest_asyncio

from sassafrashold.standins import _waiting

pytestmark = pytest.mark.asyncio(loop_scope="module")

_HOSTS = 12
# Hosts with equal links rank by name.
_AGGREGATORS = ("h0", "h1", "h10")
_ENTRY = 5
_MAX_LEAFS = 2
_WORK = datetime.timedelta(milliseconds=2)


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def zone(tmp_path_factory):
    """A zone whose hosts know each other."""
    folder = tmp_path_factory.mktemp("zone")
    async with platform_harness.PlatformHarness(
        folder, fronts=_HOSTS
    ) as harness:
        await _wait_until_gathered_elsewhere(harness)
        yield harness


@pytest_asyncio.fixture(loop_scope="module")
async def harness(zone):
    """The zone without faults."""
    yield zone
    for leaf in zone.leafs:
        leaf.work = _WORK
    for front in zone.fronts:
        if front.process.poll() is None:
            front.send_signal(signal.SIGCONT)
        else:
            front.start()
            await zone.wait_for_readiness(front)
    await _wait_until_gathered_elsewhere(zone)


async def _wait_until_gathered_elsewhere(harness):
    """Waits until the last query of the entry host went to another host."""
    front = harness.fronts[_ENTRY]
    async with asyncio.timeout(30):
        for number in range(10_000):
            request_id = f"probe-{number}-{asyncio.get_running_loop().time()}"
            await harness.send_request("/all/x", request_id, front=_ENTRY)
            await asyncio.sleep(0.6)
            lines = [
                line
                for line in front.read_log().splitlines()
                if request_id in line and "gathered_by" in line
            ]
            if lines:
                return


def _aggregators(harness):
    return [f for f in harness.fronts if f.name in _AGGREGATORS]


async def _expect_whole_answer(harness, request_id):
    answer = await harness.send_request("/all/x", request_id, front=_ENTRY)
    services = [part.partition(".")[0] for part in answer.parts]
    assert answer.status == 200, answer.body
    assert services == list(platform_harness.SHARDS)
    assert answer.body == platform_harness.expected_records(
        services, request_id, 5
    )
    return answer


def _max_runs_of_a_shard(harness, request_id):
    runs = [run.leaf_id for run in harness.runs(request_id)]
    return max(
        sum(leaf_id.startswith(shard) for leaf_id in runs)
        for shard in platform_harness.SHARDS
    )


async def test_answer_gathered_elsewhere_is_whole_and_logged(harness):
    for number in range(10):
        await _expect_whole_answer(harness, f"whole-{number}")
    logs = "".join(front.read_log() for front in _aggregators(harness))
    assert "whole-0" in logs or "probe-" in logs


async def test_caller_that_leaves_ends_the_runs_at_the_leafs(harness):
    for leaf in harness.leafs:
        leaf.work = datetime.timedelta(seconds=30)
    before = sum(leaf.cancelled for leaf in harness.leafs)
    request = asyncio.create_task(
        harness.send_request("/all/x", "leaves", front=_ENTRY)
    )
    shards = len(platform_harness.SHARDS)
    await _waiting.until(
        lambda: len(harness.runs("leaves")) >= shards,
        "all shards are called",
        5,
    )
    request.cancel()
    await _waiting.until(
        lambda: (
            sum(leaf.cancelled for leaf in harness.leafs) >= before + shards
        ),
        "all calls are cancelled",
        5,
    )


async def test_frozen_aggregators_delay_no_answer(harness):
    for front in _aggregators(harness):
        front.send_signal(signal.SIGSTOP)
    answers = [
        await _expect_whole_answer(harness, f"frozen-{number}")
        for number in range(20)
    ]
    # A route answers within 300 ms; the wait for a frozen host is part of it.
    assert max(a.duration for a in answers) < datetime.timedelta(
        milliseconds=300
    )
    for front in _aggregators(harness):
        front.send_signal(signal.SIGCONT)
    await asyncio.sleep(0.5)
    for number in range(20):
        assert _max_runs_of_a_shard(harness, f"frozen-{number}") <= _MAX_LEAFS


async def test_killed_aggregators_fail_no_query_that_comes_later(harness):
    for front in _aggregators(harness):
        front.send_signal(signal.SIGKILL)
        await front.wait_for_exit(5)
    for number in range(20):
        await _expect_whole_answer(harness, f"killed-{number}")
        assert _max_runs_of_a_shard(harness, f"killed-{number}") <= _MAX_LEAFS


async def test_aggregators_stopped_under_load_fail_no_query(harness):
    for leaf in harness.leafs:
        leaf.work = datetime.timedelta(milliseconds=60)
    stop = asyncio.Event()
    statuses = []

    async def call(caller):
        number = 0
        while not stop.is_set():
            number += 1
            answer = await harness.send_request(
                "/all/x", f"stop-{caller}-{number}", front=_ENTRY
            )
            statuses.append(answer.status)

    callers = [asyncio.create_task(call(n)) for n in range(4)]
    await asyncio.sleep(0.3)
    for front in _aggregators(harness):
        front.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
    codes = [await front.wait_for_exit(10) for front in _aggregators(harness)]
    stop.set()
    await asyncio.gather(*callers)
    assert set(statuses) == {200}
    assert codes == [0] * len(_AGGREGATORS)
