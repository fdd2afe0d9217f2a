"""Tests the limits on caller connections and on request sizes.

Guards against callers that open connections and send nothing or incomplete
requests: each connection holds a file descriptor and memory, and a host that
runs out of either serves no requests.
"""

import asyncio
import datetime
import types
from typing import Any

import pytest

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import routing
from sassafrashold.front import _connection_phases
from sassafrashold.front import _requests
from sassafrashold.front.tests import caller_server
from sassafrashold.platform import wire

S = caller_server.S
LIMITS = caller_server.LIMITS


@pytest.mark.parametrize(
    ("phase", "now", "overdue"),
    [
        (_connection_phases.IdlePhase(0 * S), 59 * S, False),
        (_connection_phases.IdlePhase(0 * S), 60 * S, True),
        (_connection_phases.HeadPhase(10 * S), 12.9 * S, False),
        (_connection_phases.HeadPhase(10 * S), 13 * S, True),
        (_connection_phases.RequestPhase(), 1000 * S, False),
    ],
)
def test_is_overdue_applies_limit_of_phase(phase, now, overdue):
    assert _connection_phases.is_overdue(phase, LIMITS, now) is overdue


def test_zero_disables_limit():
    limits = routing.ClientLimits(
        max_header_bytes=0,
        max_body_bytes=0,
        header_timeout=0 * S,
        idle_timeout=0 * S,
    )
    phase = _connection_phases.HeadPhase(0 * S)
    assert not _connection_phases.is_overdue(phase, limits, 1000 * S)


_MINIMAL_TIMEOUT = datetime.timedelta(microseconds=1)


async def test_incomplete_head_is_closed_at_header_timeout():
    async with caller_server.RunningServer() as server:
        reader, writer = await server.connect()
        writer.write(b"GET /a HTTP/1.1\r\nHo")
        await asyncio.sleep(0.05)
        server.close_overdue(idle_timeout=_MINIMAL_TIMEOUT)
        server.close_overdue(header_timeout=_MINIMAL_TIMEOUT)
        assert await asyncio.wait_for(reader.read(), 2) == b""


async def test_idle_timeout_closes_only_connections_without_open_request():
    async with caller_server.RunningServer() as server:
        idle_reader, _ = await server.connect()
        busy_reader, writer = await server.connect()
        writer.write(
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab"
        )
        await asyncio.sleep(0.05)
        server.close_overdue(
            idle_timeout=_MINIMAL_TIMEOUT, header_timeout=_MINIMAL_TIMEOUT
        )
        assert await asyncio.wait_for(idle_reader.read(), 2) == b""
        writer.write(b"cd")
        head = await asyncio.wait_for(busy_reader.readuntil(b"\r\n\r\n"), 2)
        assert head.startswith(b"HTTP/1.1 200")
        assert await busy_reader.readexactly(4) == b"abcd"
        await asyncio.sleep(0.05)
        server.close_overdue(idle_timeout=_MINIMAL_TIMEOUT)
        assert await asyncio.wait_for(busy_reader.read(), 2) == b""


async def test_incomplete_body_is_refused_with_408_at_deadline():
    async with caller_server.RunningServer() as server:
        reader, writer = await server.connect()
        writer.write(
            b"POST /a HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 100\r\n"
            b"Content-Length: 4\r\n\r\nab"
        )
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
        assert head.startswith(b"HTTP/1.1 408")


_POST = b"POST /a HTTP/1.1\r\nHost: h\r\n"


@pytest.mark.parametrize(
    "data",
    [
        _POST + b"Content-Length: 1001\r\n\r\n",
        _POST + b"Content-Length: 99999999999999\r\n\r\nab",
        _POST + b"Transfer-Encoding: chunked\r\n\r\n" + 60 * b"14\r\n"
        b"01234567890123456789\r\n",
    ],
)
async def test_body_above_the_limit_is_refused_before_its_end(data):
    async with caller_server.RunningServer() as server:
        reader, writer = await server.connect()
        writer.write(data)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
        assert head.startswith(b"HTTP/1.1 413")
        assert server.bodies.total == 0


async def test_open_bodies_together_stay_within_the_memory_limit():
    async with caller_server.RunningServer(max_request_bytes=5000) as server:
        connections = []
        for _ in range(8):
            reader, writer = await server.connect()
            writer.write(_POST + b"Content-Length: 1000\r\n\r\n" + b"x" * 900)
            connections.append((reader, writer))
            await asyncio.sleep(0.02)
        refused = connections[5:]
        for reader, _ in refused:
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
            assert head.startswith(b"HTTP/1.1 503")
            assert b"Retry-After" in head
        assert server.bodies.total == 4500
        for reader, writer in connections[:5]:
            writer.write(b"y" * 100)
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
            assert head.startswith(b"HTTP/1.1 200")
            assert await reader.readexactly(1000) == b"x" * 900 + b"y" * 100
        await asyncio.sleep(0.02)
        assert server.bodies.total == 0


async def test_bodies_of_callers_that_leave_are_not_counted():
    async with caller_server.RunningServer() as server:
        _, writer = await server.connect()
        writer.write(_POST + b"Content-Length: 1000\r\n\r\n" + b"x" * 900)
        await asyncio.sleep(0.05)
        assert server.bodies.total == 900
        writer.close()
        await asyncio.sleep(0.05)
        assert server.bodies.total == 0


async def test_pipelined_requests_are_answered_in_order_and_then_idle():
    async with caller_server.RunningServer() as server:
        reader, writer = await server.connect()
        for number in range(100):
            body = b"%03d" % number
            writer.write(_POST + b"Content-Length: 3\r\n\r\n" + body)
        for number in range(100):
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
            assert await reader.readexactly(3) == b"%03d" % number
        await asyncio.sleep(0.05)
        # No head has begun, so only the idle time may close the connection.
        server.close_overdue(header_timeout=_MINIMAL_TIMEOUT)
        writer.write(_POST + b"Content-Length: 3\r\n\r\nend")
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
        assert head.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize(
    ("headers", "body", "cause"),
    [
        (((b"a", b"b" * 1000),), b"", _requests.Cause.HEAD_TOO_LARGE),
        ((), b"b" * 1001, _requests.Cause.BODY_TOO_LARGE),
        (((b"a", b"b" * 999),), b"b" * 1000, _requests.Cause.NO_ROUTE),
    ],
)
async def test_heads_and_bodies_above_size_limits_are_refused(
    headers, body, cause
):
    table: Any = types.SimpleNamespace(
        current=types.SimpleNamespace(client_limits=LIMITS),
        match=lambda host, path: None,
    )
    unused: Any = None
    store_loaded = asyncio.Event()
    store_loaded.set()
    server = _requests.RequestServer(
        table, unused, unused, wire, clock_lib.ManualClock(), store_loaded
    )
    reply = await server.serve(
        calls.ClientRequest(
            request_id="r",
            method="POST",
            target="/a",
            path="/a",
            host="h",
            time_left=None,
            forwarded_headers=headers,
            body=body,
        )
    )
    assert reply.cause is cause
