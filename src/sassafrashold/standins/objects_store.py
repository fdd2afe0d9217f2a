"""Stand-in of the users' store: objects with revisions, lists and watches."""

import asyncio
import collections
import copy
import dataclasses
import json
from typing import Any

from aiohttp import web

_PAGE = 50


ERA_HEADER = "Store-Era"


@dataclasses.dataclass(frozen=True)
class _Change:
    revision: int
    kind: str
    document: dict[str, Any]
    deleted: bool


@dataclasses.dataclass(frozen=True)
class Copy:
    """What the store held at one moment."""

    revision: int
    """Revision counter at that moment."""

    object_by_key: dict[tuple[str, str], dict[str, Any]]
    """The objects, by kind and name."""

    changes: tuple[_Change, ...]
    """The history up to the revision."""

    oldest_revision: int
    """Revision at which the history begins."""


class ObjectsStore:
    """Keeps objects in memory and speaks the store's protocol.

    Faults are set by the owner of the stand-in: `away` answers every call
    with 503, `silent` holds calls until it is reset, `loses_calls` never
    answers the calls that arrive while it is set, `forget_history` drops old
    changes, `restore` goes back to an older copy.
    """

    def __init__(self, *, sends_era: bool = True) -> None:
        """Initializes an empty store.

        Args:
            sends_era: Whether answers carry the number of the store's history,
                which rises with each return from a copy.
        """
        self.era = 1
        self._sends_era = sends_era
        self.away = False
        self.silent = False
        self.loses_calls = False
        self.count_by_call: collections.Counter[str] = collections.Counter()
        self._revision = 1
        self._oldest = 1
        self._object_by_key: dict[tuple[str, str], dict[str, Any]] = {}
        self._changes: list[_Change] = []
        self._changed = asyncio.Condition()

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        application = web.Application()
        application.add_routes(
            [
                web.get("/objects/{kind}", self._list),
                web.post("/objects/{kind}", self._create),
                web.get("/objects/{kind}/{name}", self._get),
                web.put("/objects/{kind}/{name}", self._replace),
                web.delete("/objects/{kind}/{name}", self._delete),
            ]
        )
        application.middlewares.extend((self._add_era, self._inject_faults))
        return application

    async def put(self, kind: str, name: str, spec: Any) -> int:
        """Writes an object, as operators and leafs do.

        Returns:
            The new revision.
        """
        known = self._object_by_key.get((kind, name))
        if known is not None and known["spec"] == spec:
            return self._revision
        self._revision += 1
        document = {
            "meta": {
                "name": name,
                "revision": self._revision,
                "created": self._revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._object_by_key[kind, name] = document
        await self._note(kind, document, deleted=False)
        return self._revision

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object, if it is there."""
        document = self._object_by_key.pop((kind, name), None)
        if document is not None:
            self._revision += 1
            await self._note(kind, document, deleted=True)

    async def forget_history(self) -> None:
        """Drops all changes and cuts the watches that wait."""
        self._revision += 1
        self._oldest = self._revision
        self._changes.clear()
        async with self._changed:
            self._changed.notify_all()

    def take_copy(self) -> Copy:
        """Returns a copy of the objects and their history."""
        return Copy(
            self._revision,
            copy.deepcopy(self._object_by_key),
            tuple(self._changes),
            self._oldest,
        )

    async def restore(self, older: Copy) -> None:
        """Returns from an older copy, which begins a new era.

        Everything written since the copy is lost, its revisions are given out
        again, and the watches that wait are cut off.
        """
        self.era += 1
        self._revision = older.revision
        self._object_by_key = copy.deepcopy(older.object_by_key)
        self._changes = list(older.changes)
        self._oldest = older.oldest_revision
        async with self._changed:
            self._changed.notify_all()

    async def _note(
        self, kind: str, document: dict[str, Any], deleted: bool
    ) -> None:
        self._changes.append(_Change(self._revision, kind, document, deleted))
        async with self._changed:
            self._changed.notify_all()

    @web.middleware
    async def _inject_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        stale = "serializable" in request.query
        self.count_by_call[f"{request.method}{' stale' if stale else ''}"] += 1
        if self.loses_calls:
            # Cancelled when the caller closes the connection.
            await asyncio.Event().wait()
        while self.silent:  # noqa: ASYNC110 - the owner sets a plain flag
            await asyncio.sleep(0.05)
        if self.away:
            return web.Response(status=503)
        response: web.StreamResponse = await handler(request)
        return response

    @web.middleware
    async def _add_era(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        response: web.StreamResponse = await handler(request)
        if self._sends_era:
            response.headers[ERA_HEADER] = str(self.era)
        return response

    async def _list(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await self._watch(request, kind)
        after = request.query.get("after", "")
        names = sorted(
            name
            for k, name in self._object_by_key
            if k == kind and name > after
        )
        page = names[:_PAGE]
        return web.json_response(
            {
                "items": [self._object_by_key[kind, name] for name in page],
                "more": len(names) > _PAGE,
                "as_of": self._revision,
            }
        )

    async def _watch(self, request: web.Request, kind: str) -> web.Response:
        since = int(request.query["watch"])
        wait_s = int(request.query.get("wait_ms", 0)) / 1000
        era = self.era
        try:
            async with asyncio.timeout(wait_s), self._changed:
                while (
                    era == self.era
                    and self._has_history(since)
                    and not self._since(kind, since)
                ):
                    await self._changed.wait()
        except TimeoutError:
            return web.json_response({"events": [], "as_of": self._revision})
        if era != self.era:
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=503)
        if not self._has_history(since):
            return web.json_response({"error": "gone"}, status=410)
        return web.json_response(
            {
                "events": [
                    {"object": c.document, "deleted": c.deleted}
                    for c in self._since(kind, since)
                ],
                "as_of": self._revision,
            }
        )

    def _has_history(self, revision: int) -> bool:
        return self._oldest <= revision <= self._revision

    def _since(self, kind: str, revision: int) -> list[_Change]:
        return [
            change
            for change in self._changes
            if change.kind == kind and change.revision > revision
        ]

    async def _create(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        body = json.loads(await request.read())
        name = body["meta"]["name"]
        known = self._object_by_key.get((kind, name))
        if known is not None:
            return web.json_response(known, status=409)
        await self.put(kind, name, body.get("spec"))
        return web.json_response(self._object_by_key[kind, name], status=201)

    async def _get(self, request: web.Request) -> web.Response:
        key = (request.match_info["kind"], request.match_info["name"])
        document = self._object_by_key.get(key)
        if document is None:
            return web.Response(status=404)
        return web.json_response(document)

    async def _replace(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        if (kind, name) not in self._object_by_key:
            return web.Response(status=404)
        body = json.loads(await request.read())
        await self.put(kind, name, body.get("spec"))
        return web.json_response(self._object_by_key[kind, name])

    async def _delete(self, request: web.Request) -> web.Response:
        await self.remove(
            request.match_info["kind"], request.match_info["name"]
        )
        return web.json_response({})
