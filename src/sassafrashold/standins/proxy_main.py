"""The binary `sassafras-proxy`: a fault-injecting TCP proxy."""

import asyncio
import dataclasses
from typing import Any

from aiohttp import web

from sassafrashold import errors
from sassafrashold import process
from sassafrashold import settings
from sassafrashold.standins import _proxy


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProxySettings(process.ProcessSettings):
    """The section `[proxy]`."""

    admin: settings.Address
    """Address of the admin interface."""

    pairs: tuple[str, ...]
    """Links, each `name listen target` with addresses as ip:port."""

    seed: int = 1
    """Seed of jitter and random faults."""


def parse_links(values: ProxySettings) -> list[_proxy.Link]:
    """Returns the links that the settings describe.

    Raises:
        SettingsError: A pair is malformed.
    """
    links = []
    for pair in values.pairs:
        try:
            name, listen, target = pair.split()
            links.append(
                _proxy.Link(
                    name,
                    settings.Address.parse(listen),
                    settings.Address.parse(target),
                    values.seed,
                )
            )
        except ValueError as error:
            raise errors.SettingsError(
                errors.ErrorCode.BAD_SETTINGS,
                f"[proxy] pairs: got {pair!r}; expected `name listen target`",
                field="pairs",
            ) from error
    return links


class _Admin:
    """Handlers of the admin interface."""

    def __init__(self, links: list[_proxy.Link]) -> None:
        self._links = links

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        application = web.Application()
        application.add_routes(
            [
                web.get("/readyz", self._get_ready),
                web.get("/admin/record", self._get_record),
                web.post("/admin/faults", self._post_faults),
                web.post("/admin/disconnect", self._post_disconnect),
            ]
        )
        return application

    async def _get_ready(self, _: web.Request) -> web.Response:
        return web.json_response({"ready": True})

    async def _get_record(self, _: web.Request) -> web.Response:
        return web.json_response(
            {"links": {link.name: link.record() for link in self._links}}
        )

    async def _post_faults(self, request: web.Request) -> web.Response:
        body = await request.json()
        links = self._select(body)
        try:
            _proxy.apply_faults(links, body.get("faults", {}))
        except ValueError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return web.json_response({"links": len(links)})

    async def _post_disconnect(self, request: web.Request) -> web.Response:
        links = self._select(await request.json())
        for link in links:
            link.disconnect()
        return web.json_response({"links": len(links)})

    def _select(self, body: dict[str, Any]) -> list[_proxy.Link]:
        links = _proxy.select(self._links, body.get("link", ""))
        if not links:
            raise web.HTTPNotFound(text=f"no link {body.get('link')!r}")
        return links


async def run(values: ProxySettings, stopping: asyncio.Event) -> None:
    """Carries the links until `stopping` is set."""
    links = parse_links(values)
    for link in links:
        await link.start()
    runner = web.AppRunner(
        _Admin(links).application(), access_log=None, shutdown_timeout=0.1
    )
    await runner.setup()
    await web.TCPSite(runner, values.admin.ip, values.admin.port).start()
    await stopping.wait()
    for link in links:
        await link.close()
    await runner.cleanup()


main = process.command("proxy", ProxySettings, run)

if __name__ == "__main__":
    main()
