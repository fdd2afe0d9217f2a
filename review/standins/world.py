"""A store, leafs and front processes, and the record of a run."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

from aiohttp import web

from standins import fronts as fronts_lib
from standins import leaf as leaf_lib
from standins import store as store_lib

HOST = "hufi27.example"
_HELD, _BROKEN, _COULD_NOT_RUN = 0, 1, 2


class World:
    """Everything that a case runs; an asynchronous context manager."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Initializes a world without leafs and fronts."""
        self.folder = folder
        self.store = store_lib.SilentStore()
        self.leafs: list[leaf_lib.Leaf] = []
        self.fronts: list[fronts_lib.Front] = []
        self.store_address = ""
        self.version = 1
        # Addresses of their own, as each front binds the same metrics port.
        self._network = (
            f"127.{random.randrange(1, 250)}.{random.randrange(250)}"
        )
        self._hosts = 0

    async def __aenter__(self) -> "World":
        self._runner = web.AppRunner(
            self.store.application(),
            shutdown_timeout=0.1,
            access_log=None,
            handler_cancellation=True,
        )
        await self._runner.setup()
        ip = self.next_ip()
        await web.TCPSite(self._runner, ip, 0).start()
        self.store_address = f"{ip}:{self._runner.addresses[0][1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        for front in self.fronts:
            front.kill()
        for leaf in self.leafs:
            await leaf.stop()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._runner.cleanup(), 5)

    def next_ip(self) -> str:
        """Returns a loopback address that this world has not used."""
        self._hosts += 1
        return f"{self._network}.{self._hosts}"

    async def add_leaf(self, leaf: leaf_lib.Leaf) -> leaf_lib.Leaf:
        """Starts a leaf and writes its entry."""
        await leaf.start()
        self.leafs.append(leaf)
        await self.store.put("servers", leaf.leaf_id, leaf.entry())
        return leaf

    async def configure(
        self, routes: list[dict[str, object]], services: list[dict[str, object]]
    ) -> None:
        """Writes a version of the configuration."""
        self.version += 3
        await self.store.put(
            "config",
            "main",
            {
                "version": self.version,
                "routes": routes,
                "services": services,
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 262144,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                },
            },
        )

    def add_front(self, name: str, zone: str) -> fronts_lib.Front:
        """Starts a front process."""
        front = fronts_lib.Front(
            self.folder,
            name,
            zone,
            self.next_ip(),
            self.store_address,
            tuple(other.control for other in self.fronts[:3]),
        )
        self.fronts.append(front)
        front.start()
        return front


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path: pathlib.Path) -> None:
        """Empties the file."""
        self._path = path
        self._lines: list[tuple[float, str]] = []
        self.start = time.monotonic()

    def add(self, text: str, at: float | None = None) -> None:
        """Adds a line with its time in seconds since the start."""
        when = (time.monotonic() if at is None else at) - self.start
        self._lines.append((when, text))

    def write(self) -> None:
        """Writes all lines, in order of time."""
        self._path.write_text(
            "".join(
                f"{when:9.3f} {text}\n" for when, text in sorted(self._lines)
            ),
            encoding="utf-8",
        )


Scenario = Callable[[World, Record, bool], Awaitable[list[str]]]


def run(scenario: Scenario, case: pathlib.Path, limit_s: float = 110.0) -> None:
    """Runs a scenario and exits: 1 rule broken, 0 held, 2 could not run.

    Args:
        scenario: Gets the world, the record and whether to bring about the
            disruption; returns how the rule was broken, if it was.
        case: Folder of the case.
        limit_s: Longest run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(case / "record.txt")
    status = _COULD_NOT_RUN
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            breaches = asyncio.run(
                _run(scenario, record, trouble, pathlib.Path(folder), limit_s)
            )
        for breach in breaches:
            record.add(f"BROKEN {breach}")
        status = _BROKEN if breaches else _HELD
        sys.stdout.write(
            "".join(f"{breach}\n" for breach in breaches) or "held\n"
        )
    except (Exception, asyncio.CancelledError) as error:
        record.add(f"could not run: {error!r}")
        sys.stderr.write(f"could not run: {error!r}\n")
    record.write()
    sys.exit(status)


async def _run(
    scenario: Scenario,
    record: Record,
    trouble: bool,
    folder: pathlib.Path,
    limit_s: float,
) -> list[str]:
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    # The processes of the world are ended also when the run is.
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    async with asyncio.timeout(limit_s), World(folder) as world:
        return await scenario(world, record, trouble)
