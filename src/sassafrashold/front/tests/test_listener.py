"""Guards against connections that are accepted and that nothing counts."""

import asyncio
import contextlib
import errno
import pathlib
import socket

from aiohttp import web
import pytest

from sassafrashold import clock as clock_lib
from sassafrashold import front
from sassafrashold import settings
from sassafrashold import sockets
from sassafrashold.front import _client_memory
from sassafrashold.front import _connection_limits
from sassafrashold.front import _connection_server
from sassafrashold.front import _listener

_REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class _Port:
    """A port with a listener, which replies 200 to each request."""

    def __init__(self, max_connections=1000, socket_type=socket.socket):
        address = settings.Address("127.0.0.1", 0)
        sock = socket_type(fileno=sockets.listening_socket(address).detach())
        self._address = sock.getsockname()
        self.server = _connection_server.ConnectionServer(
            self._handle,
            _connection_limits.ConnectionLimits(
                memory=_client_memory.ClientMemory(
                    10**8, clock_lib.SystemClock()
                ),
                max_header_bytes=lambda: 1000,
                max_connections=max_connections,
            ),
        )
        self.listener = _listener.Listener(self.server, sock)
        self.requests = 0

    async def _handle(self, _request):
        self.requests += 1
        return web.Response()

    def connect(self, data=_REQUEST):
        client = socket.create_connection(self._address)
        client.sendall(data)
        return client

    async def stop(self):
        await self.listener.stop()
        await self.server.close(asyncio.get_running_loop().time() + 1)


async def _wait_until(condition):
    async with asyncio.timeout(2):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0)


async def test_connection_counts_from_the_turn_in_which_it_is_accepted():
    port = _Port()
    port.listener.start()
    with port.connect():
        turns = 0
        while not port.server.open_connections:
            turns += 1
            assert turns <= 2
            await asyncio.sleep(0)
        # Its request has not been read yet.
        assert port.requests == 0
        await port.stop()
        assert port.requests == 1
    assert port.server.open_connections == 0


async def test_accepting_goes_on_after_descriptors_ran_out(caplog):
    class ExhaustedSocket(socket.socket):
        failures = 2

        def accept(self):
            if self.failures:
                self.failures -= 1
                raise OSError(errno.EMFILE, "too many open files")
            return super().accept()

    port = _Port(socket_type=ExhaustedSocket)
    port.listener.start()
    with port.connect():
        await _wait_until(lambda: port.requests == 1)
        assert caplog.text.count("connection not accepted") == 2
        await port.listener.stop()


async def test_burst_of_connections_stays_within_the_limit_in_every_turn():
    # Guards against a process that runs out of descriptors: after a pause the
    # whole queue of connections was accepted before any of them was counted.
    port = _Port(max_connections=20)
    with contextlib.ExitStack() as clients:
        for _ in range(500):
            clients.enter_context(port.connect(b""))
        before = _open_sockets()
        port.listener.start()
        most = 0
        for _ in range(100):
            most = max(most, _open_sockets() - before)
            assert port.server.open_connections <= 20
            await asyncio.sleep(0)
        # A connection that is closed for another one ends up to three turns
        # later, and 32 are accepted in a turn.
        assert 20 <= most <= 20 + 3 * 32
        # The newest ones are kept.
        last = clients.enter_context(port.connect())
        await _wait_until(lambda: port.requests == 1)
        last.settimeout(0)
        assert last.recv(1000).startswith(b"HTTP/1.1 200 ")
        await port.listener.stop()


async def test_connections_that_wait_when_the_port_is_closed_are_served():
    port = _Port(max_connections=200)
    with contextlib.ExitStack() as clients:
        for _ in range(100):
            clients.enter_context(port.connect())
        await port.stop()
        assert port.requests == 100


def _open_sockets():
    return sum(
        path.is_socket() for path in pathlib.Path("/proc/self/fd").iterdir()
    )


@pytest.mark.parametrize(
    "own_accept_loop", ["create_server", "start_server", "TCPSite", "SockSite"]
)
def test_no_port_is_left_to_the_accept_loop_of_a_library(own_accept_loop):
    # Those accept connections that nothing counts yet, on whichever port.
    assert front.__file__ is not None
    folder = pathlib.Path(front.__file__).parent
    assert [
        path.name
        for path in folder.glob("*.py")
        if own_accept_loop in path.read_text(encoding="utf-8")
    ] == []
