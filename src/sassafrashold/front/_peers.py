"""Server and client to follow another host instead of the store."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import datetime
import json
import logging
from typing import Any

from aiohttp import web

from sassafrashold import documents
from sassafrashold import relay
from sassafrashold import settings
from sassafrashold.front import _peer_http
from sassafrashold.front import _view

_LOGGER = logging.getLogger(__name__)
FOLLOW_PATH = "/v2/follow"
COPY_PATH = "/v2/copy"
# Query parameter of a host that is a source of others: it must not follow one
# of these in turn.
_DIRECT = "direct"
# Short, because each answer also confirms that the other host still reads the
# store.
_LONG_POLL_TIMEOUT = datetime.timedelta(milliseconds=800)
# Hosts of a zone differ by a few positions; other clients may ask with any.
_MAX_CACHED_ANSWERS = 64


class PeerServer:
    """Serves to other hosts what this host has read from the store."""

    def __init__(
        self,
        view: _view.View,
        reads_store: Callable[[], bool],
        relays_store: Callable[[], bool],
    ) -> None:
        """Initializes the server.

        Args:
            view: Copies of the topics on this host.
            reads_store: Returns whether this host reads the store itself and
                the store answers.
            relays_store: Returns whether it does, or follows a host that does.
        """
        self._view = view
        self._reads_store = reads_store
        self._relays_store = relays_store
        self._changed = asyncio.Event()
        # Caches encoded answers, as most hosts ask for changes since the same
        # positions.
        self._answer_by_positions: dict[
            frozenset[tuple[str, relay.Position]], bytes
        ] = {}

    def notify_followers(self) -> None:
        """Wakes pending requests of other hosts and drops cached answers."""
        self._answer_by_positions.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answers a request of another host.

        A request for a copy is answered at once. A request to follow waits a
        bounded time for changes since the given positions, and is answered
        with status 503 when this host does not follow the store, or does not
        read it itself if the other host asks for that. Hosts of an earlier
        release, whose positions have no era, ask on other paths and get 404.
        """
        if request.path == COPY_PATH:
            if not self._view.is_complete:
                return web.Response(status=503)
            return _peer_http.response(self.answer({}))
        if request.path != FOLLOW_PATH:
            return web.Response(status=404)
        query = request.rel_url.query
        is_source = (
            self._reads_store if _DIRECT in query else self._relays_store
        )
        known_positions = {
            name: position
            for name in self._view.mirror_by_topic
            if (position := _parse_position(query.get(name))) is not None
        }
        deadline = (
            asyncio.get_running_loop().time()
            + _LONG_POLL_TIMEOUT.total_seconds()
        )
        while is_source():
            changed = self._changed
            time_left = deadline - asyncio.get_running_loop().time()
            if self._has_changes(known_positions) or time_left <= 0:
                return _peer_http.response(self.answer(known_positions))
            try:
                await asyncio.wait_for(changed.wait(), time_left)
            except TimeoutError:
                continue
        return web.Response(status=503)

    def _has_changes(
        self, known_positions: Mapping[str, relay.Position]
    ) -> bool:
        return any(
            mirror.changes_since(known_positions.get(name)) is not None
            for name, mirror in self._view.mirror_by_topic.items()
        )

    def answer(self, known_positions: Mapping[str, relay.Position]) -> bytes:
        """Returns the answer to hosts that have the given positions.

        Args:
            known_positions: Position of their copy, by topic; topics that they
                have not read are missing.

        Returns:
            Changes since these positions as JSON, compressed with zlib.
        """
        key = frozenset(known_positions.items())
        answer = self._answer_by_positions.get(key)
        if answer is None:
            text = json.dumps(
                self._changes_since(known_positions), separators=(",", ":")
            )
            answer = _peer_http.compress(text)
            if len(self._answer_by_positions) >= _MAX_CACHED_ANSWERS:
                self._answer_by_positions.clear()
            self._answer_by_positions[key] = answer
        return answer

    def _changes_since(
        self, known_positions: Mapping[str, relay.Position]
    ) -> dict[str, Any]:
        changes = {}
        for name, mirror in self._view.mirror_by_topic.items():
            batch = mirror.changes_since(known_positions.get(name))
            if batch is not None:
                changes[name] = _encode(batch)
        return changes


class PeerClient:
    """Reads the changes of all topics from another host."""

    def __init__(self, view: _view.View, http: _peer_http.PeerHttp) -> None:
        """Initializes the client.

        Args:
            view: The batches that were read are applied to it.
            http: HTTP client for other hosts.
        """
        self._view = view
        self._http = http

    async def follow_once(
        self, address: settings.Address, *, direct: bool = False
    ) -> None:
        """Makes one long poll for changes and applies them.

        Args:
            address: Address of the other host.
            direct: Whether the other host has to read the store itself.

        Raises:
            SourceWithoutStoreError: The other host does not follow the store at
                present.
            StoreError: The other host did not answer.
        """
        known_positions = {
            name: mirror.position
            for name, mirror in self._view.mirror_by_topic.items()
            if mirror.position is not None
        }
        query = {_DIRECT: ""} if direct else {}
        query |= {name: str(known_positions[name]) for name in known_positions}
        await self._fetch_and_apply(
            address, FOLLOW_PATH, query, known_positions
        )

    async def copy_once(self, address: settings.Address) -> None:
        """Applies a copy of all topics from another host, however stale it is.

        Raises:
            StoreError: The other host did not answer or has no complete copy.
        """
        await self._fetch_and_apply(address, COPY_PATH, {}, {})

    async def _fetch_and_apply(
        self,
        address: settings.Address,
        path: str,
        query: dict[str, str],
        known_positions: Mapping[str, relay.Position],
    ) -> None:
        data = await self._http.get(address, path, query)
        try:
            batch_by_topic = {
                name: _decode(item, known_positions.get(name))
                for name, item in json.loads(data).items()
            }
        except documents.DECODING_ERRORS as error:
            raise _peer_http.unavailable_error(
                address, f"unreadable: {error!r}"
            ) from error
        self._view.confirm_all()
        for name, batch in batch_by_topic.items():
            if name in self._view.mirror_by_topic:
                self._view.apply_batch(name, batch, str(address))


def _encode(batch: relay.Batch) -> dict[str, Any]:
    return {
        "era": batch.position.era,
        "revision": batch.position.revision,
        "whole": batch.is_snapshot,
        "difference": batch.is_difference,
        "documents": [[d.name, d.content, d.deleted] for d in batch.documents],
    }


def _decode(
    item: dict[str, Any], known_position: relay.Position | None
) -> relay.Batch:
    """Decodes the answer to a host with a copy at the known position."""
    is_snapshot = bool(item["whole"])
    return relay.Batch(
        tuple(
            _decode_document(name, content, deleted)
            for name, content, deleted in item["documents"]
        ),
        relay.Position(int(item["era"]), int(item["revision"])),
        is_snapshot,
        since=None if is_snapshot else known_position,
        is_difference=bool(item["difference"]),
    )


def _parse_position(text: str | None) -> relay.Position | None:
    """Returns the position of another host's copy; None if it has none."""
    try:
        return None if text is None else relay.Position.parse(text)
    except ValueError as error:
        _LOGGER.debug("position unreadable", extra={"cause": str(error)})
        return None


def _decode_document(name: Any, content: Any, deleted: Any) -> relay.Document:
    if not deleted and not isinstance(content, dict):
        raise TypeError(f"document {name!r} without content")
    return relay.Document(str(name), content, bool(deleted))
