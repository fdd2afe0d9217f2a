"""A TCP proxy that delays, cuts, resets, slows down and repeats data."""

import asyncio
import contextlib
import dataclasses
import random
import socket
import struct
from typing import Any

from sassafrashold import settings

_CHUNK_BYTES = 64 * 1024
_MAX_CHUNKS_IN_FLIGHT = 256
_TRICKLE_STEP_S = 0.05
_LINGER_RESET = struct.pack("ii", 1, 0)
_CUTS = ("none", "both", "to_target", "to_client")

TO_TARGET = "to_target"
TO_CLIENT = "to_client"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """Faults of one link."""

    delay_ms: float = 0.0
    """Added to each chunk, in both directions."""

    jitter_ms: float = 0.0
    """Upper end of a uniform time that is added to each chunk."""

    cut: str = "none"
    """Directions that carry nothing: none, both, to_target, to_client.

    Connections stay open and unaware, as with a half-open connection; what was
    sent meanwhile arrives when the cut ends.
    """

    refuse: bool = False
    """Whether new connections are reset."""

    trickle_bytes_per_second: float = 0.0
    """Rate of each direction; 0 for no limit."""

    duplicate_percent: float = 0.0
    """Chunks that are sent twice, which corrupts the stream."""

    late_percent: float = 0.0
    """Chunks that are held back for `late_ms`."""

    late_ms: float = 0.0
    """How long a late chunk is held back."""

    def with_changes(self, changes: dict[str, Any]) -> "Faults":
        """Returns the faults with some fields replaced.

        Raises:
            ValueError: A field is unknown or has a value that is not allowed.
        """
        known = {field.name for field in dataclasses.fields(self)}
        for name, value in changes.items():
            if name not in known:
                raise ValueError(f"{name}: unknown; known: {sorted(known)}")
            if name == "cut":
                valid = value in _CUTS
            elif name == "refuse":
                valid = isinstance(value, bool)
            else:
                number = isinstance(value, int | float)
                valid = number and not isinstance(value, bool) and value >= 0
            if not valid:
                raise ValueError(f"{name}: value {value!r} is not allowed")
        return dataclasses.replace(self, **changes)


class Link:
    """One listen address and the target that it leads to."""

    def __init__(
        self,
        name: str,
        listen: settings.Address,
        target: settings.Address,
        seed: int,
    ) -> None:
        self.name = name
        self.listen = listen
        self.target = target
        self.connections = 0
        self.bytes_by_direction = {TO_TARGET: 0, TO_CLIENT: 0}
        self._faults = Faults()
        self._changed = asyncio.Event()
        self._random = random.Random(f"{seed}/{name}")
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def faults(self) -> Faults:
        """The faults in force."""
        return self._faults

    @faults.setter
    def faults(self, faults: Faults) -> None:
        self._faults = faults
        self._changed.set()
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listens."""
        self._server = await asyncio.start_server(
            self._accept, self.listen.ip, self.listen.port, backlog=1024
        )

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        self.disconnect()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def disconnect(self) -> None:
        """Resets all connections, on both sides."""
        for writer in list(self._writers):
            _reset(writer)
        # A direction that waits for the end of a cut would not notice.
        for task in list(self._tasks):
            task.cancel()

    def record(self) -> dict[str, Any]:
        """Returns counts and faults."""
        return {
            "connections": self.connections,
            "open": len(self._writers) // 2,
            "bytes": dict(self.bytes_by_direction),
            "faults": dataclasses.asdict(self._faults),
        }

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        if self._faults.refuse:
            _reset(writer)
            return
        self._writers.add(writer)
        upstream: asyncio.StreamWriter | None = None
        try:
            await self._until_open(TO_TARGET)
            target_reader, upstream = await asyncio.open_connection(
                self.target.ip, self.target.port
            )
            self._writers.add(upstream)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, upstream, TO_TARGET))
                group.create_task(self._pump(target_reader, writer, TO_CLIENT))
        except (OSError, ExceptionGroup):
            _reset(writer)
        finally:
            for used in (writer, upstream):
                if used is not None:
                    self._writers.discard(used)
                    used.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        """Carries one direction until its end, with the faults in force.

        Reading goes on while earlier chunks wait, so that a delay does not
        lower the rate.
        """
        loop = asyncio.get_running_loop()
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            _MAX_CHUNKS_IN_FLIGHT
        )

        async def send() -> None:
            while True:
                due, chunk = await queue.get()
                await asyncio.sleep(max(0.0, due - loop.time()))
                await self._until_open(direction)
                if not chunk:
                    with contextlib.suppress(OSError):
                        writer.write_eof()
                    return
                await self._send_chunk(writer, chunk)
                self.bytes_by_direction[direction] += len(chunk)

        async with asyncio.TaskGroup() as group:
            group.create_task(send())
            while True:
                chunk = await reader.read(_CHUNK_BYTES)
                await queue.put((loop.time() + self._draw_delay_s(), chunk))
                if not chunk:
                    return

    def _draw_delay_s(self) -> float:
        faults = self._faults
        delay_ms = faults.delay_ms + self._random.random() * faults.jitter_ms
        if self._random.random() * 100 < faults.late_percent:
            delay_ms += faults.late_ms
        return delay_ms / 1000

    async def _send_chunk(
        self, writer: asyncio.StreamWriter, chunk: bytes
    ) -> None:
        copies = 1
        if self._random.random() * 100 < self._faults.duplicate_percent:
            copies = 2
        for data in (chunk,) * copies:
            await self._send_at_rate(writer, data)

    async def _send_at_rate(
        self, writer: asyncio.StreamWriter, data: bytes
    ) -> None:
        while data:
            rate = self._faults.trickle_bytes_per_second
            size = len(data)
            if rate > 0:
                size = max(1, int(rate * _TRICKLE_STEP_S))
                await asyncio.sleep(min(size, len(data)) / rate)
            writer.write(data[:size])
            await writer.drain()
            data = data[size:]

    async def _until_open(self, direction: str) -> None:
        """Waits while the direction is cut."""
        while self._faults.cut in ("both", direction):
            await self._changed.wait()


def select(links: list[Link], prefix: str) -> list[Link]:
    """Returns the links whose name starts with `prefix`."""
    return [link for link in links if link.name.startswith(prefix)]


def apply_faults(links: list[Link], changes: dict[str, Any]) -> None:
    """Changes faults of links; of all or, on a wrong value, of none.

    Raises:
        ValueError: A field is unknown or has a value that is not allowed.
    """
    changed = [link.faults.with_changes(changes) for link in links]
    for link, faults in zip(links, changed, strict=True):
        link.faults = faults


def _reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    writer.transport.abort()
