"""Guards against clients that exceed the memory or descriptors of a host.

Tests which connections are closed for room, and that requests inside the limits
are served whatever is held for other clients.
"""

import asyncio
import contextlib
import datetime

import pytest

from sassafrashold import clock as clock_lib
from sassafrashold.front import _client_memory
from sassafrashold.front import _requests
from sassafrashold.front.tests import caller_server

S = caller_server.S
_GET = b"GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n"
_POST = b"POST /a HTTP/1.1\r\nHost: h\r\n"


class _Connection:
    def __init__(self, is_served=False):
        self.is_served = is_served
        self.given_up = False

    def give_up(self):
        self.given_up = True


@pytest.mark.parametrize(
    ("holdings", "given_up"),
    [
        # Seconds before the last one, size, whether a request is served.
        ([(0, 60, False), (0, 40, False)], []),
        ([(0, 60, False), (0, 41, False)], [0]),
        ([(9, 30, False), (0, 71, False)], [0]),
        ([(9, 1, False), (1, 90, False), (0, 10, False)], [1]),
        ([(9, 60, True), (0, 41, False)], [1]),
        ([(9, 60, True), (0, 60, True)], [0]),
        ([(9, 6, False), (8, 6, False), (0, 89, False)], [0, 1]),
    ],
)
def test_connections_that_hold_most_for_longest_are_closed(holdings, given_up):
    clock = clock_lib.ManualClock()
    memory = _client_memory.ClientMemory(100, clock)
    connections = [_Connection(served) for _, _, served in holdings]
    oldest = max(age for age, _, _ in holdings)
    in_order = sorted(range(len(holdings)), key=lambda n: -holdings[n][0])
    elapsed = 0
    for number in in_order:
        age, size, _ = holdings[number]
        clock.advance((oldest - age - elapsed) * S)
        elapsed = oldest - age
        memory.hold(connections[number], size)
    assert [n for n, c in enumerate(connections) if c.given_up] == given_up
    assert memory.total <= 100


def test_released_connections_are_not_counted():
    memory = _client_memory.ClientMemory(100, clock_lib.ManualClock())
    first, second = _Connection(), _Connection()
    memory.hold(first, 60)
    memory.hold(first, 50)
    memory.hold(second, 50)
    assert memory.total == 100
    memory.release(first)
    memory.release(first)
    assert memory.total == 50
    assert not first.given_up


def test_age_counts_from_the_current_step():
    clock = clock_lib.ManualClock()
    memory = _client_memory.ClientMemory(100, clock)
    kept, slow = _Connection(), _Connection()
    memory.hold(kept, 50)
    clock.advance(9 * S)
    memory.hold(slow, 40)
    clock.advance(2 * S)
    memory.restart_age(kept)
    clock.advance(1 * S)
    memory.hold(kept, 61)
    assert (kept.given_up, slow.given_up) == (False, True)


def test_requests_are_refused_before_connections_with_requests_are_closed():
    memory = _client_memory.ClientMemory(100, clock_lib.ManualClock())
    served, idle = _Connection(is_served=True), _Connection()
    memory.hold(served, 30)
    memory.hold(idle, 50)
    with memory.reserve(30):
        assert idle.given_up
        assert memory.total == 60
        with (
            pytest.raises(_client_memory.MemoryFullError),
            memory.reserve(21),
        ):
            pass
        memory.hold(served, 60)
        with (
            pytest.raises(_client_memory.MemoryFullError),
            memory.reserve(20),
        ):
            pass
        assert memory.total == 90
    assert memory.total == 60
    assert not served.given_up


async def test_head_over_the_limit_is_refused_before_its_end():
    async with caller_server.RunningServer() as server:
        reader, writer = await server.connect()
        writer.write(_GET + b"x: " + b"a" * 9000)
        data = await asyncio.wait_for(reader.read(), 5)
        assert data.startswith(b"HTTP/1.1 431")
        assert data.endswith(b"\r\n\r\n")


