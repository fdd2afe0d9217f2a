"""A small deployment for the cases of the second review.

The entry hosts are real processes, started with the command of
`deploy/system.toml`. The store is the project's own stand-in; leafs and callers
are small ones of this module. All addresses are loopback addresses.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import enum
import itertools
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

from aiohttp import web

from sassafrashold.standins import objects_store

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HOST = "search.example"
STABLE_WINDOW_S = 4.0
DRAIN_S = 3.0
_START_TIMEOUT_S = 20.0
_LEAF_QUEUE = 8
_PASSED_VARIABLES = ("PATH", "HOME", "JAVA_HOME", "LANG")


class Outcome(enum.IntEnum):
    """Exit status of a case."""

    HELD = 0
    BROKEN = 1
    COULD_NOT_RUN = 2


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def add(self, text: str) -> None:
        """Writes one line with the time since the start."""
        seconds = time.monotonic() - self._start
        self._file.write(f"{seconds:8.3f} {text}\n")

    def conclude(self, text: str) -> None:
        """Writes a line to the record and to standard output."""
        self.add(text)
        self._file.flush()
        sys.stdout.write(text + "\n")


@dataclasses.dataclass(frozen=True)
class LeafRequest:
    """A request that reached a leaf."""

    at: float
    request_id: str
    first_line: str
    deadline_ms: int
    body: bytes


Answer = Callable[["Leaf", LeafRequest], bytes]


class Leaf:
    """A leaf: runs `slots` requests at a time and queues a few more.

    `work_s` is drawn for each request; `answer` encodes the answer to a request
    that was run; `reject` answers one that is not.
    """

    def __init__(
        self,
        leaf_id: str,
        service: str,
        zone: str,
        slots: int,
        work_s: Callable[[], float],
        record: Record,
    ) -> None:
        self.leaf_id = leaf_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.answer: Answer = whole_answer
        self.reject: Answer | None = None
        self.born_unix_ms = int(time.time() * 1000)
        self.address = ""
        self.arrived: list[LeafRequest] = []
        self.run_ids: list[str] = []
        self._record = record
        self._free_slots = asyncio.Semaphore(slots)
        self._waiting = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        ip, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"

    async def crash(self) -> None:
        """Stops to listen and resets all connections."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._record.add(f"{self.leaf_id} crashed")

    async def start_again(self, step_back_ms: int) -> None:
        """Starts a new incarnation under the same id, on another port.

        Args:
            step_back_ms: How far the clock of its machine has stepped back.
        """
        self.born_unix_ms = int(time.time() * 1000) - step_back_ms
        await self.start(self.address.partition(":")[0])

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Returns what the leaf writes of itself into the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born_unix_ms,
        }

    def stamp(self, request_id: str) -> str:
        """Returns the signature of this leaf for a request."""
        return f"{self.leaf_id}.{request_id}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:])
        }
        request = LeafRequest(
            time.monotonic(),
            fields.get("request-id", ""),
            lines[0],
            int(fields.get("deadline-ms", "0")),
            await reader.readexactly(int(fields.get("content-length", "0"))),
        )
        if fields.get("expect-instance") != self.leaf_id:
            writer.write(
                encode_answer("421 Misdirected Request", request, "", b"")
            )
            return True
        self.arrived.append(request)
        if self.reject is not None:
            self._record.add(f"{self.leaf_id} rejects {request.request_id}")
            writer.write(self.reject(self, request))
            return True
        if self._waiting >= _LEAF_QUEUE:
            writer.write(not_executed(self, request))
            return True
        self._waiting += 1
        async with self._free_slots:
            self._waiting -= 1
            self._record.add(f"{self.leaf_id} runs {request.request_id}")
            self.run_ids.append(request.request_id)
            if not await self._work(reader):
                return False
        writer.write(self.answer(self, request))
        return True

    async def _work(self, reader: asyncio.StreamReader) -> bool:
        """Works on a request; False if its connection closes meanwhile."""
        closed = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait((closed,), timeout=self.work_s())
            return not closed.done()
        finally:
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)


def encode_answer(
    status: str, request: LeafRequest, fields: str, body: bytes
) -> bytes:
    """Encodes an answer; `fields` are further header lines."""
    return (
        f"HTTP/1.1 {status}\r\nRequest-Id: {request.request_id}\r\n{fields}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode("latin-1") + body


def whole_answer(leaf: Leaf, request: LeafRequest) -> bytes:
    """Returns a signed success."""
    stamp = leaf.stamp(request.request_id)
    body = stamp.encode().ljust(32, b".")
    return encode_answer("200 OK", request, f"Server-Stamp: {stamp}\r\n", body)


def not_executed(_leaf: Leaf, request: LeafRequest) -> bytes:
    """Returns the rejection of a full leaf."""
    return encode_answer(
        "503 Service Unavailable", request, "Not-Executed: 1\r\n", b""
    )


def route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Returns a route of the configuration; `fields` replace defaults."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "type": "idempotent",
        "timeout_ms": 2000,
        "target_latency_ms": 500,
        "priority": 1,
        "attempts": 2,
        **fields,
    }


