"""Clients that send too much or read too little, against real processes.

Guards against clients that make a process exceed the memory of its host or its
descriptors, which ends it with all its requests: heads over the limit or
without end, empty lines without end, bodies and requests that wait behind an
open one, answers that are not read, and connections without end, on each port.

The checks don't depend on the speed of the machine: the process lives, its peak
memory and its open sockets stay under the limits of its host, and an ordinary
request is answered while the crowd is connected and after it has left. The
crowds are bounded in connections and bytes.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import dataclasses
import datetime
import os
import pathlib
import socket

import platform_harness
import pytest

from sassafrashold import settings

# The smallest host of the platform.
_MEMORY_MB = 200
# Lower than on any host of the platform, so that a small crowd is enough.
_MAX_FDS = 500
_SMALL_HOST = {"memory_mb": _MEMORY_MB, "max_fds": _MAX_FDS}
# Less memory, and the descriptors of the smallest host: for open requests.
_TINY_HOST = {"memory_mb": 100, "max_fds": 4100}
_OPEN_REQUESTS = 1000
_MANY_SHARDS = tuple(f"shard-{number:02}" for number in range(42))
# The platform sets these aside for files.
_FILE_FDS = 200
_CROWD = 100
_LARGE_BODY_BYTES = 2**20
_ANSWER_BYTES = 4 * 2**20
_LONG_WORK = datetime.timedelta(seconds=15)
_READ_BUFFER_BYTES = 4096
# Time without a byte sent after which a crowd has sent what is taken from it.
_QUIET_ROUNDS = 6
_ROUND_S = 0.25
_MAX_ROUNDS = 240
_ORDINARY_DEADLINE_MS = 20_000

_HOST = platform_harness.HOST.encode()
_GET = b"GET /one/x HTTP/1.1\r\nHost: " + _HOST + b"\r\n"
_POST = b"POST /one/x HTTP/1.1\r\nHost: " + _HOST + b"\r\n"
_OPEN_REQUEST = (
    b"POST /long/x HTTP/1.1\r\nHost: " + _HOST + b"\r\n"
    b"Deadline-Ms: 60000\r\nContent-Length: 0\r\n\r\n"
)
_GATHER = b"GET /all/x HTTP/1.1\r\nHost: " + _HOST + b"\r\n\r\n"
_PEER_POST = b"POST /v1/leaf-health HTTP/1.1\r\nHost: h\r\n"


def _lines(count: int, size: int) -> list[bytes]:
    """Returns header lines of `size` bytes each."""
    return [b"x-%06d: %s\r\n" % (n, b"a" * (size - 12)) for n in range(count)]


def _short_lines(count: int) -> bytes:
    return b"".join(b"x%d:y\r\n" % number for number in range(count))


@dataclasses.dataclass(frozen=True)
class Crowd:
    """What each of many clients sends before it waits without reading."""

    name: str
    """Names the case."""

    blocks: Sequence[bytes]
    """Bytes to send, in order."""

    ports: tuple[str, ...] = ("clients",)
    """Ports of the process that the case applies to."""

    connections: int = _CROWD
    """Number of clients."""


_ALL_PORTS = ("clients", "readiness", "metrics", "peers")
_OTHER_PORTS = _ALL_PORTS[1:]
_CROWDS = (
    Crowd("head without end", [_GET, *_lines(100, 40_000)]),
    Crowd("head over the limit", [_GET, *_lines(100, 40_000), b"\r\n"]),
    Crowd(
        "head without end after a request",
        [_GET + b"\r\n" + _GET, *_lines(100, 40_000)],
    ),
    Crowd(
        "head without end",
        [_GET, *_lines(120, 8000)],
        _OTHER_PORTS,
    ),
    Crowd(
        "head of many short lines",
        [_GET + _short_lines(110) + b"x: "],
        _ALL_PORTS,
    ),
    Crowd("header without end", [_GET, b"x: ", *[b"a" * 2**16] * 64]),
    Crowd("path without end", [b"GET /", *[b"a" * 2**16] * 64], _ALL_PORTS),
    Crowd("empty lines without end", [b"\r\n" * 2**15] * 64, _ALL_PORTS),
    Crowd("line feeds without end", [b"\n" * 2**16] * 64, _ALL_PORTS),
    Crowd(
        "empty lines behind an open request",
        [_OPEN_REQUEST, *[b"\r\n" * 2**15] * 64],
    ),
    Crowd(
        "no requests behind an open one",
        [_OPEN_REQUEST, *[b"\x00" * 2**16] * 64],
    ),
    Crowd(
        "head without end behind an open request",
        [_OPEN_REQUEST + _GET, *_lines(100, 40_000)],
    ),
    Crowd(
        "heads behind an open request",
        [
            _OPEN_REQUEST,
            *[_GET + b"".join(_lines(3, 5000)) + b"\r\n"] * 250,
        ],
    ),
    Crowd(
        "heads of short lines behind an open request",
        [_OPEN_REQUEST, *[_GET + _short_lines(250) + b"\r\n"] * 64],
    ),
    Crowd(
        "bodies behind an open request",
        [
            _OPEN_REQUEST,
            *[_POST + b"Content-Length: 250000\r\n\r\n" + b"b" * 250_000] * 30,
        ],
    ),
    Crowd(
        "protocol change behind an open request",
        [
            _OPEN_REQUEST
            + _GET
            + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
            *[b"a" * 2**16] * 64,
        ],
    ),
    Crowd(
        "bodies that stop before their end",
        [
            _POST
            + b"Deadline-Ms: 60000\r\n"
            + b"Content-Length: %d\r\n\r\n" % _LARGE_BODY_BYTES,
            b"b" * (_LARGE_BODY_BYTES - 1),
        ],
    ),
    Crowd(
        "bodies without end",
        [
            _POST + b"Transfer-Encoding: chunked\r\n\r\n",
            *[b"10000\r\n" + b"b" * 2**16 + b"\r\n"] * 64,
        ],
    ),
    Crowd(
        "bodies that stop before their end",
        [
            _PEER_POST + b"Content-Length: %d\r\n\r\n" % _LARGE_BODY_BYTES,
            b"b" * (_LARGE_BODY_BYTES - 1),
        ],
        ("peers",),
        connections=200,
    ),
    Crowd(
        "connections that send nothing", [], _ALL_PORTS, connections=_MAX_FDS
    ),
    Crowd(
        "connections kept after a request",
        [_GET + _short_lines(100) + b"\r\n"],
        _ALL_PORTS,
        connections=_MAX_FDS,
    ),
)
_CASES = [(crowd, port) for crowd in _CROWDS for port in crowd.ports]


class Clients:
    """Many open connections to one port of a process."""

    def __init__(self, address: settings.Address) -> None:
        self._address = address
        self._writers: list[asyncio.StreamWriter] = []
        self._readers: list[asyncio.StreamReader] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._bytes_sent = 0

    async def open(self, count: int) -> None:
        """Opens connections; those that are refused are left out."""
        for _ in range(count):
            sock = socket.socket()
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _READ_BUFFER_BYTES
            )
            sock.setblocking(False)
            with contextlib.suppress(OSError):
                await asyncio.get_running_loop().sock_connect(
                    sock, (self._address.ip, self._address.port)
                )
                reader, writer = await asyncio.open_connection(
                    sock=sock, limit=_READ_BUFFER_BYTES
                )
                self._readers.append(reader)
                self._writers.append(writer)

    async def send(self, blocks: Sequence[bytes]) -> None:
        """Sends on each connection what the process takes of the blocks.

        Returns once all is sent or nothing more is taken.
        """
        for writer in self._writers:
            task = asyncio.create_task(self._send(writer, blocks))
            self._tasks.add(task)
        quiet_rounds = 0
        for _ in range(_MAX_ROUNDS):
            before = self._bytes_sent
            await asyncio.sleep(_ROUND_S)
            quiet_rounds = quiet_rounds + 1 if before == self._bytes_sent else 0
            if quiet_rounds == _QUIET_ROUNDS:
                return

    async def _send(
        self, writer: asyncio.StreamWriter, blocks: Sequence[bytes]
    ) -> None:
        with contextlib.suppress(OSError):
            for block in blocks:
                writer.write(block)
                await writer.drain()
                self._bytes_sent += len(block)

    async def request_one_by_one(self, data: bytes) -> None:
        """Sends a request on each connection and reads its first bytes.

        Each waits for the one before, so that leafs send one answer at a time.
        """
        for reader, writer in zip(self._readers, self._writers, strict=True):
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(_ORDINARY_DEADLINE_MS / 1000):
                    writer.write(data)
                    await reader.read(1)

    async def wait_for_replies(self) -> None:
        """Reads the first bytes of a reply, or the end, on each connection."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_MAX_ROUNDS * _ROUND_S):
                for reader in self._readers:
                    with contextlib.suppress(OSError):
                        await reader.read(1)

    async def read_slowly(self, rounds: int) -> None:
        """Reads a few bytes on each connection, in rounds with pauses."""
        for _ in range(rounds):
            for reader in self._readers:
                with contextlib.suppress(OSError, TimeoutError):
                    async with asyncio.timeout(_ROUND_S):
                        await reader.read(_READ_BUFFER_BYTES)
            await asyncio.sleep(_ROUND_S)

    async def close(self) -> None:
        """Resets all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.transport.abort()


class Watch:
    """Peak memory and sockets of one process, against those of its host."""

    def __init__(
        self, front: platform_harness.Front, limits: Mapping[str, int]
    ) -> None:
        assert front.process is not None
        self._limits = limits
        self._process = front.process
        self._folder = pathlib.Path(f"/proc/{front.process.pid}")
        self._most_sockets = 0

    def sample(self) -> None:
        """Counts the sockets that are open now."""
        count = 0
        for entry in os.scandir(self._folder / "fd"):
            with contextlib.suppress(OSError):
                count += os.readlink(entry.path).startswith("socket:")
        self._most_sockets = max(self._most_sockets, count)

    async def run(self) -> None:
        """Samples until it is cancelled or the process ends."""
        with contextlib.suppress(OSError):
            while True:
                self.sample()
                await asyncio.sleep(_ROUND_S)

    def check(self) -> None:
        """Checks that the process lives within the limits of its host."""
        assert self._process.poll() is None, "the process ended"
        status = (self._folder / "status").read_text(encoding="utf-8")
        (peak_kb,) = (
            int(line.split()[1])
            for line in status.splitlines()
            if line.startswith("VmHWM:")
        )
        peak_mb = peak_kb / 1024
        assert peak_mb <= self._limits["memory_mb"], f"peak {peak_mb:.0f} MB"
        assert self._most_sockets <= self._limits["max_fds"] - _FILE_FDS


@pytest.fixture
async def small_host(
    tmp_path: pathlib.Path,
) -> AsyncIterator[platform_harness.PlatformHarness]:
    """A front process with the memory of the smallest host."""
    async with platform_harness.PlatformHarness(
        tmp_path,
        host_limits=_SMALL_HOST,
        max_body_bytes=_LARGE_BODY_BYTES,
    ) as running:
        yield running


def _address(front: platform_harness.Front, port: str) -> settings.Address:
    address_by_port = {
        "clients": front.url.removeprefix("http://"),
        "readiness": front.ready_url.removeprefix("http://").partition("/")[0],
        "metrics": f"127.0.0.1:{front.metrics_port}",
        "peers": front.control_address,
    }
    return settings.Address.parse(address_by_port[port])


@contextlib.asynccontextmanager
async def _clients_and_watch(
    harness: platform_harness.PlatformHarness,
    port: str,
    limits: Mapping[str, int] = _SMALL_HOST,
) -> AsyncIterator[Clients]:
    """Provides clients; checks the process with them and without them."""
    front = harness.fronts[0]
    clients = Clients(_address(front, port))
    watch = Watch(front, limits)
    sampling = asyncio.create_task(watch.run())
    try:
        yield clients
        await _check_ordinary_service(harness, "with-the-crowd")
        watch.check()
    finally:
        await clients.close()
        sampling.cancel()
        await asyncio.gather(sampling, return_exceptions=True)
    await _check_ordinary_service(harness, "after-the-crowd")
    watch.check()


async def _check_ordinary_service(
    harness: platform_harness.PlatformHarness, request_id: str
) -> None:
    # The leafs of the other routes may be busy with requests of the crowd.
    answer = await harness.send_request(
        "/all/x", request_id, deadline_ms=_ORDINARY_DEADLINE_MS
    )
    assert answer.status == 200
    services = [part.partition(".")[0] for part in answer.parts]
    assert answer.body == platform_harness.expected_records(
        services, request_id, 5
    )
    await harness.wait_for_readiness(harness.fronts[0])


@pytest.mark.parametrize(
    ("crowd", "port"),
    _CASES,
    ids=[f"{crowd.name}, {port}" for crowd, port in _CASES],
)
async def test_process_bounds_what_clients_send(crowd, port, small_host):
    if crowd.blocks and crowd.blocks[0].startswith(_OPEN_REQUEST):
        for zone in platform_harness.ZONES:
            small_host.leaf("single", zone).work = _LONG_WORK
    async with _clients_and_watch(small_host, port) as clients:
        await clients.open(crowd.connections)
        await clients.send(crowd.blocks)


@pytest.mark.parametrize(("requests", "reads"), [(1, 0), (20, 0), (1, 20)])
async def test_process_bounds_the_answers_that_clients_read_slowly(
    requests, reads, small_host
):
    for zone in platform_harness.ZONES:
        small_host.leaf("single", zone).padding_bytes = _ANSWER_BYTES
    async with _clients_and_watch(small_host, "clients") as clients:
        await clients.open(_CROWD)
        await clients.request_one_by_one((_GET + b"\r\n") * requests)
        await clients.read_slowly(reads)


async def test_process_bounds_the_requests_that_are_open(tmp_path):
    """Each query of a caller takes memory for the call to each shard."""
    async with platform_harness.PlatformHarness(
        tmp_path, host_limits=_TINY_HOST, shards=_MANY_SHARDS
    ) as harness:
        for leaf in harness.leafs:
            leaf.work = _LONG_WORK
        async with _clients_and_watch(
            harness, "clients", _TINY_HOST
        ) as clients:
            await clients.open(_OPEN_REQUESTS)
            await clients.send([_GATHER])
            await clients.wait_for_replies()
            for leaf in harness.leafs:
                leaf.work = datetime.timedelta()
