"""Guards owners against leafs that send bytes without end.

The owner kept all bytes until it ran out of memory, which ended the calls of
all callers.
"""

import asyncio
import contextlib
import datetime
import tracemalloc

import pytest

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import settings
from sassafrashold.leafs import client as leaf_client

_CLOCK = clock_lib.SystemClock()
_LIMIT = 16 * 2**20
# Sent at most; far more than may be kept, and little enough to end the test.
_SENT = 12 * _LIMIT
_PIECE = b"x" * 2**16
_HEADS = {
    "body without length": b"HTTP/1.1 200 OK\r\n\r\n",
    "chunked body": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"FFFFFFFF\r\n",
    "body with length": b"HTTP/1.1 200 OK\r\n"
    b"Content-Length: 99999999999\r\n\r\n",
    "failure": b"HTTP/1.1 500 Oops\r\n\r\n",
    "head": b"HTTP/1.1 200 OK\r\nX: ",
}


class _EndlessLeaf:
    def __init__(self, head):
        self._head = head
        self.sent = 0

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._head)
            while self.sent < _SENT:
                writer.write(_PIECE)
                await writer.drain()
                self.sent += len(_PIECE)
        writer.close()


@contextlib.asynccontextmanager
async def _client_of(leaf):
    server = await asyncio.start_server(leaf.serve, "127.0.0.1", 0)
    address = settings.Address(*server.sockets[0].getsockname())
    client = leaf_client.LeafClient(address, 1, _CLOCK, 1)
    tracemalloc.start()
    try:
        yield client
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        await client.close()
        server.close()
    assert peak < 2 * _LIMIT


@pytest.mark.parametrize("kind", _HEADS)
async def test_answer_without_end_is_a_failed_call_and_is_not_kept(kind):
    leaf = _EndlessLeaf(_HEADS[kind])
    deadline = _CLOCK.now() + datetime.timedelta(seconds=20)
    async with _client_of(leaf) as client:
        with pytest.raises(errors.LeafError) as caught:
            await client.query("r", "s", "v", (), deadline)
    assert caught.value.ran is errors.Ran.OUTCOME_UNKNOWN
    assert leaf.sent < _SENT


@pytest.mark.parametrize("kind", _HEADS)
async def test_health_report_without_end_is_none(kind):
    async with _client_of(_EndlessLeaf(_HEADS[kind])) as client:
        assert await client.health() is None
