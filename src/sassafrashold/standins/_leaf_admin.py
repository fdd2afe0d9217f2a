"""Admin interface of the leaf stand-in: records, faults, cold starts."""

import asyncio
from collections.abc import Mapping
from typing import Any

from aiohttp import web

from sassafrashold import documents
from sassafrashold import errors
from sassafrashold import index
from sassafrashold.standins import _leaf_server


def shards_by_version(
    shardmap: index.ShardMap, leaf_id: str
) -> dict[str, frozenset[int]]:
    """Returns the shards of each version that a leaf holds."""
    return {
        version.version: frozenset(
            shard
            for shard, replicas in enumerate(version.replicas)
            if leaf_id in replicas
        )
        for version in shardmap.versions
    }


class Admin:
    """Handlers for all leafs of a process."""

    def __init__(
        self, server_by_leaf: Mapping[str, _leaf_server.LeafServer]
    ) -> None:
        self._server_by_leaf = server_by_leaf
        self._tasks: set[asyncio.Task[None]] = set()

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        application = web.Application()
        application.add_routes(
            [
                web.get("/admin/record", self._get_record),
                web.get("/readyz", self._get_ready),
                web.post("/admin/reset", self._post_reset),
                web.post("/admin/faults", self._post_faults),
                web.post("/admin/cold", self._post_cold),
                web.post("/admin/warm", self._post_warm),
                web.post("/admin/shardmap", self._post_shardmap),
            ]
        )
        return application

    async def _get_ready(self, _: web.Request) -> web.Response:
        return web.json_response({"ready": True})

    async def _get_record(self, request: web.Request) -> web.Response:
        with_calls = request.query.get("calls", "yes") != "no"
        servers = self._select(dict(request.query))
        return web.json_response(
            {
                "leafs": {
                    server.leaf.leaf.leaf_id: server.leaf.record(with_calls)
                    for server in servers
                }
            }
        )

    async def _post_reset(self, request: web.Request) -> web.Response:
        servers = self._select(await _body(request))
        for server in servers:
            server.leaf.reset_record()
        return web.json_response({"leafs": len(servers)})

    async def _post_faults(self, request: web.Request) -> web.Response:
        body = await _body(request)
        servers = self._select(body)
        try:
            changed = [
                server.leaf.faults.with_changes(body.get("faults", {}))
                for server in servers
            ]
        except ValueError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        for server, faults in zip(servers, changed, strict=True):
            server.leaf.faults = faults
        return web.json_response({"leafs": len(servers)})

    async def _post_cold(self, request: web.Request) -> web.Response:
        """Cold start, with the loss of all calls if `restart` is true."""
        body = await _body(request)
        servers = self._select(body)
        for server in servers:
            if not body.get("restart", False):
                server.leaf.turn_cold()
                continue
            task = asyncio.create_task(
                server.restart(float(body.get("down_ms", 0)) / 1000)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return web.json_response({"leafs": len(servers)})

    async def _post_warm(self, request: web.Request) -> web.Response:
        servers = self._select(await _body(request))
        for server in servers:
            server.leaf.warm_up()
        return web.json_response({"leafs": len(servers)})

    async def _post_shardmap(self, request: web.Request) -> web.Response:
        """Gives the leafs of a service the versions of a shard map."""
        try:
            shardmap = index.ShardMap.decode(await request.read())
        except errors.DocumentError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        servers = [
            server
            for leaf_id, server in self._server_by_leaf.items()
            if leaf_id in shardmap.leaf_by_id
        ]
        for server in servers:
            server.leaf.shards_by_version = shards_by_version(
                shardmap, server.leaf.leaf.leaf_id
            )
        return web.json_response({"leafs": len(servers)})

    def _select(
        self, criteria: Mapping[str, Any]
    ) -> list[_leaf_server.LeafServer]:
        """Returns the leafs that `leaf`, `service`, `zone`, `host` name."""
        known = self._server_by_leaf
        wanted = criteria.get("leaf", list(known))
        names = [wanted] if isinstance(wanted, str) else wanted
        missing = [name for name in names if name not in known]
        if missing:
            raise web.HTTPNotFound(text=f"no leaf {missing[0]!r}")
        return [
            server
            for server in map(known.__getitem__, names)
            if criteria.get("service", server.leaf.service)
            == server.leaf.service
            and criteria.get("zone", server.leaf.leaf.zone)
            == server.leaf.leaf.zone
            and criteria.get("host", server.leaf.leaf.host)
            == server.leaf.leaf.host
        ]


async def _body(request: web.Request) -> dict[str, Any]:
    data = await request.read()
    if not data:
        return {}
    try:
        return documents.parse("body", data)
    except errors.DocumentError as error:
        raise web.HTTPBadRequest(text=str(error)) from error
