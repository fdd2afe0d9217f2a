"""Crowds of clients that send too much or read too little.

Each crowd is bounded in connections and bytes. `Watch` checks a process against
the limits of its host.
"""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import dataclasses
import os
import pathlib
import socket

import platform_harness

from sassafrashold import settings

# The smallest host of the platform.
MEMORY_MB = 200
# Lower than on any host of the platform, so that a small crowd is enough.
MAX_FDS = 500
SMALL_HOST = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
# The platform sets these aside for files.
_FILE_FDS = 200
CROWD_SIZE = 100
LARGE_BODY_BYTES = 2**20
_READ_BUFFER_BYTES = 4096
# Time without a byte sent after which a crowd has sent what is taken from it.
_QUIET_ROUNDS = 6
_ROUND_S = 0.25
MAX_ROUNDS = 240
_REPLY_TIMEOUT_S = 20.0

HOST = platform_harness.HOST.encode()
GET = b"GET /one/x HTTP/1.1\r\nHost: " + HOST + b"\r\n"
_POST = b"POST /one/x HTTP/1.1\r\nHost: " + HOST + b"\r\n"
OPEN_REQUEST = (
    b"POST /long/x HTTP/1.1\r\nHost: " + HOST + b"\r\n"
    b"Deadline-Ms: 60000\r\nContent-Length: 0\r\n\r\n"
)
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

    connections: int = CROWD_SIZE
    """Number of clients."""


_ALL_PORTS = ("clients", "readiness", "metrics", "peers")
_OTHER_PORTS = _ALL_PORTS[1:]
CROWDS = (
    Crowd("head without end", [GET, *_lines(100, 40_000)]),
    Crowd("head over the limit", [GET, *_lines(100, 40_000), b"\r\n"]),
    Crowd(
        "head without end after a request",
        [GET + b"\r\n" + GET, *_lines(100, 40_000)],
    ),
    Crowd(
        "head without end",
        [GET, *_lines(120, 8000)],
        _OTHER_PORTS,
    ),
    Crowd(
        "head of many short lines",
        [GET + _short_lines(110) + b"x: "],
        _ALL_PORTS,
    ),
    Crowd("header without end", [GET, b"x: ", *[b"a" * 2**16] * 64]),
    Crowd("path without end", [b"GET /", *[b"a" * 2**16] * 64], _ALL_PORTS),
    Crowd("empty lines without end", [b"\r\n" * 2**15] * 64, _ALL_PORTS),
    Crowd("line feeds without end", [b"\n" * 2**16] * 64, _ALL_PORTS),
    Crowd(
        "empty lines behind an open request",
        [OPEN_REQUEST, *[b"\r\n" * 2**15] * 64],
    ),
    Crowd(
        "no requests behind an open one",
        [OPEN_REQUEST, *[b"\x00" * 2**16] * 64],
    ),
    Crowd(
        "head without end behind an open request",
        [OPEN_REQUEST + GET, *_lines(100, 40_000)],
    ),
    Crowd(
        "heads behind an open request",
        [
            OPEN_REQUEST,
            *[GET + b"".join(_lines(3, 5000)) + b"\r\n"] * 250,
        ],
    ),
    Crowd(
        "heads of short lines behind an open request",
        [OPEN_REQUEST, *[GET + _short_lines(250) + b"\r\n"] * 64],
    ),
    Crowd(
        "bodies behind an open request",
        [
            OPEN_REQUEST,
            *[_POST + b"Content-Length: 250000\r\n\r\n" + b"b" * 250_000] * 30,
        ],
    ),
    Crowd(
        "protocol change behind an open request",
        [
            OPEN_REQUEST
            + GET
            + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
            *[b"a" * 2**16] * 64,
        ],
    ),
    Crowd(
        "bodies that stop before their end",
        [
            _POST
            + b"Deadline-Ms: 60000\r\n"
            + b"Content-Length: %d\r\n\r\n" % LARGE_BODY_BYTES,
            b"b" * (LARGE_BODY_BYTES - 1),
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
        "trailers without end behind a refused body",
        [
            _POST + b"Transfer-Encoding: chunked\r\n\r\n",
            b"%x\r\n" % (2 * LARGE_BODY_BYTES),
            b"b" * (2 * LARGE_BODY_BYTES) + b"\r\n0\r\n",
            *_lines(100, 40_000),
        ],
    ),
    Crowd(
        "trailers without end",
        [
            _POST + b"Transfer-Encoding: chunked\r\n\r\n",
            b"1\r\nb\r\n0\r\n",
            *_lines(100, 40_000),
        ],
    ),
    Crowd(
        "trailers without end",
        [
            _PEER_POST + b"Transfer-Encoding: chunked\r\n\r\n",
            b"1\r\nb\r\n0\r\n",
            *_lines(120, 8000),
        ],
        ("peers",),
    ),
    Crowd(
        "bodies that stop before their end",
        [
            _PEER_POST + b"Content-Length: %d\r\n\r\n" % LARGE_BODY_BYTES,
            b"b" * (LARGE_BODY_BYTES - 1),
        ],
        ("peers",),
        connections=200,
    ),
    Crowd("connections that send nothing", [], _ALL_PORTS, connections=MAX_FDS),
    Crowd(
        "connections kept after a request",
        [GET + _short_lines(100) + b"\r\n"],
        _ALL_PORTS,
        connections=MAX_FDS,
    ),
)


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
        for _ in range(MAX_ROUNDS):
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
                async with asyncio.timeout(_REPLY_TIMEOUT_S):
                    writer.write(data)
                    await reader.read(1)

    async def wait_for_replies(self) -> None:
        """Reads the first bytes of a reply, or the end, on each connection."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_ROUNDS * _ROUND_S):
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


def address(front: platform_harness.Front, port: str) -> settings.Address:
    address_by_port = {
        "clients": front.url.removeprefix("http://"),
        "readiness": front.ready_url.removeprefix("http://").partition("/")[0],
        "metrics": f"127.0.0.1:{front.metrics_port}",
        "peers": front.control_address,
    }
    return settings.Address.parse(address_by_port[port])
