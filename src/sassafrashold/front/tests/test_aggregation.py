"""Guards queries that another host gathers, when that host fails.

Each case uses real sockets: what this host may do next must follow from how
far the other host has got.
"""

import asyncio
import datetime
import random
import socket
from typing import Any
from typing import cast

from aiohttp import web
import pytest

from sassafrashold import aggregation
from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import relay
from sassafrashold import routing
from sassafrashold import settings
from sassafrashold.front import _aggregation
from sassafrashold.front import _gathering
from sassafrashold.front import _peer_http

_GATHER = routing.Gather(("s0", "s1", "s2", "s3"), 20, 0.9)
_SHARDS = (0, 2, 3)
_MESSAGE = aggregation.AggregationRequest(
    calls.ClientRequest(
        request_id="r1",
        method="GET",
        target="/a/",
        path="/a/",
        host="h",
        time_left=datetime.timedelta(milliseconds=600),
        forwarded_headers=((b"Request-Id", b"r1"),),
        body=b"",
    ),
    3,
    datetime.timedelta(milliseconds=5),
    _SHARDS,
    1,
)
_RECORDS = b"0123456789abcdef"
_FIRST = aggregation.MergedParts({0: "a", 3: "b"}, _RECORDS, False, True)
_LAST = aggregation.MergedParts({2: "c"}, _RECORDS, True, True)
_TIMES = _gathering.RemoteTimes(
    accept=datetime.timedelta(milliseconds=150),
    first_parts=datetime.timedelta(milliseconds=300),
    end=datetime.timedelta(milliseconds=600),
)
_CLOCK = clock_lib.SystemClock()
_NOT_RUN = _gathering.Declined(may_have_run=False)


class _State:
    """Knows that all shards are in the zone of the other hosts."""

    def zones_by_shard(self, shards, _now):
        return (frozenset({"z1"}),) * len(tuple(shards))


class _Requests:
    """Gathers as the test says."""

    def __init__(self, gather):
        self.messages = []
        self.local_gather = self
        self.gather = gather
        self.configuration_version = _MESSAGE.configuration_version

    def query_of_peer(self, message):
        self.messages.append(message)
        if message.configuration_version != self.configuration_version:
            return None
        return _gathering.Query(
            message.request,
            cast(Any, None),
            _GATHER,
            message.configuration_version,
            _CLOCK.monotonic(),
            cast(Any, None),
            _CLOCK.monotonic(),
        )


