"""Tests that a call gets only the complete answer to its own request.

Guards against answers that are truncated, duplicated, late or belong to another
request.
"""

import asyncio
import datetime
import socket
import struct
import time
import tracemalloc

import pytest

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import directory
from sassafrashold import settings
from sassafrashold.front import _answer_memory
from sassafrashold.front import _leaf_connection
from sassafrashold.front import _leaf_pool
from sassafrashold.platform import wire

# SO_LINGER with a time of 0: closing the socket sends a reset.
_LINGER_ZERO = struct.pack("ii", 1, 0)
_REJECTION = (
    b"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: a\r\n"
    b"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
_OK_TEMPLATE = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: sig\r\n"
    b"Content-Length: 4\r\n\r\n%s"
)


def _ok_answer(request_id, body=b"body"):
    return _OK_TEMPLATE % (request_id, body)


class _ScriptedLeaf:
    """A leaf that answers each request with one list of given chunks.

    The chunk None closes the connection, "reset" resets it. A chunk in a list
    is sent without end, until the other side closes. With `repeats_answers`, a
    connection sends each answer once more, just before its next one.
    """

    def __init__(self, max_answer_bytes=2**30, repeats_answers=False):
        self.repeats_answers = repeats_answers
        self.max_answer_bytes = max_answer_bytes
        self.chunks_by_request = []
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
        self.pool = _leaf_pool.LeafPool(
            wire, clock_lib.SystemClock(), self.max_answer_bytes
        )
        return self

    async def __aexit__(self, *_):
        self.pool.close()
        self._server.close()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        self.connections += 1
        previous = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                chunks = self.chunks_by_request.pop(0)
                if self.repeats_answers:
                    writer.write(previous)
                    previous = b"".join(chunks)
                for chunk in chunks:
                    if chunk is None:
                        writer.close()
                        return
                    if chunk == "reset":
                        sock = writer.get_extra_info("socket")
                        sock.setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO
                        )
                        writer.transport.abort()
                        return
                    while isinstance(chunk, list):
                        writer.write(chunk[0])
                        await writer.drain()
                    writer.write(chunk)
                    await asyncio.sleep(0.01)
        except (asyncio.IncompleteReadError, ConnectionError, IndexError):
            writer.close()
        except asyncio.CancelledError:
            writer.close()

    async def send_request(self, request_id, at_most_once=False, timeout_s=0.5):
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
                *(
                    ()
                    if request_id is None
                    else ((b"Request-Id", request_id.encode()),)
                ),
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


async def test_request_carries_leaf_id_and_remaining_time():
    async with _ScriptedLeaf() as leaf:
        leaf.chunks_by_request = [[_ok_answer(b"a")]]
        result = await leaf.send_request("a")
        assert result.answer.body == b"body"
        assert b"Expect-Instance: i-1\r\n" in leaf.requests[0]
        assert leaf.requests[0].startswith(b"GET /a?b HTTP/1.1\r\n")
        assert b"Deadline-Ms: 4" in leaf.requests[0]


async def test_idle_connection_is_reused():
    async with _ScriptedLeaf() as leaf:
        leaf.chunks_by_request = [[_ok_answer(b"a")], [_ok_answer(b"b")]]
        await leaf.send_request("a")
        await leaf.send_request("b")
        assert leaf.connections == 1


async def test_late_answer_to_earlier_request_is_dropped():
    async with _ScriptedLeaf() as leaf:
        leaf.chunks_by_request = [
            [_ok_answer(b"a")],
            [_ok_answer(b"a", b"old!") + _ok_answer(b"b")],
        ]
        await leaf.send_request("a")
        result = await leaf.send_request("b")
        assert result.answer.body == b"body"


async def test_late_copy_of_a_rejection_is_not_the_answer_to_a_retry():
    # Guards against a request that runs twice: the leaf runs the retry, but
    # the copy says that it did not, so another leaf gets the request too.
    async with _ScriptedLeaf(repeats_answers=True) as leaf:
        leaf.chunks_by_request = [[_REJECTION], [_ok_answer(b"a")]]
        rejected = await leaf.send_request("a", at_most_once=True)
        assert rejected.kind is calls.FailureKind.REJECTED
        result = await leaf.send_request("a", at_most_once=True)
        assert isinstance(result, calls.Answered)
        assert leaf.connections == 2


