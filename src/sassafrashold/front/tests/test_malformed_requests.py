"""Guards the server for callers against generated requests.

Bytes that are no request end at most their own connection, and no request is
read that its caller did not send.
"""

import asyncio
import contextlib
from typing import Any

import hypothesis
from hypothesis import strategies as st

from sassafrashold import clock as clock_lib
from sassafrashold import settings
from sassafrashold import sockets
from sassafrashold.front import _metrics
from sassafrashold.front import _request_bodies
from sassafrashold.front import _request_log
from sassafrashold.front import _requests
from sassafrashold.front import _server
from sassafrashold.platform import wire

_HEAD = b"POST /a?b HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nDeadline-Ms: 90\r\n"
_REQUESTS = [
    b"GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n\r\n",
    _HEAD + b"Content-Length: 4\r\n\r\nbody",
    _HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    _HEAD + b"Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody",
]
_INSERTED = st.binary(max_size=12) | st.sampled_from(
    [
        b"Content-Length: 9\r\n",
        b"Content-Length: -1\r\n",
        b"Content-Length: " + b"9" * 30 + b"\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Deadline-Ms: " + b"9" * 400 + b"\r\n",
        b"Deadline-Ms: -0x1\r\n",
        b"Connection: host, request-id\r\n",
        b"FFFFFFFFFFFFFFFFFFFF\r\n",
        b"Upgrade: h2c\r\nConnection: Upgrade\r\n",
        "Request-Id: \u0663\r\n".encode(),
    ]
)


@st.composite
def _spoiled_requests(draw):
    """Returns a few requests with bytes inserted, replaced or removed."""
    data = b"".join(
        draw(st.lists(st.sampled_from(_REQUESTS), min_size=1, max_size=3))
    )
    for _ in range(draw(st.integers(0, 2))):
        position = draw(st.integers(0, len(data)))
        removed = draw(st.integers(0, 8))
        data = data[:position] + draw(_INSERTED) + data[position + removed :]
    return data


class _Echo:
    """Answers with the body; fails on requests that no leaf could be sent."""

    def __init__(self):
        self.failures = []

    async def serve(self, request):
        for name, value in request.forwarded_headers:
            if b"\r" in name + value or b"\n" in name + value:
                self.failures.append((name, value))
        if "\r" in request.target or "\n" in request.target:
            self.failures.append(request.target)
        return _requests.Reply(200, (), request.body)


@hypothesis.given(_spoiled_requests(), st.integers(1, 80))
@hypothesis.settings(deadline=None)
def test_any_bytes_of_a_caller_end_only_their_own_connection(data, piece):
    async def play():
        unhandled: list[Any] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _loop, context: unhandled.append(context)
        )
        clock = clock_lib.SystemClock()
        echo: Any = _Echo()
        bodies = _request_bodies.RequestBodies(10_000, lambda: 1000)
        server = _server.CallerServer(
            echo,
            wire,
            bodies,
            _metrics.FrontMetrics(),
            _request_log.RequestLog(clock),
            clock,
        )
        listener = sockets.listening_socket(settings.Address("127.0.0.1", 0))
        port = listener.getsockname()[1]
        await server.start(listener)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        with contextlib.suppress(ConnectionError):
            for start in range(0, len(data), piece):
                writer.write(data[start : start + piece])
                await writer.drain()
            writer.write_eof()
            answer = await asyncio.wait_for(reader.read(), 5)
            assert answer == b"" or answer.startswith(b"HTTP/1."), answer
        writer.close()
        other_reader, other = await asyncio.open_connection("127.0.0.1", port)
        other.write(_REQUESTS[1])
        head = await asyncio.wait_for(other_reader.readuntil(b"\r\n\r\n"), 5)
        assert head.startswith(b"HTTP/1.1 200")
        assert await other_reader.readexactly(4) == b"body"
        other.close()
        await server.stop_accepting()
        await server.close(0.1)
        assert echo.failures == []
        assert unhandled == []
        assert bodies.total == 0

    asyncio.run(play())
