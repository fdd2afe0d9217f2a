"""The binary `sassafras-platform`: object store and host list."""

import asyncio
import dataclasses
import json
import pathlib
from typing import Any

from aiohttp import web

from sassafrashold import clock as clock_lib
from sassafrashold import process
from sassafrashold import settings
from sassafrashold.standins import _platform_server
from sassafrashold.standins import _store


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformSettings(process.ProcessSettings):
    """The section `[platform]`."""

    listen: settings.Address
    """Address of the store."""

    admin: settings.Address
    """Address of the admin interface."""

    objects: pathlib.Path | None = None
    """Directory of initial objects; `a/b.json` becomes the object `a/b`."""

    hosts: pathlib.Path | None = None
    """JSON file with the first host list."""

    hosts_lag_ms: int = settings.option(default=0, minimum=0)
    """Time before the host list shows a change."""

    hosts_refresh_ms: int = settings.option(default=1000, minimum=1)
    """Interval at which the platform makes a new host list."""

    seed: int = 1
    """Seed of random faults."""


def load_objects(store: _store.Store, directory: pathlib.Path) -> int:
    """Creates an object for each file of a directory; returns the number."""
    paths = sorted(directory.rglob("*.json"))
    for path in paths:
        key = path.relative_to(directory).with_suffix("").as_posix()
        store.change(key, path.read_bytes(), None)
    return len(paths)


class _Admin:
    """Handlers of the admin interface."""

    def __init__(self, platform: _platform_server.Platform) -> None:
        self._platform = platform

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        application = web.Application()
        application.add_routes(
            [
                web.get("/readyz", self._get_ready),
                web.get("/admin/record", self._get_record),
                web.post("/admin/reset", self._post_reset),
                web.post("/admin/faults", self._post_faults),
                web.get("/admin/hosts", self._get_hosts),
                web.put("/admin/hosts", self._put_hosts),
            ]
        )
        return application

    async def _get_ready(self, _: web.Request) -> web.Response:
        return web.json_response({"ready": True})

    async def _get_record(self, _: web.Request) -> web.Response:
        return web.json_response(
            {
                "calls": dict(self._platform.count_by_kind),
                "calls_by_key": dict(self._platform.count_by_key),
                "faults": dataclasses.asdict(self._platform.faults),
            }
        )

    async def _post_reset(self, _: web.Request) -> web.Response:
        self._platform.count_by_kind.clear()
        self._platform.count_by_key.clear()
        return web.json_response({})

    async def _post_faults(self, request: web.Request) -> web.Response:
        body = await _json_body(request)
        try:
            self._platform.faults = self._platform.faults.with_changes(
                body.get("faults", {})
            )
        except ValueError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return web.json_response(dataclasses.asdict(self._platform.faults))

    async def _get_hosts(self, _: web.Request) -> web.Response:
        hosts = self._platform.hosts
        return web.json_response(
            {"hosts": _platform_server.encode_hosts(hosts.actual)}
        )

    async def _put_hosts(self, request: web.Request) -> web.Response:
        """Sets the hosts and, with `lag_ms`, the lag of the list."""
        body = await _json_body(request)
        hosts = self._platform.hosts
        try:
            if "hosts" in body:
                hosts.set(_platform_server.decode_hosts(body["hosts"]))
            if "lag_ms" in body:
                hosts.lag = clock_lib.from_ms(int(body["lag_ms"]))
        except (ValueError, TypeError) as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return web.json_response({})


async def _json_body(request: web.Request) -> dict[str, Any]:
    try:
        body = await request.json()
    except ValueError as error:
        raise web.HTTPBadRequest(text=str(error)) from error
    if not isinstance(body, dict):
        raise web.HTTPBadRequest(text="expected a JSON object")
    return body


async def run(values: PlatformSettings, stopping: asyncio.Event) -> None:
    """Serves the platform until `stopping` is set."""
    clock = clock_lib.SystemClock()
    store = _store.Store(clock)
    if values.objects is not None:
        load_objects(store, values.objects)
    lines: tuple[_store.HostLine, ...] = ()
    if values.hosts is not None:
        lines = _platform_server.decode_hosts(
            json.loads(values.hosts.read_text(encoding="utf-8"))
        )
    hosts = _store.HostList(
        clock,
        lines,
        clock_lib.from_ms(values.hosts_lag_ms),
        clock_lib.from_ms(values.hosts_refresh_ms),
    )
    platform = _platform_server.Platform(store, hosts, clock, values.seed)
    runners = []
    for application, address in (
        (platform.application(), values.listen),
        (_Admin(platform).application(), values.admin),
    ):
        runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=0.1
        )
        await runner.setup()
        await web.TCPSite(runner, address.ip, address.port).start()
        runners.append(runner)
    await stopping.wait()
    for runner in runners:
        await runner.cleanup()


main = process.command("platform", PlatformSettings, run)

if __name__ == "__main__":
    main()