async def test_request_without_id_never_gets_the_answer_to_another():
    # Guards against a late copy of an answer that goes to another caller: a
    # request without an id accepts an answer with any id.
    async with _ScriptedLeaf(repeats_answers=True) as leaf:
        leaf.chunks_by_request = [[_ok_answer(b"a")], [_REJECTION]]
        await leaf.send_request("a")
        result = await leaf.send_request(None)
        assert result.kind is calls.FailureKind.REJECTED


async def test_retry_after_a_rejection_uses_another_idle_connection():
    # Guards against retries that each open a connection to a busy leaf.
    async with _ScriptedLeaf(repeats_answers=True) as leaf:
        leaf.chunks_by_request = [
            [_ok_answer(b"b")],
            [_REJECTION],
            [_ok_answer(b"a")],
            [_ok_answer(b"c")],
        ]
        other = asyncio.create_task(leaf.send_request("b"))
        await asyncio.sleep(0)
        await leaf.send_request("a")
        await other
        result = await leaf.send_request("a")
        assert isinstance(result, calls.Answered)
        await leaf.send_request("c")
        assert leaf.connections == 2


async def test_connection_with_many_rejections_is_replaced():
    # Guards against connections that remember ids without bound.
    async with _ScriptedLeaf() as leaf:
        ids = [f"r{number}" for number in range(130)]
        leaf.chunks_by_request = [
            [_REJECTION.replace(b": a", b": " + request_id.encode())]
            for request_id in ids
        ]
        for request_id in ids:
            await leaf.send_request(request_id)
        assert leaf.connections == 3


async def test_unexpected_second_answer_closes_connection():
    async with _ScriptedLeaf() as leaf:
        leaf.chunks_by_request = [
            [_ok_answer(b"a"), _ok_answer(b"a", b"more")],
            [_ok_answer(b"b")],
        ]
        await leaf.send_request("a")
        await asyncio.sleep(0.05)
        result = await leaf.send_request("b")
        assert result.answer.body == b"body"
        assert leaf.connections == 2


