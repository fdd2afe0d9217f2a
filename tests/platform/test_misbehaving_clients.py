"""Clients that send too much or read too little, against real processes.

Guards against clients that make a process exceed the memory of its host or its
descriptors, which ends it with all its requests: heads over the limit or
without end, empty lines without end, bodies and requests that wait behind an
open one, answers that are not read, open requests and connections without end,
on each port.

The checks don't depend on the speed of the machine: the process lives, its peak
memory and its open sockets stay under the limits of its host, and an ordinary
request is answered while the crowd is connected and after it has left.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Mapping
import contextlib
import datetime
import pathlib
import signal
import time

import crowds
import platform_harness
import pytest

# Less memory, and the descriptors of the smallest host: for open requests.
_TINY_HOST = {"memory_mb": 100, "max_fds": 4100}
_OPEN_REQUESTS = 1000
_MANY_SHARDS = tuple(f"shard-{number:02}" for number in range(42))
_ANSWER_BYTES = 4 * 2**20
_WAITING_CONNECTIONS = 500
_ACCEPT_TIME_S = 1.0
_LONG_WORK = datetime.timedelta(seconds=15)
_ORDINARY_DEADLINE_MS = 20_000
_GATHER = b"GET /all/x HTTP/1.1\r\nHost: " + crowds.HOST + b"\r\n\r\n"
_CASES = [(crowd, port) for crowd in crowds.CROWDS for port in crowd.ports]


@pytest.fixture
async def small_host(
    tmp_path: pathlib.Path,
) -> AsyncIterator[platform_harness.PlatformHarness]:
    """A front process with the memory of the smallest host."""
    async with platform_harness.PlatformHarness(
        tmp_path,
        host_limits=crowds.SMALL_HOST,
        max_body_bytes=crowds.LARGE_BODY_BYTES,
    ) as running:
        yield running


@contextlib.asynccontextmanager
async def _clients_and_watch(
    harness: platform_harness.PlatformHarness,
    port: str,
    limits: Mapping[str, int] = crowds.SMALL_HOST,
) -> AsyncIterator[crowds.Clients]:
    """Provides clients; checks the process with them and without them."""
    front = harness.fronts[0]
    clients = crowds.Clients(crowds.address(front, port))
    watch = crowds.Watch(front, limits)
    sampling = asyncio.create_task(watch.run())
    try:
        yield clients
        await _check_ordinary_service(harness, "with-the-crowd")
        watch.check()
    finally:
        await clients.close()
        sampling.cancel()
        await asyncio.gather(sampling, return_exceptions=True)
    await _check_ordinary_service(harness, "after-the-crowd")
    watch.check()


async def _check_ordinary_service(
    harness: platform_harness.PlatformHarness, request_id: str
) -> None:
    # The leafs of the other routes may be busy with requests of the crowd.
    answer = await harness.send_request(
        "/all/x", request_id, deadline_ms=_ORDINARY_DEADLINE_MS
    )
    assert answer.status == 200
    services = [part.partition(".")[0] for part in answer.parts]
    assert answer.body == platform_harness.expected_records(
        services, request_id, 5
    )
    await harness.wait_for_readiness(harness.fronts[0])


@pytest.mark.parametrize(
    ("crowd", "port"),
    _CASES,
    ids=[f"{crowd.name}, {port}" for crowd, port in _CASES],
)
async def test_process_bounds_what_clients_send(crowd, port, small_host):
    if crowd.blocks and crowd.blocks[0].startswith(crowds.OPEN_REQUEST):
        for zone in platform_harness.ZONES:
            small_host.leaf("single", zone).work = _LONG_WORK
    async with _clients_and_watch(small_host, port) as clients:
        await clients.open(crowd.connections)
        await clients.send(crowd.blocks)


@pytest.mark.parametrize("port", ["clients", "readiness", "metrics", "peers"])
async def test_process_bounds_connections_that_wait_while_it_is_paused(
    port, small_host
):
    """Guards against a queue that is accepted before any of it is counted."""
    front = small_host.fronts[0]
    watch = crowds.Watch(front, crowds.SMALL_HOST)
    async with _clients_and_watch(small_host, port) as clients:
        front.send_signal(signal.SIGSTOP)
        try:
            await clients.open(_WAITING_CONNECTIONS)
        finally:
            front.send_signal(signal.SIGCONT)
        end = time.monotonic() + _ACCEPT_TIME_S
        while time.monotonic() < end:
            watch.sample()
        watch.check()


@pytest.mark.parametrize(("requests", "reads"), [(1, 0), (20, 0), (1, 20)])
async def test_process_bounds_the_answers_that_clients_read_slowly(
    requests, reads, small_host
):
    for zone in platform_harness.ZONES:
        small_host.leaf("single", zone).padding_bytes = _ANSWER_BYTES
    async with _clients_and_watch(small_host, "clients") as clients:
        await clients.open(crowds.CROWD_SIZE)
        await clients.request_one_by_one((crowds.GET + b"\r\n") * requests)
        await clients.read_slowly(reads)


async def test_process_bounds_the_requests_that_are_open(tmp_path):
    """Each query of a caller takes memory for the call to each shard."""
    async with platform_harness.PlatformHarness(
        tmp_path, host_limits=_TINY_HOST, shards=_MANY_SHARDS
    ) as harness:
        for leaf in harness.leafs:
            leaf.work = _LONG_WORK
        async with _clients_and_watch(
            harness, "clients", _TINY_HOST
        ) as clients:
            await clients.open(_OPEN_REQUESTS)
            await clients.send([_GATHER])
            await clients.wait_for_replies()
            for leaf in harness.leafs:
                leaf.work = datetime.timedelta()