class _Hosts:
    """One host that asks, and another one that gathers or fails."""

    def __init__(self):
        self._runner = None
        self.http = _peer_http.PeerHttp()
        self.choice = aggregation.AggregatorChoice(
            "z1-9", "z1", random.Random()
        )
        self.client = _aggregation.AggregationClient(
            self.choice, cast(Any, _State()), self.http, _CLOCK
        )
        self.received = []
        self.peer = None

    async def serve(self, handle):
        self._runner = web.ServerRunner(
            web.Server(handle, handler_cancellation=True)
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.use_port(self._runner.addresses[0][1])

    async def serve_requests(self, gather, is_ready=True):
        requests = _Requests(gather)
        server = _aggregation.AggregationServer(
            cast(Any, requests), lambda: is_ready, _CLOCK
        )
        await self.serve(server.handle)
        return requests, server

    async def serve_bytes(self, data, close=False):
        """Accepts each query and answers with some bytes."""

        async def answer(request):
            await request.read()
            response = web.StreamResponse()
            await response.prepare(request)
            if data:
                await response.write(data)
            if close:
                request.transport.close()
            return response

        await self.serve(answer)

    def use_port(self, port):
        peers = [
            relay.Peer(
                f"z1-{number}",
                "z1",
                settings.Address("127.0.0.1", port),
                200.0 if number == 0 else 20.0,
            )
            for number in range(12)
        ]
        self.peer = peers[0]
        self.choice.set_peers(peers)

    async def ask(self):
        async def on_parts(parts):
            self.received.append(parts)

        assert self.peer is not None
        return await self.client.gather(self.peer, _MESSAGE, _TIMES, on_parts)

    def is_avoided(self):
        (group,) = self.client.divide(_GATHER)
        return group.aggregator is None

    async def close(self):
        await self.http.close()
        if self._runner is not None:
            await self._runner.shutdown()
            await self._runner.cleanup()


@pytest.fixture
async def hosts():
    pair = _Hosts()
    yield pair
    await pair.close()


async def _gather(_query, _shards, _max_missing, on_parts):
    await on_parts(_FIRST)
    await on_parts(_LAST)
    return {"missing": []}


async def _never_called(*_args):
    raise AssertionError("gathered")


async def test_parts_of_the_other_host_arrive_in_order_and_whole(hosts):
    requests, server = await hosts.serve_requests(_gather)
    assert await hosts.ask() == _gathering.Gathered()
    assert hosts.received == [_FIRST, _LAST]
    assert requests.messages == [_MESSAGE]
    assert not hosts.is_avoided()
    assert server.open_queries == 0


@pytest.mark.parametrize("cause", ["not ready", "other configuration"])
async def test_declined_query_has_not_run(hosts, cause):
    requests, _ = await hosts.serve_requests(
        _never_called, is_ready=cause != "not ready"
    )
    requests.configuration_version += cause == "other configuration"
    assert await hosts.ask() == _NOT_RUN
    assert hosts.is_avoided()


async def test_query_that_reached_no_leaf_is_declined(hosts):
    async def send_nothing(_query, _shards, _max_missing, on_parts):
        await on_parts(aggregation.MergedParts({}, b"", True, False))
        return {"missing": ["s0"]}

    await hosts.serve_requests(send_nothing)
    assert await hosts.ask() == _NOT_RUN
    assert hosts.received == []


async def test_unreachable_host_has_not_run_the_query(hosts, unused_tcp_port):
    hosts.use_port(unused_tcp_port)
    assert await hosts.ask() == _NOT_RUN
    assert hosts.is_avoided()


async def test_silent_host_may_have_run_the_query(hosts):
    async def stay_silent(_request):
        await asyncio.sleep(60)

    await hosts.serve(stay_silent)
    started = _CLOCK.monotonic()
    assert await hosts.ask() == _gathering.Declined(may_have_run=True)
    assert _CLOCK.monotonic() - started < _TIMES.end
    assert hosts.is_avoided()


@pytest.mark.parametrize("close", [True, False])
async def test_reply_that_ends_at_any_byte_is_a_failure(hosts, close):
    """Such a reply must never look like a short or empty answer."""
    whole = aggregation.encode_parts(_FIRST) + aggregation.encode_parts(_LAST)
    first_size = len(aggregation.encode_parts(_FIRST))
    sizes = {0, 5, first_size - len(_RECORDS), first_size, len(whole) - 1}
    for size in sorted(sizes):
        hosts.received.clear()
        await hosts.serve_bytes(whole[:size], close)
        assert await hosts.ask() == _gathering.Broken(), size
        assert hosts.received == ([] if size < first_size else [_FIRST])
        assert hosts.is_avoided()


@pytest.mark.parametrize(
    "data",
    [
        b"not parts\n",
        b"{}\n",
        b"0" * 2**20,
        aggregation.encode_parts(
            aggregation.MergedParts({1: "not asked for"}, b"", True, True)
        ),
        aggregation.encode_parts(_FIRST) * 2,
    ],
    ids=["text", "empty", "no line", "other shard", "shard twice"],
)
async def test_unreadable_reply_is_a_failure(hosts, data):
    await hosts.serve_bytes(data)
    assert await hosts.ask() == _gathering.Broken()


async def test_accepted_query_without_parts_is_a_failure_before_its_deadline(
    hosts,
):
    async def wait(*_args):
        await asyncio.sleep(60)

    await hosts.serve_requests(wait)
    started = _CLOCK.monotonic()
    assert await hosts.ask() == _gathering.Broken()
    assert _CLOCK.monotonic() - started < _TIMES.end


async def test_caller_that_leaves_ends_the_work_of_the_other_host(hosts):
    started = asyncio.Event()
    cancelled = asyncio.Event()

    async def wait(*_args):
        started.set()
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    _, server = await hosts.serve_requests(wait)
    task = asyncio.create_task(hosts.ask())
    await started.wait()
    task.cancel()
    async with asyncio.timeout(5):
        await cancelled.wait()
    await asyncio.gather(task, return_exceptions=True)
    assert task.cancelled()
    assert not hosts.is_avoided()
    assert server.open_queries == 0


async def test_query_that_ended_while_its_host_was_frozen_is_not_gathered(
    hosts,
):
    """The host finds the query and the end of its connection together."""
    requests, _ = await hosts.serve_requests(_never_called)
    body = aggregation.encode_request(_MESSAGE)
    address = hosts.peer.address
    connections = []
    for _ in range(3):
        # Blocks the event loop, as a frozen host does.
        connection = socket.create_connection((address.ip, address.port))
        connection.sendall(
            b"POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
            % (_aggregation.AGGREGATE_PATH.encode(), len(body))
            + body
        )
        connections.append(connection)
    for connection in connections:
        connection.close()
    await asyncio.sleep(0.2)
    assert requests.messages == []


async def test_malformed_query_is_refused_and_the_host_lives_on(hosts):
    requests, _ = await hosts.serve_requests(_gather)
    async with hosts.http.stream(
        hosts.peer.address,
        _aggregation.AGGREGATE_PATH,
        b'{"id": []',
        _TIMES.end,
        _TIMES.accept,
    ) as response:
        assert response.status == 400
    assert not requests.messages
    assert await hosts.ask() == _gathering.Gathered()
