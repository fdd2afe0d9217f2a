"""Guards the rules and the record that other tests judge by."""

import asyncio
import datetime
import time

import aiohttp
import pytest

from sassafrashold import clock as clock_lib
from sassafrashold import index
from sassafrashold import settings
from sassafrashold.standins import _leaf
from sassafrashold.standins import _leaf_server
from sassafrashold.standins import _profile
from sassafrashold.standins import _waiting
from sassafrashold.standins import ports


def _leaf_with(clock=None, **profile):
    values = {
        "service_ms": 20,
        "service_sigma": 0,
        "connect_ms": 0,
        "cold_at_start": False,
    } | profile
    return _leaf.Leaf(
        index.Leaf("l-1", "z", "h", settings.Address("127.0.0.1", 0)),
        "almanac",
        _profile.Profile(**values),
        {"v2": frozenset({0, 1}), "v1": frozenset({0})},
        clock or clock_lib.SystemClock(),
        seed=1,
    )


def _request(request_id="r", version="v2", shards=(0,), deadline=5000):
    return _leaf.Request(
        request_id, "query", "almanac", version, shards, None, deadline
    )


@pytest.fixture
async def served():
    """Starts leafs with given profiles; yields (server, base URL) makers."""
    servers = []

    async def start(**profile):
        leaf = _leaf_with(**profile)
        address = settings.Address("127.0.0.1", ports.free_port())
        leaf.leaf = index.Leaf("l-1", "z", "h", address)
        server = _leaf_server.LeafServer(leaf)
        await server.start()
        servers.append(server)
        return server, f"http://{address}"

    async with aiohttp.ClientSession() as session:
        yield start, session
    for server in servers:
        await server.close()


def _query(request_id="r", version="v2", shards=(0,), in_ms=2000):
    return {
        "request_id": request_id,
        "service": "almanac",
        "index_version": version,
        "deadline_unix_ms": int(time.time() * 1000) + in_ms,
        "items": [
            {"id": number, "shard": shard, "query": {"q": number}}
            for number, shard in enumerate(shards)
        ],
    }


async def _post(session, url, body, path="/v1/query"):
    async with session.post(url + path, json=body) as response:
        return response.status, await response.json()


async def test_answer_names_version_shard_and_query(served):
    start, session = served
    _, url = await start(rows_per_shard=1)
    status, body = await _post(session, url, _query(shards=(0, 1)))
    assert (status, body) == (
        200,
        {
            "index_version": "v2",
            "generation": 1,
            "items": [
                {
                    "id": shard,
                    "rows": [
                        {
                            "leaf": "l-1",
                            "service": "almanac",
                            "shard": shard,
                            "version": "v2",
                            "row": 0,
                            "query": {"q": shard},
                        }
                    ],
                }
                for shard in (0, 1)
            ],
        },
    )


@pytest.mark.parametrize(
    ("query", "faults", "expected"),
    [
        ({"in_ms": -(10**9)}, {}, (504, "EXPIRED")),
        ({"version": "v0"}, {}, (410, "VERSION_GONE")),
        ({"version": "v1", "shards": (1,)}, {}, (410, "VERSION_GONE")),
        ({"in_ms": 10**9}, {"draining": True}, (503, "DRAINING")),
        ({"in_ms": 10**9}, {"shed_percent": 100}, (503, "SHED")),
    ],
)
async def test_refusals_say_that_nothing_ran(served, query, faults, expected):
    # Built here: a deadline set at collection would pass in a long run.
    body = _query(**query)
    start, session = served
    server, url = await start()
    server.leaf.faults = server.leaf.faults.with_changes(faults)
    status, answer = await _post(session, url, body)
    assert (status, answer["error"], answer["ran"]) == (*expected, False)
    assert server.leaf.record(True)["calls"] == []


@pytest.mark.parametrize(
    ("overload", "statuses"),
    [("shed", [200, 200, 503, 503]), ("queue", [200] * 4)],
)
async def test_calls_beyond_the_slots_never_run_at_once(
    served, overload, statuses
):
    start, session = served
    server, url = await start(slots=2, overload=overload)
    answers = await asyncio.gather(
        *(_post(session, url, _query(str(n))) for n in range(4))
    )
    assert sorted(status for status, _ in answers) == statuses
    counters = server.leaf.record(False)["counters"]
    assert (counters["max_at_once"], counters["over_limit_calls"]) == (2, 2)


async def test_connections_beyond_the_limit_are_closed(served):
    start, session = served
    server, url = await start(slots=8, connections=2)
    answers = await asyncio.gather(
        *(_post(session, url, _query(str(n))) for n in range(4)),
        return_exceptions=True,
    )
    lost = [a for a in answers if isinstance(a, aiohttp.ClientError)]
    assert len(lost) == 2
    assert server.leaf.record(False)["counters"]["refused_connections"] >= 2


async def test_cancel_frees_the_slot_before_it_answers(served):
    start, session = served
    server, url = await start(service_ms=5000)
    call = asyncio.create_task(_post(session, url, _query("r-1")))
    await _waiting.until(lambda: server.leaf.running > 0, "the call runs")
    async with session.delete(url + "/v1/requests/r-1") as response:
        assert await response.json() == {"cancelled": 1}
    assert server.leaf.running == 0
    assert (await call)[0] == 499


async def test_cancel_before_the_first_step_frees_the_slot(served):
    start, session = served
    server, url = await start(service_ms=5000)
    cancel = session.delete(url + "/v1/requests/r-1")
    original = server.leaf.start

    def start_and_cancel(request):
        call = original(request)
        loop = asyncio.get_running_loop()
        loop.call_soon(
            lambda: [t.cancel() for t in server._tasks_by_request["r-1"]]
        )
        return call

    server.leaf.start = start_and_cancel
    assert (await _post(session, url, _query("r-1")))[0] == 499
    async with cancel as response:
        assert await response.json() == {"cancelled": 0}
    assert server.leaf.running == 0


async def test_work_ends_at_the_deadline(served):
    start, session = served
    server, url = await start(service_ms=5000)
    status, body = await _post(session, url, _query(in_ms=50))
    assert (status, body) == (504, {"error": "TIMED_OUT"})
    assert server.leaf.running == 0


def test_cold_leaf_warms_up_by_successes_and_collapses_above_its_bound():
    clock = clock_lib.ManualClock()
    leaf = _leaf_with(clock, slots=3, warmup_successes=2)
    leaf.turn_cold()
    bounds = []
    for _ in range(5):
        bounds.append(leaf.bound)
        leaf.finish(leaf.start(_request()), _leaf.Outcome.OK)
    assert bounds == [1, 1, 2, 2, 3]
    leaf.turn_cold()
    calls = [leaf.start(_request()) for _ in range(2)]
    assert leaf.is_collapsed
    assert [leaf.draw_outcome() for _ in calls] == [_leaf.Outcome.FAILED] * 2
    counters = leaf.record(False)["counters"]
    assert counters["calls_above_cold_bound"] == 1
    clock.advance(datetime.timedelta(seconds=2))
    assert not leaf.is_collapsed


def test_call_from_before_a_cold_start_warms_nothing():
    leaf = _leaf_with(clock_lib.ManualClock(), slots=3, warmup_successes=1)
    call = leaf.start(_request())
    leaf.turn_cold()
    leaf.finish(call, _leaf.Outcome.OK)
    assert leaf.bound == 1
