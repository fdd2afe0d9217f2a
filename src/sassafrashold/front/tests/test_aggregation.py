"""Guards queries that another host gathers, when that host fails.

Each case uses real sockets: what the caller is told must follow from how far
the other host has got.
"""

import asyncio
import datetime
import random
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
from sassafrashold.front import _peer_http
from sassafrashold.front import _request_log
from sassafrashold.front import _requests

_GATHER = routing.Gather(("s0", "s1"), 20, 0.9)
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
)
_REPLY = _requests.Reply(
    200, (("Part-Stamps", "a"),), b"0123456789abcdef", missing=("s1",)
)
_TIME_LEFT = datetime.timedelta(milliseconds=400)
_HEAD_TIMEOUT = datetime.timedelta(milliseconds=150)
_CLOCK = clock_lib.SystemClock()


class _State:
    """Knows that all shards are in the zone of the other hosts."""

    def shards_by_zone(self, shards, _now):
        return {"z1": len(tuple(shards))}


class _Requests:
    """Gathers as the test says."""

    def __init__(self, gather):
        self._gather = gather
        self.messages = []

    def gather_for_peer(self, message):
        self.messages.append(message)
        return self._gather()


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
            cast(Any, requests),
            _request_log.RequestLog(_CLOCK),
            lambda: is_ready,
            _CLOCK,
        )
        await self.serve(server.handle)
        return requests, server

    def use_port(self, port):
        self.choice.set_peers(
            relay.Peer(
                f"z1-{number}",
                "z1",
                settings.Address("127.0.0.1", port),
                200.0 if number == 0 else 20.0,
            )
            for number in range(12)
        )

    async def ask(self):
        return await self.client.gather(
            _GATHER, _MESSAGE, _TIME_LEFT, _HEAD_TIMEOUT
        )

    def is_avoided(self):
        return self.choice.choose({"z1": 2}, _CLOCK.monotonic()) is None

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


async def _reply():
    return _REPLY


async def test_reply_of_the_other_host_is_passed_on_whole(hosts):
    requests, server = await hosts.serve_requests(_reply)
    reply = await hosts.ask()
    assert (reply.status, reply.headers, reply.body, reply.missing) == (
        _REPLY.status,
        _REPLY.headers,
        _REPLY.body,
        _REPLY.missing,
    )
    assert reply.log_fields == {"gathered_by": "z1-0"}
    assert requests.messages == [_MESSAGE]
    assert not hosts.is_avoided()
    assert server.open_queries == 0


@pytest.mark.parametrize("cause", ["not ready", "other configuration"])
async def test_declined_query_is_gathered_here_as_not_run(hosts, cause):
    await hosts.serve_requests(
        _reply if cause == "not ready" else lambda: None, cause != "not ready"
    )
    assert await hosts.ask() == _requests.LocalGather(may_have_run=False)
    assert hosts.is_avoided()


async def test_query_that_reached_no_leaf_is_gathered_here(hosts):
    async def refuse():
        return _requests.local_reply(503, _requests.Cause.OUT_OF_REACH)

    await hosts.serve_requests(refuse)
    assert await hosts.ask() == _requests.LocalGather(may_have_run=False)


async def test_unreachable_host_has_not_run_the_query(hosts, unused_tcp_port):
    hosts.use_port(unused_tcp_port)
    assert await hosts.ask() == _requests.LocalGather(may_have_run=False)
    assert hosts.is_avoided()


async def test_silent_host_may_have_run_the_query(hosts):
    async def stay_silent(_request):
        await asyncio.sleep(60)

    await hosts.serve(stay_silent)
    started = _CLOCK.monotonic()
    assert await hosts.ask() == _requests.LocalGather(may_have_run=True)
    assert _CLOCK.monotonic() - started < _TIME_LEFT
    assert hosts.is_avoided()


@pytest.mark.parametrize("sent_bytes", [0, 5, 60])
async def test_host_that_ends_in_the_middle_of_its_reply_is_a_failure(
    hosts, sent_bytes
):
    """Such a reply must never look like a short or empty answer."""
    data = aggregation.encode_reply(
        aggregation.AggregationReply(200, (), (), None, False, b"1" * 32)
    )

    async def break_off(request):
        response = web.StreamResponse()
        await response.prepare(request)
        if sent_bytes:
            await response.write(data[:sent_bytes])
        request.transport.close()
        return response

    await hosts.serve(break_off)
    reply = await hosts.ask()
    assert (reply.status, reply.cause) == (
        502,
        _requests.Cause.AGGREGATOR_FAILED,
    )
    assert hosts.is_avoided()


async def test_unreadable_reply_is_a_failure(hosts):
    async def answer(_request):
        return web.Response(body=b"not a reply")

    await hosts.serve(answer)
    assert (await hosts.ask()).status == 502


async def test_accepted_query_without_a_reply_ends_at_the_deadline(hosts):
    async def wait():
        await asyncio.sleep(60)

    await hosts.serve_requests(wait)
    reply = await hosts.ask()
    assert (reply.status, reply.cause) == (504, _requests.Cause.DEADLINE)


async def test_caller_that_leaves_ends_the_work_of_the_other_host(hosts):
    started = asyncio.Event()
    cancelled = asyncio.Event()

    async def wait():
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


async def test_malformed_query_is_refused_and_the_host_lives_on(hosts):
    requests, _ = await hosts.serve_requests(_reply)
    address = hosts.choice.choose({"z1": 2}, _CLOCK.monotonic()).address
    async with hosts.http.stream(
        address,
        _aggregation.AGGREGATE_PATH,
        b'{"id": []',
        _TIME_LEFT,
        _HEAD_TIMEOUT,
    ) as response:
        assert response.status == 400
    assert not requests.messages
    assert (await hosts.ask()).status == 200