async def test_large_head_within_the_limit_is_served():
    # Framing and request line don't count.
    head = _GET + b"".join(b"x%02d: \r\n" % n for n in range(100)) + b"\r\n"
    async with caller_server.RunningServer() as server:
        reader, writer = await server.connect()
        writer.write(head)
        answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
        assert answer.startswith(b"HTTP/1.1 200")


async def test_head_on_a_kept_connection_has_the_whole_limit():
    head = _GET + b"x: " + b"a" * 900 + b"\r\n\r\n"
    async with caller_server.RunningServer() as server:
        reader, writer = await server.connect()
        for _ in range(20):
            writer.write(head)
            answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
            assert answer.startswith(b"HTTP/1.1 200")


class _HeldRequestServer(caller_server.EchoRequestServer):
    """Holds each request until `go_on` is set, then replies."""

    def __init__(self, body=b""):
        self.began = 0
        self.go_on = asyncio.Event()
        self._body = body

    async def serve(self, request):
        self.began += 1
        await self.go_on.wait()
        return _requests.Reply(200, (), self._body or request.body)


def _replying_with(body):
    requests = _HeldRequestServer(body)
    requests.go_on.set()
    return requests


async def _open_reply(server):
    """Sends a request and returns its connection after the reply's head.

    A writer that is not referenced closes its connection.
    """
    reader, writer = await server.connect()
    writer.write(_GET + b"\r\n")
    await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
    return reader, writer


async def test_requests_behind_an_open_one_are_answered_in_order():
    requests = _HeldRequestServer()
    async with caller_server.RunningServer(requests) as server:
        reader, writer = await server.connect()
        bodies = [b"%04d" % n + b"x" * 900 for n in range(100)]
        for body in bodies:
            writer.write(_POST + b"Content-Length: 904\r\n\r\n" + body)
        await asyncio.sleep(0.1)
        assert requests.began == 1
        assert server.memory.total < 10**6
        requests.go_on.set()
        for body in bodies:
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
            assert await reader.readexactly(904) == body


_LARGE_BODY = bytes(range(256)) * 12_000
_CHUNKS = [
    _LARGE_BODY[start : start + 7777]
    for start in range(0, len(_LARGE_BODY), 7777)
]
_LARGE_REQUESTS = {
    "length": b"Content-Length: %d\r\n\r\n" % len(_LARGE_BODY) + _LARGE_BODY,
    "chunked": b"Transfer-Encoding: chunked\r\n\r\n"
    + b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in _CHUNKS)
    + b"0\r\n\r\n",
}


@pytest.mark.parametrize("framing", _LARGE_REQUESTS)
async def test_large_bodies_behind_each_other_are_read_whole(framing):
    """Guards against reading that stays paused between pieces of a body."""
    data = _POST + _LARGE_REQUESTS[framing]
    async with caller_server.RunningServer(
        max_request_bytes=10**7, max_body_bytes=10**7
    ) as server:
        reader, writer = await server.connect()
        writer.write(data * 3)
        for _ in range(3):
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
            body = await reader.readexactly(len(_LARGE_BODY))
            assert body == _LARGE_BODY


async def test_request_behind_a_declined_upgrade_is_served():
    async with caller_server.RunningServer() as server:
        reader, writer = await server.connect()
        upgrade = b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
        writer.write(_GET + upgrade)
        writer.write(_POST + b"Content-Length: 900\r\n\r\n" + b"b" * 900)
        for size in (0, 900):
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
            assert await reader.readexactly(size) == b"b" * size


async def test_close_behind_an_open_request_is_noticed():
    requests = _HeldRequestServer()
    async with caller_server.RunningServer(requests) as server:
        _, writer = await server.connect()
        writer.write((_GET + b"\r\n") * 20)
        await asyncio.sleep(0.05)
        writer.transport.abort()
        await asyncio.sleep(0.05)
        assert server.server.connections == 0
        assert server.memory.total == 0