@pytest.mark.parametrize(
    "chunks",
    [
        [_ok_answer(b"a")[:-2], None],
        [_ok_answer(b"a")[:-2], "reset"],
        [_ok_answer(b"a")[:20], None],
        [b"\x00\x01garbage\r\n\r\n", None],
        [_ok_answer(b"other"), None],
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
async def test_incomplete_or_foreign_answer_counts_as_lost(chunks):
    async with _ScriptedLeaf() as leaf:
        leaf.chunks_by_request = [chunks]
        result = await leaf.send_request("a")
        assert isinstance(result, calls.Failed)
        assert result.kind is calls.FailureKind.LOST
        assert result.may_have_run


async def test_answer_without_length_ends_at_connection_close():
    async with _ScriptedLeaf() as leaf:
        leaf.chunks_by_request = [
            [
                b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
                b"Server-Stamp: sig\r\n\r\nbo",
                b"dy",
                None,
            ]
        ]
        result = await leaf.send_request("a")
        assert result.answer.body == b"body"


async def test_cancelled_call_closes_its_connection():
    async with _ScriptedLeaf() as leaf:
        leaf.chunks_by_request = [[], [_ok_answer(b"b")]]
        with pytest.raises(TimeoutError):
            await leaf.send_request("a", timeout_s=0.05)
        await leaf.send_request("b")
        assert leaf.connections == 2


async def test_refused_connection_is_reported_as_not_sent():
    async with _ScriptedLeaf() as leaf:
        leaf._server.close()
        await leaf._server.wait_closed()
        result = await leaf.send_request("a")
        assert result.kind is calls.FailureKind.NOT_SENT
        assert not result.may_have_run


@pytest.mark.parametrize("turns", range(4))
async def test_connection_made_while_the_event_loop_is_blocked_is_used(turns):
    """Guards against a stall of the host that counts as the leaf's failure."""
    async with _ScriptedLeaf() as leaf:
        leaf.chunks_by_request = [[_ok_answer(b"a")]]
        sending = asyncio.create_task(leaf.send_request("a", timeout_s=10))
        for _ in range(turns):
            await asyncio.sleep(0)
        # Longer than an attempt to connect may last.
        time.sleep(0.3)  # noqa: ASYNC251 - blocks the event loop
        result = await sending
        assert isinstance(result, calls.Answered)


async def test_connection_reported_after_its_time_limit_is_used(monkeypatch):
    loop = asyncio.get_running_loop()
    connect = loop.sock_connect

    async def connect_and_report_late(sock, address):
        await connect(sock, address)
        await asyncio.sleep(10)

    monkeypatch.setattr(loop, "sock_connect", connect_and_report_late)
    async with _ScriptedLeaf() as leaf:
        leaf.chunks_by_request = [[_ok_answer(b"a")]]
        result = await leaf.send_request("a", timeout_s=5)
        assert isinstance(result, calls.Answered)


async def test_attempt_without_an_answer_ends_as_not_sent(monkeypatch):
    loop = asyncio.get_running_loop()

    async def connect_never(sock, address):
        await asyncio.sleep(10)

    monkeypatch.setattr(loop, "sock_connect", connect_never)
    async with _ScriptedLeaf() as leaf:
        result = await leaf.send_request("a", timeout_s=5)
        assert result.kind is calls.FailureKind.NOT_SENT


async def test_failure_kind_follows_status_and_not_executed_header():
    async with _ScriptedLeaf() as leaf:
        leaf.chunks_by_request = [
            [
                b"HTTP/1.1 503 No\r\nRequest-Id: a\r\nNot-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            ],
            [b"HTTP/1.1 421 No\r\nRequest-Id: b\r\nContent-Length: 0\r\n\r\n"],
            [b"HTTP/1.1 503 No\r\nRequest-Id: c\r\nContent-Length: 0\r\n\r\n"],
        ]
        kinds = [(await leaf.send_request(name)).kind for name in "abc"]
        assert kinds == [
            calls.FailureKind.REJECTED,
            calls.FailureKind.WRONG_LEAF,
            calls.FailureKind.ERROR,
        ]


_LENGTH_ANSWER = _ok_answer(b"a")
_CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Stamp: sig\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
_CHUNKED_ANSWER = _CHUNKED_HEAD + b"4\r\nbody\r\n0\r\n\r\n"
_UNFRAMED_HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Stamp: sig\r\n\r\n"
)
_BLOCK = b"x" * 2**16


@pytest.mark.parametrize(
    "data",
    [
        *(_LENGTH_ANSWER[:size] for size in range(len(_LENGTH_ANSWER))),
        *(_CHUNKED_ANSWER[:size] for size in range(len(_CHUNKED_ANSWER))),
        # From the end of the head on, a close is the end of the body.
        *(_UNFRAMED_HEAD[:size] for size in range(len(_UNFRAMED_HEAD))),
    ],
)
async def test_answer_cut_at_any_byte_is_no_answer(data):
    """Guards against a leaf that stops in its head and closes.

    Elsewhere, callers got 200 with an empty or short body, framed as whole.
    """
    async with _ScriptedLeaf() as leaf:
        leaf.chunks_by_request = [[data, None]]
        result = await leaf.send_request("a")
        assert isinstance(result, calls.Failed)
        assert result.may_have_run


@pytest.mark.parametrize("status", [b"000", b"001", b"099", b"600", b"999"])
@pytest.mark.parametrize("header", [b"", b"Not-Executed: 1\r\n"])
async def test_answer_with_a_status_outside_http_is_no_answer(status, header):
    """Guards against a status that callers can't read.

    On a route that is not idempotent, callers got the status of the leaf.
    """
    answer = _ok_answer(b"a").replace(b"200", status)
    async with _ScriptedLeaf() as leaf:
        leaf.chunks_by_request = [
            [answer.replace(b"Server-Stamp", header + b"Server-Stamp")],
            [_ok_answer(b"b")],
        ]
        result = await leaf.send_request("a")
        assert isinstance(result, calls.Failed)
        assert result.kind is calls.FailureKind.LOST
        assert result.answer is None
        assert isinstance(await leaf.send_request("b"), calls.Answered)
        assert leaf.connections == 2


@pytest.mark.parametrize("status", [b"200 OK", b"500 No"])
@pytest.mark.parametrize(
    "name", [b"Server-Stamp", b"Content-Type", b"X-Any", b"Keep-Alive"]
)
@pytest.mark.parametrize(
    "byte", [b"%c" % code for code in (*range(9), *range(10, 32), 127)]
)
async def test_answer_with_a_control_character_in_a_header_is_no_answer(
    byte, name, status
):
    """Guards against replies that can't be written.

    Callers' connections were closed without an answer (review/8).
    """
    answer = _ok_answer(b"a").replace(b"200 OK", status)
    field = name + b": x" + byte + b"y\r\n"
    async with _ScriptedLeaf() as leaf:
        leaf.chunks_by_request = [
            [answer.replace(b"Content-Length", field + b"Content-Length")]
        ]
        result = await leaf.send_request("a")
        assert isinstance(result, calls.Failed)
        # The line ends among them end the header; the rest isn't one.
        assert result.kind is calls.FailureKind.LOST
        assert result.answer is None


async def test_tab_in_a_header_is_passed_on():
    answer = _ok_answer(b"a").replace(
        b"Content-Length", b"X: a\tb\r\nContent-Length"
    )
    async with _ScriptedLeaf() as leaf:
        leaf.chunks_by_request = [[answer]]
        result = await leaf.send_request("a")
        assert isinstance(result, calls.Answered)
        assert ("X", "a\tb") in result.answer.headers()


class _NullTransport(asyncio.Transport):
    def write(self, data):
        pass

    def is_closing(self):
        return False

    def get_write_buffer_size(self):
        return 0


async def test_long_ids_of_failed_requests_are_not_kept():
    """Callers choose the ids, and a host has hundreds of connections."""
    connection = _leaf_connection.LeafConnection(
        asyncio.get_running_loop(), wire, _answer_memory.AnswerMemory(2**30)
    )
    connection.connection_made(_NullTransport())
    tracemalloc.start()
    try:
        for number in range(60):
            request_id = f"{number:02}" + "a" * 16_000
            connection.send(b"", request_id, True, lambda _: None)
            connection.data_received(
                _REJECTION.replace(b" a\r", b" %s\r" % request_id.encode())
            )
            assert connection.is_idle
            assert not connection.may_carry(request_id)
        kept_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert connection.may_carry("another")
    assert kept_bytes < 100_000


_ENDLESS = {
    "head": [b"HTTP/1.1 200 OK\r\n", [b"X-Any: " + b"y" * 1000 + b"\r\n"]],
    "line": [b"HTTP/1.1 200 OK\r\nX-Any: ", [_BLOCK]],
    "interim answers": [[b"HTTP/1.1 102 Processing\r\n\r\n" * 100]],
    "earlier answers": [[_ok_answer(b"other") * 100]],
    "chunked body": [_CHUNKED_HEAD, [b"10000\r\n" + _BLOCK + b"\r\n"]],
    "chunk extension": [_CHUNKED_HEAD, b"4;", [_BLOCK]],
    "trailers": [_CHUNKED_HEAD, b"0\r\n", [b"X: " + b"y" * 1000 + b"\r\n"]],
    "unframed body": [_UNFRAMED_HEAD, [_BLOCK]],
    "no http": [[b"\x00" * 2**16]],
}


@pytest.mark.parametrize("kind", _ENDLESS)
async def test_bytes_without_end_are_given_up(kind):
    async with _ScriptedLeaf() as leaf:
        leaf.chunks_by_request = [_ENDLESS[kind], [_ok_answer(b"b")]]
        result = await leaf.send_request("a", timeout_s=10)
        assert isinstance(result, calls.Failed)
        assert result.may_have_run
        assert leaf.pool.answer_memory.total == 0
        # Other requests go on, on a new connection.
        result = await leaf.send_request("b")
        assert result.answer.body == b"body"


async def test_open_answers_together_stay_within_the_memory_limit():
    limit = 2**22
    async with _ScriptedLeaf(limit) as leaf:
        slow = [_CHUNKED_HEAD + b"10\r\n" + b"z" * 16, None]
        endless = _ENDLESS["chunked body"]
        leaf.chunks_by_request = [endless, endless, slow, endless]
        most = 0

        async def watch():
            nonlocal most
            while True:
                most = max(most, leaf.pool.answer_memory.total)
                await asyncio.sleep(0)

        watcher = asyncio.create_task(watch())
        results = await asyncio.gather(
            *(leaf.send_request("a", timeout_s=10) for _ in range(4))
        )
        watcher.cancel()
        details = sorted(result.detail for result in results)
        assert most <= limit
        assert sum("open answers exceed" in text for text in details) >= 2
        assert leaf.pool.answer_memory.total == 0


@pytest.mark.parametrize(("limit", "connections"), [(0, 2), (1, 1)])
async def test_idle_connections_over_the_limit_are_closed(limit, connections):
    """A leaf that has left must not be called over a connection kept idle."""
    async with _ScriptedLeaf() as leaf:
        leaf.chunks_by_request = [[_ok_answer(b"a")], [_ok_answer(b"b")]]
        await leaf.send_request("a")
        leaf.pool.close_idle(lambda _: limit)
        await leaf.send_request("b")
        assert leaf.connections == connections
