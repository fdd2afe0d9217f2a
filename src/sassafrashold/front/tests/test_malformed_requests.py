"""Guards the server for callers against generated requests.

Bytes that are no request end at most their own connection, and no request is
read that its caller did not send.
"""

import asyncio
import contextlib

import hypothesis
from hypothesis import strategies as st

from sassafrashold.front.tests import caller_server
from sassafrashold.tests import spoiled_bytes

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
_SPOILED_REQUESTS = spoiled_bytes.spoiled(
    _REQUESTS, _INSERTED, most=3, changes=2, removed=8
)


class _CheckingServer(caller_server.EchoRequestServer):
    """Also notes requests that no leaf could be sent."""

    def __init__(self):
        self.failures = []

    async def serve(self, request):
        for name, value in request.forwarded_headers:
            if b"\r" in name + value or b"\n" in name + value:
                self.failures.append((name, value))
        if "\r" in request.target or "\n" in request.target:
            self.failures.append(request.target)
        return await super().serve(request)


async def _send(server, data, piece):
    """Sends bytes in pieces and returns all that comes back."""
    reader, writer = await server.connect()
    answer = b""
    with contextlib.suppress(ConnectionError):
        for start in range(0, len(data), piece):
            writer.write(data[start : start + piece])
            await writer.drain()
        writer.write_eof()
        answer = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    return answer


@hypothesis.given(_SPOILED_REQUESTS, st.integers(1, 80))
@hypothesis.settings(deadline=None)
def test_any_bytes_of_a_caller_end_only_their_own_connection(data, piece):
    async def play():
        unhandled = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _loop, context: unhandled.append(context)
        )
        requests = _CheckingServer()
        async with caller_server.RunningServer(requests) as server:
            answer = await _send(server, data, piece)
            assert answer == b"" or answer.startswith(b"HTTP/1."), answer
            reader, writer = await server.connect()
            writer.write(_REQUESTS[1])
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
            assert head.startswith(b"HTTP/1.1 200")
            assert await reader.readexactly(4) == b"body"
            writer.close()
        assert requests.failures == []
        assert unhandled == []
        assert server.bodies.total == 0

    asyncio.run(play())