class EntryHost:
    """A process of the deploy file."""

    def __init__(
        self,
        folder: pathlib.Path,
        name: str,
        zone: str,
        ip: str,
        store: str,
        seeds: Sequence[str],
        link_mbps: int,
    ) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.port = _free_port(ip)
        self.ready_port = _free_port(ip)
        self.control = f"{ip}:{_free_port(ip)}"
        self._settings = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self._settings.write_text(
            f"""node_name={name}
role=front
machine_class=front
serves=front,control_plane
ip={ip}
zone={zone}
region=r
listen.front={ip}:{self.port}
listen.ready={ip}:{self.ready_port}
listen.control={self.control}
seeds={",".join(seeds)}
bootstrap=true
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps={link_mbps}
bounds.stable_window_ms=4000
bounds.drain_ms=3000
bounds.grace_s=6
bounds.config_apply_ms=3000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_burst=56
bounds.cold_burst_factor=1.5
bounds.cold_slack=5
platform.address={store}
platform.form=objects
""",
            encoding="utf-8",
        )

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads(
            (REPOSITORY / "deploy/system.toml").read_text(encoding="utf-8")
        )["roles"]["front"]
        environment = {
            name: os.environ[name]
            for name in _PASSED_VARIABLES
            if name in os.environ
        }
        environment.update(deploy.get("env", {}))
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        environment["SASSAFRASHOLD_BOOT"] = str(self._settings)
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                shlex.split(deploy["run"]),
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    def end(self) -> None:
        """Ends the process."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    async def wait_for_end(self, timeout_s: float) -> None:
        """Waits until the process has ended; kills it if it takes longer."""
        assert self._process is not None
        try:
            await asyncio.to_thread(self._process.wait, timeout_s)
        except subprocess.TimeoutExpired:
            self.end()

    async def is_ready(self, timeout_s: float) -> bool:
        """Asks the readiness address; True for status 200 in time."""
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.ready_port
                )
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_until_ready(self) -> None:
        """Waits for status 200 at the readiness address."""
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not await self.is_ready(1):  # noqa: ASYNC110
                await asyncio.sleep(0.05)


class SmallDeployment:
    """Runs a store, leafs and entry hosts; an asynchronous context manager."""

    def __init__(
        self,
        record: Record,
        zones: Sequence[str],
        hosts: int,
        links_mbps: Sequence[int] = (),
    ) -> None:
        """Initializes the deployment; nothing runs yet.

        Args:
            record: Where all is recorded.
            zones: Names of the availability zones.
            hosts: Number of entry hosts, dealt to the zones in turn.
            links_mbps: Link of each host; 1,000 Mbit/s for all if empty.
        """
        self.record = record
        self.store = objects_store.ObjectsStore()
        self.routes: list[dict[str, Any]] = []
        self.leafs: list[Leaf] = []
        self.hosts: list[EntryHost] = []
        self._zones = zones
        self._links_mbps = tuple(links_mbps) or (1000,) * hosts
        self._version = 1
        self._folder = tempfile.TemporaryDirectory(prefix="review-2-")
        network = f"127.{random.randrange(16, 250)}.{random.randrange(250)}"
        self._ips = (f"{network}.{number}" for number in itertools.count(1))

    def add_leafs(
        self,
        service: str,
        count: int,
        slots: int,
        work_s: Callable[[], float],
    ) -> list[Leaf]:
        """Adds the leafs of a service, spread over the zones."""
        leafs = [
            Leaf(
                f"{service}-{number}",
                service,
                self._zones[number % len(self._zones)],
                slots,
                work_s,
                self.record,
            )
            for number in range(count)
        ]
        self.leafs.extend(leafs)
        return leafs

    async def __aenter__(self) -> "SmallDeployment":
        ip = next(self._ips)
        self._runner = web.AppRunner(
            self.store.application(), shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, ip, 0).start()
        store = f"{ip}:{self._runner.addresses[0][1]}"
        leaf_ip = next(self._ips)
        for leaf in self.leafs:
            await leaf.start(leaf_ip)
            await self.put_entry(leaf)
        await self.publish()
        folder = pathlib.Path(self._folder.name)
        for number, link_mbps in enumerate(self._links_mbps):
            self.hosts.append(
                EntryHost(
                    folder,
                    f"front-{number:02}",
                    self._zones[number % len(self._zones)],
                    next(self._ips),
                    store,
                    [host.control for host in self.hosts[:3]],
                    link_mbps,
                )
            )
        try:
            for host in self.hosts:
                host.start()
            for host in self.hosts:
                await host.wait_until_ready()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for host in self.hosts:
            host.end()
        await self._runner.cleanup()
        self._folder.cleanup()

    async def put_entry(self, leaf: Leaf, state: str = "ready") -> None:
        """Writes the entry of a leaf into the store."""
        await self.store.put("servers", leaf.leaf_id, leaf.entry(state))
        self.record.add(f"store: entry of {leaf.leaf_id} is {state}")

    async def publish(self) -> None:
        """Writes the configuration under a higher version."""
        self._version += 3
        await self.store.put(
            "config",
            "main",
            {
                "version": self._version,
                "routes": list(self.routes),
                "services": [
                    {
                        "name": service,
                        "health_path": "/health",
                        "max_connections": 110,
                        "protocol": "h1",
                        "tls": False,
                        "warmup_s": 3.0,
                        "cold_per_s": 0.0,
                    }
                    for service in sorted({leaf.service for leaf in self.leafs})
                ],
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 262144,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                },
            },
        )
        self.record.add(f"store: configuration {self._version}")


@dataclasses.dataclass(frozen=True)
class Reply:
    """What a caller got for one request."""

    request_id: str
    sent_at: float
    status: int | None
    """None if the connection ended without a whole answer."""
    head: str
    body: bytes
    kept: bool
    """Whether the connection had carried an earlier request."""
    ended_at: float


class Caller:
    """A caller that keeps its connection open for many requests."""

    _numbers = itertools.count(1)

    def __init__(self, host: EntryHost, record: Record) -> None:
        self._host = host
        self._record = record
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def send(
        self,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 2000,
    ) -> Reply:
        """Sends a request and reads its answer, for at most its deadline."""
        request_id = f"{next(self._numbers):08x}"
        sent_at = time.monotonic()
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        data = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n"
            f"{length}\r\n"
        ).encode() + body
        self._record.add(f"caller sends {request_id} {method} {path}")
        status: int | None = None
        head, answer_body, ended = "", b"", ""
        kept = self._streams is not None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                status, head, answer_body = await self._exchange(data)
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            TimeoutError,
        ) as error:
            ended = f" {type(error).__name__}"
            self.close()
        self._record.add(f"caller got {request_id} {status}{ended}")
        return Reply(
            request_id,
            sent_at,
            status,
            head,
            answer_body,
            kept,
            time.monotonic(),
        )

    async def _exchange(self, data: bytes) -> tuple[int, str, bytes]:
        if self._streams is None:
            self._streams = await asyncio.open_connection(
                self._host.ip, self._host.port
            )
        reader, writer = self._streams
        writer.write(data)
        raw = await reader.readuntil(b"\r\n\r\n")
        head = raw.decode("latin-1")
        fields = {
            name.strip().lower(): value.strip()
            for name, _, value in (
                line.partition(":") for line in head.split("\r\n")[1:]
            )
        }
        body = await reader.readexactly(int(fields.get("content-length", "0")))
        if fields.get("connection", "").lower() == "close":
            self.close()
        return int(head.split()[1]), head, body

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


async def load(
    callers: Sequence[Caller],
    seconds: float,
    rate: float,
    send: Callable[[Caller], Awaitable[Reply]],
) -> list[Reply]:
    """Sends requests at a rate, each over the next caller that is free."""
    free: asyncio.Queue[Caller] = asyncio.Queue()
    for caller in callers:
        free.put_nowait(caller)
    replies: list[Reply] = []

    async def one(caller: Caller) -> None:
        replies.append(await send(caller))
        free.put_nowait(caller)

    tasks = []
    start = time.monotonic()
    for number in range(int(seconds * rate)):
        await asyncio.sleep(max(start + number / rate - time.monotonic(), 0))
        tasks.append(asyncio.create_task(one(await free.get())))
    await asyncio.gather(*tasks)
    return replies


def _free_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        port: int = sock.getsockname()[1]
        return port


def run_case(
    folder: pathlib.Path, case: Callable[[Record, bool], Awaitable[Outcome]]
) -> None:
    """Runs a case and exits with its outcome."""
    record = Record(folder)

    async def run() -> Outcome:
        async with asyncio.timeout(115):
            return await case(record, os.environ.get("TROUBLE", "1") != "0")

    try:
        outcome = asyncio.run(run())
    except (OSError, TimeoutError, AssertionError) as error:
        record.conclude(f"the case could not run: {error!r}")
        outcome = Outcome.COULD_NOT_RUN
    record.conclude(f"exit {int(outcome)} ({outcome.name.lower()})")
    sys.exit(int(outcome))
