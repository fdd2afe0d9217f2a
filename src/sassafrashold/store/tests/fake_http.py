"""The platform's HTTP interface on top of a `MemoryStore`; for tests."""

import contextlib
import datetime

from aiohttp import web
from aiohttp.test_utils import TestServer

from sassafrashold import errors
from sassafrashold import settings


def _etag(version):
    return {"ETag": f'"{version}"'}


def application(store):
    """Returns the routes of the store and of the host list."""

    async def get(request):
        key = request.match_info["key"]
        known = request.headers.get("If-None-Match", '"0"').strip('"')
        wait = request.headers.get("Prefer", "wait=0").removeprefix("wait=")
        if wait == "0":
            stored = await store.get(key)
        else:
            stored = await store.watch(
                key, int(known), datetime.timedelta(seconds=float(wait))
            )
        if stored is None:
            absent = store.current(key) is None
            return web.Response(status=404 if absent else 304)
        return web.Response(body=stored.value, headers=_etag(stored.version))

    async def write(request):
        key = request.match_info["key"]
        expected = int(request.headers.get("If-Match", '"0"').strip('"'))
        try:
            if request.method == "DELETE":
                await store.delete(key, expected)
                return web.Response(status=204)
            version = await store.put(key, await request.read(), expected)
        except errors.StoreConflictError as error:
            return web.Response(status=412, headers=_etag(error.found))
        return web.Response(headers=_etag(version))

    async def list_objects(request):
        versions = await store.list(request.query["prefix"])
        return web.json_response(
            {
                "objects": [
                    {"key": key, "version": version}
                    for key, version in versions.items()
                ]
            }
        )

    async def hosts(request):
        _, value = await store.host_list()
        return web.Response(body=value)

    app = web.Application()
    app.router.add_get("/v1/objects", list_objects)
    app.router.add_get("/v1/objects/{key:.+}", get)
    app.router.add_put("/v1/objects/{key:.+}", write)
    app.router.add_delete("/v1/objects/{key:.+}", write)
    app.router.add_get("/v1/hosts", hosts)
    return app


@contextlib.asynccontextmanager
async def serving(app):
    """Serves an application on a free loopback port."""
    server = TestServer(app, host="127.0.0.1")
    await server.start_server()
    try:
        assert server.port is not None
        yield settings.Address("127.0.0.1", server.port)
    finally:
        await server.close()
