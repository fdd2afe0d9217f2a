"""Runs a generated deployment as separate processes.

For tests, the demo and benchmarks only. Every process is a child of this one
and is ended with it, whatever happens: `Cluster` kills its children when it is
closed or the interpreter exits, and the kernel kills them when the thread that
started them ends in any other way.
"""

import asyncio
import atexit
from collections.abc import AsyncIterator
from collections.abc import Iterable
from collections.abc import Mapping
import contextlib
import os
import pathlib
import signal
import time
import types
from typing import Any

import aiohttp

from sassafrashold import settings
from sassafrashold.standins import _network
from sassafrashold.standins import _process
from sassafrashold.standins import _waiting
from sassafrashold.standins import deployment as deployment_lib

Process = _process.Process
until = _waiting.until
reserved_network = _network.reserved_network

_READY_TIMEOUT_S = 30.0
_HTTP_TIMEOUT = aiohttp.ClientTimeout(total=10)
_DAEMONS = ("control", "owner", "entry")


class Cluster:
    """The processes of one deployment.

    Use as `async with Cluster(deployment, directory) as cluster`.
    """

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        directory: pathlib.Path,
    ) -> None:
        """Writes the files of the deployment into `directory`."""
        self.deployment = deployment
        self.directory = directory
        deployment_lib.write(deployment, directory)
        self.process_by_name: dict[str, Process] = {}
        self._add("platform", "platform", "platform.ini")
        if deployment.proxied:
            self._add("proxy", "proxy", "proxy.ini")
        self.leaf_admins: list[settings.Address] = []
        zones = deployment_lib.leaf_process_zones(deployment)
        for number in range(len(zones)):
            self._add(f"leafs-{number}", "leaf", f"leafs-{number}.ini")
            self.leaf_admins.append(deployment.leaf_admin(number))
        for host in deployment.hosts:
            for binary in _DAEMONS:
                config = f"hosts/{host.name}/{binary}.ini"
                self._add(f"{host.name}/{binary}", binary, config)
        self._session: aiohttp.ClientSession | None = None

    def _add(self, name: str, binary: str, config: str) -> None:
        self.process_by_name[name] = Process(
            name, binary, config, self.directory
        )

    async def __aenter__(self) -> "Cluster":
        atexit.register(self.kill_all)
        self._session = aiohttp.ClientSession(timeout=_HTTP_TIMEOUT)
        try:
            await self.start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        await self.close()

    @property
    def session(self) -> aiohttp.ClientSession:
        """HTTP client for entries and admin interfaces."""
        assert self._session is not None, "the cluster has not been started"
        return self._session

    def host(self, name: str) -> list[Process]:
        """Returns the processes of a host."""
        return [self.process_by_name[f"{name}/{binary}"] for binary in _DAEMONS]

    async def start(self) -> None:
        """Starts all processes and waits until every entry is ready.

        Without a table in the initial objects, entries cannot become ready, so
        it waits only until they listen.
        """
        await self.start_standins()
        names = [host.name for host in self.deployment.hosts]
        for name in names:
            self.start_host(name)
        for host in self.deployment.hosts:
            await self.until_ok(f"http://{host.entry_http}/healthz")
        if self.deployment.with_table:
            await self.hosts_ready(names)

    async def start_standins(self) -> None:
        """Starts platform, proxy and leafs and waits until they answer."""
        admins = [self.deployment.platform_admin, *self.leaf_admins]
        if self.deployment.proxied:
            admins.append(self.deployment.proxy_admin)
        for process in self.process_by_name.values():
            if "/" not in process.name:
                process.start()
        for admin in admins:
            await self.until_ok(f"http://{admin}/readyz")

    def start_host(self, name: str) -> None:
        """Starts the processes of a host that do not run."""
        for process in self.host(name):
            if not process.is_running:
                process.start()

    async def hosts_ready(
        self, names: Iterable[str], timeout_s: float = _READY_TIMEOUT_S
    ) -> None:
        """Waits until the entries of hosts report ready."""
        for name in names:
            address = self.deployment.host_by_name[name].entry_http
            await self.until_ok(f"http://{address}/readyz", timeout_s)

    async def until_ok(
        self, url: str, timeout_s: float = _READY_TIMEOUT_S
    ) -> None:
        """Waits until a URL answers 200.

        Raises:
            RuntimeError: A process ended meanwhile.
            TimeoutError: It did not in time; has the last answer.
        """
        last = "no answer"

        async def answers() -> bool:
            nonlocal last
            self._check_processes()
            try:
                async with self.session.get(url) as response:
                    last = f"{response.status} {await response.text()}"
                    return response.status == 200
            except (aiohttp.ClientError, TimeoutError) as error:
                last = repr(error)
                return False

        try:
            await until(answers, f"{url} is ready", timeout_s)
        except TimeoutError as error:
            raise TimeoutError(f"{error}; last: {last}") from error

    def _check_processes(self) -> None:
        for process in self.process_by_name.values():
            # A process that was told to end exits with 0 or by a signal.
            if (process.returncode or 0) > 0:
                raise RuntimeError(
                    f"{process.name} exited with {process.returncode}:\n"
                    f"{process.log_tail()}"
                )

    async def replace_host(self, name: str) -> None:
        """Ends a host gracefully and starts it anew, as when replaced."""
        await self.stop_host(name)
        self.start_host(name)
        await self.hosts_ready([name])

    async def stop_host(
        self, name: str, timeout_s: float = _process.STOP_TIMEOUT_S
    ) -> dict[str, int]:
        """Ends the processes of a host gracefully; returns exit codes."""
        processes = self.host(name)
        for process in processes:
            process.terminate()
        return {
            process.name: await process.wait(timeout_s) for process in processes
        }

    async def close(self) -> None:
        """Ends all processes: first gracefully, then by SIGKILL."""
        try:
            await self._end_daemons()
        finally:
            await self.abort()

    async def _end_daemons(self) -> None:
        daemons = [p for n, p in self.process_by_name.items() if "/" in n]
        for process in daemons:
            process.resume()
            process.terminate()
        with contextlib.suppress(TimeoutError):
            await until(
                lambda: not any(process.is_running for process in daemons),
                "daemons exit",
                _process.STOP_TIMEOUT_S,
            )

    async def abort(self) -> None:
        """Ends all processes at once."""
        self.kill_all()
        atexit.unregister(self.kill_all)
        if self._session is not None:
            await self._session.close()

    def kill_all(self) -> None:
        """Ends all processes at once."""
        for process in self.process_by_name.values():
            process.kill()

    async def get(self, address: settings.Address, path: str) -> Any:
        """Returns the JSON answer to a GET."""
        async with self.session.get(f"http://{address}{path}") as response:
            return await response.json()

    async def post(
        self,
        address: settings.Address,
        path: str,
        body: Any,
        headers: Mapping[str, str] | None = None,
    ) -> tuple[int, Any]:
        """Returns status and JSON answer of a POST."""
        async with self.session.post(
            f"http://{address}{path}", json=body, headers=headers or {}
        ) as response:
            if response.content_type == "application/json":
                return response.status, await response.json()
            return response.status, await response.text()

    async def search(
        self, host: str, service: str, query: Any, **fields: Any
    ) -> tuple[int, Any]:
        """Sends a search to the entry of a host."""
        return await self.post(
            self.deployment.host_by_name[host].entry_http,
            f"/v1/services/{service}/search",
            {"query": query, **fields},
        )

    async def dispatch(
        self, host: str, service: str, key: str, body: Any, **fields: Any
    ) -> tuple[int, Any]:
        """Sends a dispatch to the entry of a host."""
        return await self.post(
            self.deployment.host_by_name[host].entry_http,
            f"/v1/services/{service}/dispatch",
            {"body": body, **fields},
            {"Idempotency-Key": key},
        )

    async def leaf_records(self, calls: bool = True) -> dict[str, Any]:
        """Returns the record of each leaf by leaf id."""
        suffix = "yes" if calls else "no"
        records: dict[str, Any] = {}
        for admin in self.leaf_admins:
            answer = await self.get(admin, f"/admin/record?calls={suffix}")
            records |= answer["leafs"]
        return records

    async def _leaf_admin(self, path: str, body: dict[str, Any]) -> None:
        statuses = [
            (await self.post(admin, path, body))[0]
            for admin in self.leaf_admins
        ]
        # With several leaf processes, each knows only its own leafs.
        if 200 not in statuses or not set(statuses) <= {200, 404}:
            raise ValueError(f"{path} {body}: {statuses}")

    async def reset_leaf_records(self) -> None:
        """Clears the records of all leafs."""
        await self._leaf_admin("/admin/reset", {})

    async def set_leaf_faults(
        self, selection: Mapping[str, Any], **faults: Any
    ) -> None:
        """Sets faults of the leafs that `selection` names.

        Args:
            selection: Any of leaf (id or list), service, zone, host.
            **faults: Fields of `_profile.Faults`.
        """
        await self._leaf_admin("/admin/faults", {**selection, "faults": faults})

    async def make_leafs_cold(
        self,
        selection: Mapping[str, Any],
        restart: bool = False,
        down_ms: float = 0,
    ) -> None:
        """Makes leafs cold, silently or by a restart that loses calls."""
        await self._leaf_admin(
            "/admin/cold",
            {**selection, "restart": restart, "down_ms": down_ms},
        )

    async def warm_leafs(self, **selection: Any) -> None:
        """Makes leafs warm at once."""
        await self._leaf_admin("/admin/warm", selection)

    async def set_platform_faults(self, **faults: Any) -> None:
        """Sets faults of the platform (`_platform_faults.Faults`)."""
        status, answer = await self.post(
            self.deployment.platform_admin, "/admin/faults", {"faults": faults}
        )
        if status != 200:
            raise ValueError(answer)

    async def set_proxy_faults(self, link: str, **faults: Any) -> None:
        """Sets faults of all links whose name starts with `link`."""
        status, answer = await self.post(
            self.deployment.proxy_admin,
            "/admin/faults",
            {"link": link, "faults": faults},
        )
        if status != 200:
            raise ValueError(answer)

    async def reset_connections(self, link: str) -> None:
        """Resets the open connections of links whose name starts so."""
        await self.post(
            self.deployment.proxy_admin, "/admin/disconnect", {"link": link}
        )

    async def platform_record(self) -> Any:
        """Returns the counts of calls to the platform."""
        return await self.get(self.deployment.platform_admin, "/admin/record")

    async def set_host_states(self, state_by_host: Mapping[str, str]) -> None:
        """Sets hosts in the platform's list: live, leaving or gone."""
        admin = self.deployment.platform_admin
        answer = await self.get(admin, "/admin/hosts")
        lines = [
            {**line, "state": state_by_host.get(line["host"], line["state"])}
            for line in answer["hosts"]
        ]
        lines = [line for line in lines if line["state"] != "gone"]
        async with self.session.put(
            f"http://{admin}/admin/hosts", json={"hosts": lines}
        ) as response:
            response.raise_for_status()


@contextlib.asynccontextmanager
async def running(
    deployment: deployment_lib.Deployment,
    directory: pathlib.Path,
    *,
    graceful_end: bool = True,
) -> AsyncIterator[Cluster]:
    """Runs a deployment in a network of its own for the time of a block.

    Args:
        deployment: What to run.
        directory: Where settings and logs are written.
        graceful_end: Whether the daemons may drain at the end.
    """
    with reserved_network() as network:
        cluster = Cluster(deployment_lib.placed(deployment, network), directory)
        async with cluster:
            try:
                yield cluster
            finally:
                if not graceful_end:
                    await cluster.abort()


def new_run_directory(root: pathlib.Path, name: str) -> pathlib.Path:
    """Creates a directory for the files and logs of a run."""
    directory = root / f"{name}-{time.strftime('%H%M%S')}-{os.getpid()}"
    directory.mkdir(parents=True)
    return directory


def stop_on_signals(task: asyncio.Task[Any]) -> None:
    """Cancels a task on SIGTERM and SIGINT, so that its cleanup runs."""
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, task.cancel)
