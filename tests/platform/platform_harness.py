"""Test harness of the users' platform: store, leafs and front processes."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import datetime
import hashlib
import os
import pathlib
import signal
import subprocess
import sys

import aiohttp
from aiohttp import web
import yarl

from sassafrashold import settings
from sassafrashold.standins import _proxy
from sassafrashold.standins import objects_store
from sassafrashold.standins import ports
from sassafrashold.standins import records_leaf

HOST = "search.example"
SHARDS = ("shard-a", "shard-b", "shard-c")
ZONES = ("z1", "z2")
_START_TIMEOUT_S = 15.0
_LOG_TAIL_CHARACTERS = 2000


def route(name: str, prefix: str, **fields: object) -> dict[str, object]:
    """Returns a route of the configuration; `fields` override defaults."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "type": "idempotent",
        "timeout_ms": 2000,
        "target_latency_ms": 300,
        "priority": 1,
        "attempts": 2,
        **fields,
    }


class Front:
    """A front daemon that runs in a process of its own."""

    def __init__(
        self,
        folder: pathlib.Path,
        name: str,
        store: str,
        seeds: list[str],
        zone: str = "z1",
        host_limits: Mapping[str, int] | None = None,
    ) -> None:
        self.name = name
        self.control_address = f"127.0.0.1:{ports.free_port()}"
        self.metrics_port = ports.free_port()
        self.url = f"http://127.0.0.1:{ports.free_port()}"
        self.ready_url = f"http://127.0.0.1:{ports.free_port()}/readiness"
        self._path = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._path.write_text(
            "\n".join(
                (
                    f"node_name={name}",
                    f"zone={zone}",
                    "ip=127.0.0.1",
                    f"listen.front={self.url.removeprefix('http://')}",
                    "listen.ready="
                    + self.ready_url.removeprefix("http://").partition("/")[0],
                    f"listen.control={self.control_address}",
                    f"seeds={','.join(seeds)}",
                    "bounds.drain_ms=3000",
                    "bounds.grace_s=6",
                    "bounds.retry_budget_ratio=0.2",
                    "bounds.retry_budget_burst=56",
                    "bounds.budget_window_s=10",
                    "bounds.cold_burst_factor=1.5",
                    "bounds.cold_slack=5",
                    f"platform.address={store}",
                    *(
                        f"limits.{limit}={value}"
                        for limit, value in (host_limits or {}).items()
                    ),
                )
            ),
            encoding="utf-8",
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process without waiting until it is ready."""
        environment = {**os.environ, "SASSAFRASHOLD_BOOT": str(self._path)}
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "sassafrashold.platform.main",
                    "--metrics-port",
                    str(self.metrics_port),
                ],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def read_log(self) -> str:
        """Returns the output of all runs of the process so far."""
        return self._log.read_text(encoding="utf-8")

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, which must have been started."""
        assert self.process is not None
        self.process.send_signal(number)

    async def wait_for_exit(self, timeout_s: float) -> int:
        """Waits until the process exits.

        Returns:
            The exit code, negative if a signal ended the process.

        Raises:
            subprocess.TimeoutExpired: The process did not exit in time.
        """
        assert self.process is not None
        return await asyncio.to_thread(self.process.wait, timeout_s)


class PlatformHarness:
    """Runs a store, leafs and front processes.

    An asynchronous context manager: the processes are ready on entry, and
    everything is stopped on exit.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        fronts: int = 1,
        proxied: bool = False,
        host_limits: Mapping[str, int] | None = None,
        max_body_bytes: int = 1000,
        shards: Sequence[str] = SHARDS,
    ) -> None:
        """Initializes the harness.

        Args:
            folder: Where settings and logs are written.
            fronts: Number of front processes.
            proxied: Whether proxies stand before the store and the leafs.
            host_limits: Fields under `limits` in the settings of each front.
            max_body_bytes: Largest body that the configuration allows.
            shards: Services that the gathering route names.
        """
        self._folder = folder
        self._front_count = fronts
        self._proxied = proxied
        self._host_limits = host_limits
        self._max_body_bytes = max_body_bytes
        self._services = (*shards, "single")
        self.links: list[_proxy.Link] = []
        self.store = objects_store.ObjectsStore()
        self.leafs = [
            records_leaf.RecordsLeaf(f"{service}-{zone}", service, zone)
            for service in self._services
            for zone in ZONES
        ]
        self.fronts: list[Front] = []
        self.version = 1
        self.routes = [
            route(
                "all",
                "/all/",
                gather=list(shards),
                top_k=5,
                min_shard_fraction=0.6,
            ),
            route("one", "/one/", service="single"),
            route("once", "/once/", service="single", type="non_idempotent"),
            route(
                "long",
                "/long/",
                service="single",
                type="non_idempotent",
                timeout_ms=20_000,
            ),
        ]

    async def __aenter__(self) -> "PlatformHarness":
        self._runner = web.AppRunner(
            self.store.application(), shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self._store_port = self._runner.addresses[0][1]
        for leaf in self.leafs:
            await leaf.start()
            if self._proxied:
                leaf.listed_address = await self._link(
                    leaf.leaf_id, leaf.address
                )
            await self.put_leaf_entry(leaf)
        await self.publish_configuration()
        self.session = aiohttp.ClientSession()
        for number in range(self._front_count):
            store = f"127.0.0.1:{self._store_port}"
            if self._proxied:
                store = await self._link(f"store-{number}", store)
            front = Front(
                self._folder,
                f"h{number}",
                store,
                [other.control_address for other in self.fronts],
                host_limits=self._host_limits,
            )
            self.fronts.append(front)
            front.start()
        try:
            for front in self.fronts:
                await self.wait_for_readiness(front)
        except (TimeoutError, AssertionError):
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for front in self.fronts:
            if front.process is not None and front.process.poll() is None:
                front.process.kill()
                await front.wait_for_exit(5)
        await self.session.close()
        for link in self.links:
            await link.close()
        for leaf in self.leafs:
            await leaf.stop()
        await self._runner.cleanup()

    async def _link(self, name: str, target: str) -> str:
        """Starts a proxy to `target` and returns its listen address."""
        listen = f"127.0.0.1:{ports.free_port()}"
        link = _proxy.Link(
            name,
            settings.Address.parse(listen),
            settings.Address.parse(target),
            1,
        )
        await link.start()
        self.links.append(link)
        return listen

    def leaf(self, service: str, zone: str) -> records_leaf.RecordsLeaf:
        """Returns the leaf of a service in a zone."""
        return next(
            leaf
            for leaf in self.leafs
            if (leaf.service, leaf.zone) == (service, zone)
        )

    async def put_leaf_entry(
        self, leaf: records_leaf.RecordsLeaf, state: str = "ready"
    ) -> None:
        """Writes the directory entry of a leaf to the store."""
        await self.store.put("servers", leaf.leaf_id, leaf.entry(state))

    async def publish_configuration(self) -> None:
        """Writes the configuration to the store under a higher version."""
        self.version += 3
        await self.write_configuration()

    async def write_configuration(self) -> None:
        """Writes the configuration to the store under its version."""
        await self.store.put(
            "config",
            "main",
            {
                "version": self.version,
                "routes": self.routes,
                "services": [
                    {
                        "name": service,
                        "health_path": "/health",
                        "max_connections": 160,
                        "cold_per_s": 0.0,
                    }
                    for service in self._services
                ],
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": self._max_body_bytes,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                },
            },
        )

    async def wait_for_readiness(
        self, front: Front, expected_status: int = 200
    ) -> None:
        """Waits until the readiness endpoint returns the expected status.

        Raises:
            AssertionError: The process ended; the message has the end of its
                log.
            TimeoutError: The process runs, but did not return the status.
        """
        async with asyncio.timeout(_START_TIMEOUT_S):
            while True:
                exit_code = front.process and front.process.poll()
                assert exit_code is None, (
                    f"{front.name} ended with {exit_code}:\n"
                    + front.read_log()[-_LOG_TAIL_CHARACTERS:]
                )
                try:
                    async with self.session.get(front.ready_url) as answer:
                        if answer.status == expected_status:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    async def wait_until_listening(self, front: Front) -> None:
        """Waits until the port for callers is open.

        The process may not yet accept the connections.
        """
        address = settings.Address.parse(front.url.removeprefix("http://"))
        async with asyncio.timeout(_START_TIMEOUT_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection(
                        address.ip, address.port
                    )
                except ConnectionRefusedError:
                    await asyncio.sleep(0.002)
                    continue
                writer.close()
                return

    async def send_request(
        self,
        path: str,
        request_id: str,
        method: str = "GET",
        front: int = 0,
        deadline_ms: int = 2000,
        body: bytes = b"",
        host: str = HOST,
    ) -> "Answer":
        """Sends one request and returns its answer."""
        start_time = asyncio.get_running_loop().time()
        async with self.session.request(
            method,
            yarl.URL(self.fronts[front].url + path, encoded=True),
            headers={
                "Host": host,
                "Request-Id": request_id,
                "Deadline-Ms": str(deadline_ms),
            },
            data=body or None,
        ) as response:
            data = await response.read()
            return Answer(
                response.status,
                dict(response.headers),
                data,
                datetime.timedelta(
                    seconds=asyncio.get_running_loop().time() - start_time
                ),
            )

    async def wait_until_served(
        self, path: str, timeout_s: float, front: int = 0
    ) -> None:
        """Repeats a request until its status is 200."""
        async with asyncio.timeout(timeout_s):
            answer = await self.send_request(path, "until", front=front)
            while answer.status != 200:
                await asyncio.sleep(0.05)
                answer = await self.send_request(path, "until", front=front)

    async def wait_for_log(
        self, front: Front, matches: Callable[[str], bool], timeout_s: float
    ) -> None:
        """Waits until `matches` is true of the whole log of a process."""
        async with asyncio.timeout(timeout_s):
            while True:
                if matches(front.read_log()):
                    return
                await asyncio.sleep(0.1)

    def runs(self, request_id: str) -> list[records_leaf.Run]:
        """Returns the runs of a request on all leafs."""
        return [
            run
            for leaf in self.leafs
            for run in leaf.runs
            if run.request_id == request_id
        ]


class Answer:
    """The response of a front process to one request."""

    def __init__(
        self,
        status: int,
        headers: dict[str, str],
        body: bytes,
        duration: datetime.timedelta,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.duration = duration

    @property
    def parts(self) -> list[str]:
        """Signatures of the shards that a merged answer includes."""
        text = self.headers.get("Part-Stamps", "")
        return [part.strip() for part in text.split(",") if part.strip()]

    @property
    def missing_shard_count(self) -> int:
        """Number of shards that a merged answer lacks."""
        return int(self.headers.get("Missing-Parts", 0))


def expected_records(services: list[str], request_id: str, count: int) -> bytes:
    """Returns the body of a correct merged answer: the greatest records."""
    records = [
        hashlib.md5(f"{service}/{request_id}/{i}".encode()).digest()
        for service in services
        for i in range(4)
    ]
    return b"".join(sorted(records, reverse=True)[:count])