async def test_reply_that_is_not_read_holds_its_size_until_it_stalls():
    reply_bytes = 10 * 2**20
    requests = _replying_with(b"a" * reply_bytes)
    async with caller_server.RunningServer(requests) as server:
        reader, _writer = await _open_reply(server)
        assert reply_bytes < server.memory.total < 1.2 * reply_bytes
        data = await asyncio.wait_for(reader.readexactly(reply_bytes), 10)
        assert data == b"a" * reply_bytes
        await asyncio.sleep(0.05)
        assert server.memory.total < 10**5


async def test_unread_replies_are_dropped_for_other_clients():
    requests = _replying_with(b"a" * 8 * 2**20)
    async with caller_server.RunningServer(
        requests, max_client_bytes=20 * 2**20
    ) as server:
        slow = []
        for _ in range(6):
            slow.append(await _open_reply(server))
            assert server.memory.total <= 20 * 2**20
        reader, _writer = await _open_reply(server)
        assert len(await reader.readexactly(8 * 2**20)) == 8 * 2**20
        dropped = 0
        with contextlib.suppress(ConnectionError):
            while data := await asyncio.wait_for(slow[0][0].read(2**16), 2):
                dropped += len(data)
        assert dropped < 8 * 2**20


async def test_connections_over_the_limit_close_the_longest_idle():
    async with caller_server.RunningServer(max_connections=4) as server:
        idle_reader, _idle_writer = await server.connect()
        await asyncio.sleep(0.02)
        _head_reader, head_writer = await server.connect()
        head_writer.write(_GET)
        others = [await server.connect() for _ in range(2)]
        await asyncio.sleep(0.02)
        reader, writer = await server.connect()
        await asyncio.sleep(0.05)
        with contextlib.suppress(ConnectionError):
            assert await asyncio.wait_for(idle_reader.read(), 2) == b""
        for connection in ((reader, writer), *others):
            connection[1].write(_GET + b"\r\n")
            answer = await asyncio.wait_for(
                connection[0].readuntil(b"\r\n\r\n"), 2
            )
            assert answer.startswith(b"HTTP/1.1 200")


async def test_connections_with_an_open_request_are_not_closed_for_others():
    requests = _HeldRequestServer()
    async with caller_server.RunningServer(
        requests, max_connections=4
    ) as server:
        served = [await server.connect() for _ in range(4)]
        for _, writer in served:
            writer.write(_GET + b"\r\n")
        await asyncio.sleep(0.05)
        reader, _ = await server.connect()
        with contextlib.suppress(ConnectionError):
            assert await asyncio.wait_for(reader.read(), 2) == b""
        requests.go_on.set()
        for reader, _ in served:
            answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
            assert answer.startswith(b"HTTP/1.1 200")


async def test_client_that_takes_no_byte_of_its_reply_is_closed(monkeypatch):
    monkeypatch.setattr(
        "sassafrashold.front._connection_phases._REPLY_STALL_TIMEOUT",
        datetime.timedelta(milliseconds=50),
    )
    requests = _replying_with(b"a" * 10 * 2**20)
    async with caller_server.RunningServer(requests) as server:
        _connection = await _open_reply(server)
        async with asyncio.timeout(5):
            while server.server.connections:
                server.close_overdue()
                await asyncio.sleep(0.1)


async def test_drain_ends_connections_whose_reply_is_being_sent():
    requests = _replying_with(b"a" * 10 * 2**20)
    async with caller_server.RunningServer(requests) as server:
        reader, _writer = await _open_reply(server)
        clock = clock_lib.SystemClock()
        server.server.drain(clock.monotonic() + 5 * S)
        closing = asyncio.create_task(server.server.close())
        data = await asyncio.wait_for(reader.read(), 4)
        while not reader.at_eof():
            data += await asyncio.wait_for(reader.read(), 4)
        assert len(data) == 10 * 2**20
        await asyncio.wait_for(closing, 1)
