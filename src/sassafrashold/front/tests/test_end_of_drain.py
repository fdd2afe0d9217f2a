"""Guards against requests that end without an answer when a process stops."""

import asyncio
import datetime
import socket
from typing import Any
from typing import cast

import pytest

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold.calls.tests import call_world
from sassafrashold.front import _requests
from sassafrashold.front.tests import caller_server
from sassafrashold.platform import wire

_REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n\r\n"
_CLOCK = clock_lib.SystemClock()


class _SlowRequestServer:
    """Replies to each request after some time, unless it is cancelled."""

    def __init__(self, reply_after_s=30.0):
        self.stops_at = None
        self.began = 0
        self.cancelled = 0
        self._reply_after_s = reply_after_s

    async def serve(self, request: calls.ClientRequest) -> _requests.Reply:
        self.began += 1
        try:
            await asyncio.sleep(self._reply_after_s)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return _requests.Reply(200, (), b"done")


def _in(seconds):
    return _CLOCK.monotonic() + datetime.timedelta(seconds=seconds)


async def test_requests_open_at_the_end_of_the_drain_get_status_504():
    requests = _SlowRequestServer()
    async with caller_server.RunningServer(requests) as server:
        before = await server.connect()
        before[1].write(_REQUEST)
        await asyncio.sleep(0.05)
        server.server.drain(_in(0.4))
        during = await server.connect()
        during[1].write(_REQUEST)
        await asyncio.sleep(0.05)
        assert requests.began == 2
        loop = asyncio.get_running_loop()
        started = loop.time()
        await server.server.close()
        assert loop.time() - started < 1.0
        for reader, _ in (before, during):
            data = await asyncio.wait_for(reader.read(), 1)
            assert data.startswith(b"HTTP/1.1 504 ")
            assert b"Connection: close" in data
            assert data.endswith(b"stopping\n")
        assert requests.cancelled == 2


async def test_requests_that_end_within_the_drain_are_served():
    requests = _SlowRequestServer(reply_after_s=0.2)
    async with caller_server.RunningServer(requests) as server:
        reader, writer = await server.connect()
        writer.write(_REQUEST)
        await asyncio.sleep(0.05)
        server.server.drain(_in(5))
        await asyncio.wait_for(server.server.close(), 1)
        data = await asyncio.wait_for(reader.read(), 1)
        assert data.startswith(b"HTTP/1.1 200 ")
        assert data.endswith(b"done")


@pytest.mark.parametrize(
    ("usual_ms", "left_ms", "cause"),
    [
        (20, 500, None),
        (20, 50, _requests.Cause.STOPPING),
        (400, 1000, _requests.Cause.STOPPING),
        (400, 1500, None),
    ],
)
async def test_request_that_outlasts_the_drain_as_usual_is_refused_unsent(
    usual_ms, left_ms, cause
):
    # Guards against requests that run once at most and are taken so late that
    # they are cut off: nobody may then send them again.
    world = call_world.World(idempotent=False)
    server: Any = _requests.RequestServer(
        cast(Any, None),
        world.state,
        cast(Any, None),
        wire,
        clock_lib.ManualClock(),
        asyncio.Event(),
    )
    now = server._clock.monotonic()
    latency = world.state.latency(world.route)
    for _ in range(100):
        latency.record(usual_ms * call_world.MS, now)
    deadline = now + 10_000 * call_world.MS
    assert server._known_too_late(world.route, deadline) is None
    server.stops_at = now + left_ms * call_world.MS
    assert server._known_too_late(world.route, deadline) is cause


_UPLOAD_HEAD = (
    b"POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 6\r\n\r\n"
)


async def test_body_that_is_being_received_at_the_close_is_served():
    # Guards against bodies that are read and thrown away: the caller had sent
    # all of its request and got no answer.
    async with caller_server.RunningServer() as server:
        idle_reader, _ = await server.connect()
        reader, writer = await server.connect()
        writer.write(_UPLOAD_HEAD + b"abc")
        await asyncio.sleep(0.05)
        server.server.drain(_in(5))
        closing = asyncio.create_task(server.server.close())
        assert await asyncio.wait_for(idle_reader.read(), 1) == b""
        writer.write(b"def")
        data = await asyncio.wait_for(reader.read(), 1)
        assert data.startswith(b"HTTP/1.1 200 ")
        assert b"Connection: close" in data
        assert data.endswith(b"abcdef")
        await asyncio.wait_for(closing, 1)


async def test_head_that_is_being_received_at_the_close_is_served():
    async with caller_server.RunningServer() as server:
        reader, writer = await server.connect()
        writer.write(_UPLOAD_HEAD[:20])
        await asyncio.sleep(0.05)
        server.server.drain(_in(5))
        closing = asyncio.create_task(server.server.close())
        await asyncio.sleep(0.05)
        writer.write(_UPLOAD_HEAD[20:] + b"abcdef")
        data = await asyncio.wait_for(reader.read(), 1)
        assert data.startswith(b"HTTP/1.1 200 ")
        await asyncio.wait_for(closing, 1)


async def test_body_that_outlasts_the_drain_is_refused_unsent():
    requests = _SlowRequestServer()
    async with caller_server.RunningServer(requests) as server:
        reader, writer = await server.connect()
        writer.write(_UPLOAD_HEAD + b"abc")
        await asyncio.sleep(0.05)
        server.server.drain(_in(0.3))
        await asyncio.wait_for(server.server.close(), 1)
        data = await asyncio.wait_for(reader.read(), 1)
        assert data.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 0" in data
        assert requests.began == 0


# Turns of the event loop from the arrival of a connection in the kernel until
# its request is read, and some more.
@pytest.mark.parametrize("turns", range(10))
async def test_connection_that_comes_as_the_drain_ends_is_served(turns):
    # Guards against review/7: a connection that was accepted, but not handed to
    # the server yet, was served after the drain had ended, and cut by the exit.
    requests = _SlowRequestServer(reply_after_s=0.05)
    async with caller_server.RunningServer(requests) as server:
        server.server.drain(_in(2))
        with socket.create_connection(("127.0.0.1", server.port)) as client:
            client.sendall(_REQUEST)
            for _ in range(turns):
                await asyncio.sleep(0)
            await server.server.stop_accepting()
            await server.server.close()
            began = requests.began
            client.settimeout(0)
            assert client.recv(1000).startswith(b"HTTP/1.1 200 ")
            await asyncio.sleep(0.1)
            assert requests.began == began == 1
