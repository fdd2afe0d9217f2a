"""Stand-in of the users' store: objects with revisions, lists and watches."""

import asyncio
import collections
import contextlib
import copy
import dataclasses
import json
from typing import Any

from aiohttp import web

_PAGE = 50
_COPY_INTERVAL_S = 0.1
_MAX_COPIES = 200

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

    oldest: int
    """Revision after which the history is complete."""

    def has_history(self, revision: int) -> bool:
        """Returns whether the history leads on from a revision."""
        return self.oldest <= revision <= self.revision

    def since(self, kind: str, revision: int) -> list[_Change]:
        """Returns the changes of a kind after a revision."""
        return [
            change
            for change in self.changes
            if change.kind == kind and change.revision > revision
        ]


class ObjectsStore:
    """Keeps objects in memory and speaks the store's protocol.

    Faults are set by the owner of the stand-in: `away` answers every call
    with 503, `silent` holds calls until it is reset, `loses_calls` never
    answers the calls that arrive while it is set, `forget_history` drops old
    changes, `restore` goes back to an older copy. `loses_watch_answers` gives
    no answer to a watch that would have one while it is set. `stale_lag_s` is
    the age in seconds of what stale reads show, while `keep_copies` runs; after
    a return that is still the history from before it.
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
        self.loses_watch_answers = False
        self.stale_lag_s = 0.0
        self.count_by_call: collections.Counter[str] = collections.Counter()
        self._revision = 1
        self._oldest = 1
        self._object_by_key: dict[tuple[str, str], dict[str, Any]] = {}
        self._changes: list[_Change] = []
        self._changed = asyncio.Condition()
        self._cuts_watches = True
        self._copies: collections.deque[tuple[float, Copy]] = collections.deque(
            maxlen=_MAX_COPIES
        )

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
            "spec": copy.deepcopy(spec),
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
            dict(self._object_by_key),
            tuple(self._changes),
            self._oldest,
        )

    async def keep_copies(self) -> None:
        """Takes copies on a clock until cancelled; keeps a bounded number."""
        while True:
            now = asyncio.get_running_loop().time()
            self._copies.append((now, self.take_copy()))
            await asyncio.sleep(_COPY_INTERVAL_S)

    def copy_older_than(self, age_s: float) -> Copy:
        """Returns the newest copy that `keep_copies` took before an age.

        Raises:
            LookupError: No copy is that old.
        """
        limit = asyncio.get_running_loop().time() - age_s
        for taken_at, kept in reversed(self._copies):
            if taken_at <= limit:
                return kept
        raise LookupError(f"no copy is older than {age_s} s")

    async def restore(self, older: Copy, *, cuts_watches: bool = True) -> None:
        """Returns from an older copy, which begins a new era.

        Everything written since the copy is lost and its revisions are given
        out again.

        Args:
            older: The copy.
            cuts_watches: Whether the watches that wait are cut off; if not,
                they never get an answer.
        """
        self.era += 1
        self._cuts_watches = cuts_watches
        self._revision = older.revision
        self._oldest = older.oldest
        self._object_by_key = dict(older.object_by_key)
        self._changes = list(older.changes)
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
        if self.loses_watch_answers and int(request.query.get("wait_ms", 0)):
            await asyncio.Event().wait()
        return response

    @web.middleware
    async def _add_era(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        response: web.StreamResponse = await handler(request)
        if self._sends_era:
            response.headers[ERA_HEADER] = str(self.era)
        return response

    def _seen(self, request: web.Request) -> Copy:
        """Returns what a read shows."""
        if "serializable" in request.query and self.stale_lag_s > 0:
            try:
                return self.copy_older_than(self.stale_lag_s)
            except LookupError:
                return self._copies[0][1] if self._copies else self.take_copy()
        return self.take_copy()

    async def _list(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await self._watch(request, kind)
        seen = self._seen(request)
        after = request.query.get("after", "")
        names = sorted(
            name for k, name in seen.object_by_key if k == kind and name > after
        )
        page = names[:_PAGE]
        return web.json_response(
            {
                "items": [seen.object_by_key[kind, name] for name in page],
                "more": len(names) > _PAGE,
                "as_of": seen.revision,
            }
        )

    async def _watch(self, request: web.Request, kind: str) -> web.Response:
        since = int(request.query["watch"])
        wait_s = int(request.query.get("wait_ms", 0)) / 1000
        era = self.era
        seen = self._seen(request)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self._changed:
                while (
                    era == self.era
                    and seen.has_history(since)
                    and not seen.since(kind, since)
                ):
                    await self._changed.wait()
                    seen = self._seen(request)
        if era != self.era:
            if not self._cuts_watches:
                await asyncio.Event().wait()
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=503)
        # Stale data that has not reached the revision shows nothing after it.
        is_behind = "serializable" in request.query and self.stale_lag_s > 0
        if not seen.has_history(since) and not is_behind:
            return web.json_response({"error": "gone"}, status=410)
        return web.json_response(
            {
                "events": [
                    {"object": c.document, "deleted": c.deleted}
                    for c in seen.since(kind, since)
                ],
                "as_of": seen.revision,
            }
        )

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
