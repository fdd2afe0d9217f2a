"""Guards against answers that are cut, doubled, late or of another request."""

import asyncio
import datetime
import socket
import struct

import pytest

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import directory
from sassafrashold import settings
from sassafrashold.front import _leaf_pool
from sassafrashold.platform import wire

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_OK = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: sig\r\n"
    b"Content-Length: 4\r\n\r\n%s"
)


def _ok(request_id, body=b"body"):
    return _OK % (request_id, body)


class _Leaf:
    """A leaf that plays given bytes; one list of chunks a request."""

    def __init__(self):
        self.replies = []
        self.requests = []
        self.connections = 0

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.entry = directory.LeafEntry(
            ref=directory.LeafRef("i-1", 1),
            service="s",
            address=settings.Address("127.0.0.1", port),
            zone="z",
            slots=1,
            draining=False,
            cold_for=datetime.timedelta(),
        )
        self.pool = _leaf_pool.LeafPool(wire, clock_lib.SystemClock())
        return self

    async def __aexit__(self, *_):
        self.pool.close()
        self._server.close()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                for chunk in self.replies.pop(0):
                    if chunk is None:
                        writer.close()
                        return
                    if chunk == "reset":
                        sock = writer.get_extra_info("socket")
                        sock.setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                        )
                        writer.transport.abort()
                        return
                    writer.write(chunk)
                    await asyncio.sleep(0.01)
        except (asyncio.IncompleteReadError, ConnectionError, IndexError):
            writer.close()
        except asyncio.CancelledError:
            writer.close()

    async def ask(self, request_id, at_most_once=False, timeout_s=0.5):
        result = asyncio.get_running_loop().create_future()
        request = calls.ClientRequest(
            request_id=request_id,
            method="GET",
            target="/a?b",
            path="/a",
            host="h",
            time_left=None,
            forwarded_headers=(
                (b"Host", b"h"),
                (b"Request-Id", request_id.encode()),
            ),
            body=b"",
        )
        call = self.pool.call(
            self.entry,
            request,
            datetime.timedelta(seconds=timeout_s),
            at_most_once,
            result.set_result,
        )
        try:
            return await asyncio.wait_for(result, timeout_s)
        except TimeoutError:
            call.cancel()
            raise


async def test_a_request_names_the_leaf_and_the_time_that_is_left():
    async with _Leaf() as leaf:
        leaf.replies = [[_ok(b"a")]]
        result = await leaf.ask("a")
        assert result.answer.body == b"body"
        assert b"Expect-Instance: i-1\r\n" in leaf.requests[0]
        assert leaf.requests[0].startswith(b"GET /a?b HTTP/1.1\r\n")
        assert b"Deadline-Ms: 4" in leaf.requests[0]


async def test_a_connection_is_used_again():
    async with _Leaf() as leaf:
        leaf.replies = [[_ok(b"a")], [_ok(b"b")]]
        await leaf.ask("a")
        await leaf.ask("b")
        assert leaf.connections == 1


async def test_a_late_answer_to_an_earlier_request_is_dropped():
    async with _Leaf() as leaf:
        leaf.replies = [[_ok(b"a")], [_ok(b"a", b"old!") + _ok(b"b")]]
        await leaf.ask("a")
        result = await leaf.ask("b")
        assert result.answer.body == b"body"


async def test_a_second_answer_closes_the_connection():
    async with _Leaf() as leaf:
        leaf.replies = [[_ok(b"a"), _ok(b"a", b"more")], [_ok(b"b")]]
        await leaf.ask("a")
        await asyncio.sleep(0.05)
        result = await leaf.ask("b")
        assert result.answer.body == b"body"
        assert leaf.connections == 2


@pytest.mark.parametrize(
    "chunks",
    [
        [_ok(b"a")[:-2], None],
        [_ok(b"a")[:-2], "reset"],
        [_ok(b"a")[:20], None],
        [b"\x00\x01garbage\r\n\r\n", None],
        [_ok(b"other"), None],
        ["reset"],
        [None],
        [
            b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Stamp: sig\r\n\r\nbo",
            "reset",
        ],
        [
            b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Stamp: sig\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n",
            None,
        ],
    ],
)
async def test_an_answer_that_is_not_whole_is_lost(chunks):
    async with _Leaf() as leaf:
        leaf.replies = [chunks]
        result = await leaf.ask("a")
        assert isinstance(result, calls.Failed)
        assert result.kind is calls.FailureKind.LOST
        assert result.may_have_run


async def test_an_answer_without_length_ends_with_its_connection():
    async with _Leaf() as leaf:
        leaf.replies = [
            [
                b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
                b"Server-Stamp: sig\r\n\r\nbo",
                b"dy",
                None,
            ]
        ]
        result = await leaf.ask("a")
        assert result.answer.body == b"body"


async def test_a_cancelled_call_closes_its_connection():
    async with _Leaf() as leaf:
        leaf.replies = [[], [_ok(b"b")]]
        with pytest.raises(TimeoutError):
            await leaf.ask("a", timeout_s=0.05)
        await leaf.ask("b")
        assert leaf.connections == 2


async def test_a_refused_connection_did_not_send_the_request():
    async with _Leaf() as leaf:
        leaf._server.close()
        await leaf._server.wait_closed()
        result = await leaf.ask("a")
        assert result.kind is calls.FailureKind.NOT_SENT
        assert not result.may_have_run


async def test_a_leaf_that_says_not_run_is_believed():
    async with _Leaf() as leaf:
        leaf.replies = [
            [
                b"HTTP/1.1 503 No\r\nRequest-Id: a\r\nNot-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            ],
            [b"HTTP/1.1 421 No\r\nRequest-Id: b\r\nContent-Length: 0\r\n\r\n"],
            [b"HTTP/1.1 503 No\r\nRequest-Id: c\r\nContent-Length: 0\r\n\r\n"],
        ]
        kinds = [(await leaf.ask(name)).kind for name in "abc"]
        assert kinds == [
            calls.FailureKind.REJECTED,
            calls.FailureKind.WRONG_LEAF,
            calls.FailureKind.ERROR,
        ]
