"""HTTP client of the platform's store, for all store calls of the package."""

from collections.abc import Mapping
import dataclasses
import datetime
import logging
import socket
from typing import Any
import urllib.parse

import aiohttp

from sassafrashold import clock as clock_lib
from sassafrashold import documents
from sassafrashold import errors
from sassafrashold import relay
from sassafrashold import settings
from sassafrashold import sockets

_LOGGER = logging.getLogger(__name__)
# The store answers in milliseconds; a call that takes this long is lost.
_CALL_TIMEOUT = datetime.timedelta(milliseconds=1200)
# Allowance for the round trip, added to the wait of a watch: the store answers
# within 0.25 s even when it is 60 times slower than usual, and a host whose
# answer is lost has to notice soon.
_WATCH_ROUND_TRIP_ALLOWANCE = datetime.timedelta(milliseconds=600)
# The same for a watch that accepts stale data.
_STALE_WATCH_ROUND_TRIP_ALLOWANCE = datetime.timedelta(milliseconds=700)
_STATUS_HISTORY_GONE = 410
_STATUS_CONFLICT = 409
_STATUS_NOT_FOUND = 404
_ERA_HEADER = "Store-Era"
_MAX_ERA_DIGITS = 18


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """One object as it is stored."""

    name: str
    """Unique within its kind."""

    revision: int
    """Store revision of its last change."""

    spec: Any
    """Document of its writer."""

    born_unix_ms: Any
    """Start of the writer, at the top level; None if there is none."""

    deleted: bool
    """Whether it is deleted or being deleted."""


@dataclasses.dataclass(frozen=True)
class ObjectList:
    """All objects of a kind, or changes to them."""

    objects: tuple[StoredObject, ...]
    """The objects; of a change, in order."""

    position: relay.Position
    """Place in the store's history up to which this is complete."""


@dataclasses.dataclass(frozen=True)
class _Answer:
    """A successful answer of the store."""

    era: int
    """Number of the store's history; 0 if the store does not number them."""

    body: dict[str, Any]
    """The decoded body."""


class _NotFoundError(errors.StoreError):
    """The object does not exist."""


class StoreClient:
    """Calls to the store.

    Connections probe their peer, so that a dead connection is detected.
    """

    def __init__(
        self, address: settings.Address, eras: relay.LatestEra
    ) -> None:
        """Initializes the client; it connects with the first call.

        Args:
            address: Address of the store.
            eras: Gets the era of each answer.
        """
        self._eras = eras
        self._base = f"http://{address}/objects/"
        self._session: aiohttp.ClientSession | None = None
        self.calls = 0

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def list(self, kind: str, *, stale: bool = False) -> ObjectList:
        """Returns all objects of a kind.

        Args:
            kind: Kind of the objects.
            stale: Whether the answer may be seconds old; such a call costs
                a tenth of a current one and is not limited.

        Raises:
            HistoryGoneError: The store has begun a new era in between.
            StoreError: UNAVAILABLE if the store refused or did not answer.
        """
        objects: list[StoredObject] = []
        position: relay.Position | None = None
        query = {"serializable": "1"} if stale else {}
        while True:
            answer = await self._call("GET", kind, query)
            body = answer.body
            items = _require_field(body, "items", list)
            found = [
                decoded
                for item in items
                if (decoded := _decode_object(item)) is not None
            ]
            objects.extend(found)
            # Later pages may be newer; changes are watched from the
            # position of the first page on.
            if position is None:
                position = relay.Position(
                    answer.era, _require_field(body, "as_of", int)
                )
            if answer.era != position.era:
                raise errors.HistoryGoneError(kind)
            if not body.get("more") or not items:
                return ObjectList(tuple(objects), position)
            if not found:
                raise _bad_document("no object of a page has a name")
            query = {**query, "after": found[-1].name}

    async def watch(
        self,
        kind: str,
        revision: int,
        wait: datetime.timedelta,
        *,
        stale: bool = False,
    ) -> ObjectList:
        """Waits for changes of a kind.

        Args:
            kind: Kind of the objects.
            revision: Revision up to which changes are known.
            wait: How long the store holds the call without a change.
            stale: Whether the answer may be seconds old; such a call costs
                a tenth of a current one and is not limited.

        Raises:
            HistoryGoneError: The store does not have these changes.
            StoreError: UNAVAILABLE if the store refused or did not answer.
        """
        query = {"watch": str(revision), "wait_ms": str(clock_lib.to_ms(wait))}
        if stale:
            query["serializable"] = "1"
        allowance = (
            _STALE_WATCH_ROUND_TRIP_ALLOWANCE
            if stale
            else _WATCH_ROUND_TRIP_ALLOWANCE
        )
        answer = await self._call("GET", kind, query, wait + allowance)
        objects = []
        for event in _require_field(answer.body, "events", list):
            if not isinstance(event, dict):
                _LOGGER.warning("event of the store can't be read")
                continue
            item = _decode_object(event.get("object"))
            if item is None:
                continue
            if event.get("deleted"):
                item = dataclasses.replace(item, deleted=True)
            objects.append(item)
        return ObjectList(
            tuple(objects),
            relay.Position(
                answer.era, _require_field(answer.body, "as_of", int)
            ),
        )

    async def put(
        self,
        kind: str,
        name: str,
        spec: Mapping[str, Any],
        *,
        exists: bool = False,
    ) -> None:
        """Creates or replaces an object that belongs to the system.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            spec: The document.
            exists: Whether the object is likely to exist; a right guess saves
                a call.

        Raises:
            StoreError: UNAVAILABLE if the store refused or did not answer;
                the object may still have been written.
        """
        document = {"meta": {"name": name}, "spec": dict(spec)}
        path = f"{kind}/{urllib.parse.quote(name, safe='')}"
        if exists:
            try:
                await self._call("PUT", path, {}, body=document)
            except _NotFoundError:
                pass
            else:
                return
        try:
            await self._call("POST", kind, {}, body=document)
        except errors.StoreConflictError:
            await self._call("PUT", path, {}, body=document)

    async def delete(self, kind: str, name: str) -> None:
        """Removes an object that belongs to the system, if it is there.

        Raises:
            StoreError: UNAVAILABLE if the store refused or did not answer.
        """
        path = f"{kind}/{urllib.parse.quote(name, safe='')}"
        await self._call("DELETE", path, {})

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        timeout: datetime.timedelta = _CALL_TIMEOUT,
        body: Any = None,
    ) -> _Answer:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0, socket_factory=_socket_factory
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        self.calls += 1
        try:
            async with self._session.request(
                method,
                self._base + path,
                params=query,
                json=body,
                timeout=aiohttp.ClientTimeout(total=timeout.total_seconds()),
            ) as response:
                data = await response.read()
                status = response.status
                header = response.headers.get(_ERA_HEADER)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise errors.StoreError(
                errors.ErrorCode.STORE_UNAVAILABLE,
                f"{method} {path}: {type(error).__name__}: {error}",
                ran=errors.Ran.OUTCOME_UNKNOWN,
            ) from error
        era = self._note_era(f"{method} {path}", header)
        if status == _STATUS_HISTORY_GONE:
            raise errors.HistoryGoneError(path)
        if status == _STATUS_CONFLICT:
            raise errors.StoreConflictError(path, 0, 0)
        if status == _STATUS_NOT_FOUND and method == "DELETE":
            return _Answer(era, {})
        if status == _STATUS_NOT_FOUND:
            raise _NotFoundError(
                errors.ErrorCode.UNAVAILABLE, f"{path} does not exist"
            )
        if status >= 300:
            raise errors.StoreError(
                errors.ErrorCode.STORE_UNAVAILABLE,
                f"{method} {path}: status {status}",
            )
        if not data:
            return _Answer(era, {})
        try:
            decoded = documents.parse_list(data)
        except ValueError as error:
            raise _bad_document(str(error)) from error
        if not isinstance(decoded, dict):
            raise _bad_document("expected a JSON object")
        return _Answer(era, decoded)

    def _note_era(self, call: str, header: str | None) -> int:
        """Records the era that an answer belongs to.

        Returns:
            The era; the latest one if the answer does not say.

        Raises:
            EarlierEraError: The answer belongs to an earlier era.
            StoreError: The header can't be read.
        """
        if header is None:
            return self._eras.value
        if not (header.isascii() and header.isdecimal()) or (
            len(header) > _MAX_ERA_DIGITS
        ):
            raise _bad_document(f"{call}: {_ERA_HEADER}: expected a number")
        era = int(header)
        if era < self._eras.value:
            raise errors.EarlierEraError(call, era, self._eras.value)
        self._eras.note(era)
        return era


def _socket_factory(_address: Any) -> socket.socket:
    return sockets.stream_socket()


def _decode_object(item: Any) -> StoredObject | None:
    """Decodes an object; None, with a log line, if it has no name."""
    meta = item.get("meta") if isinstance(item, dict) else None
    if not isinstance(meta, dict) or not isinstance(meta.get("name"), str):
        _LOGGER.warning("stored object without name is ignored")
        return None
    revision = meta.get("revision")
    spec, born = item.get("spec"), item.get("born")
    if documents.is_too_deep([spec, born]):
        _LOGGER.warning(
            "stored object is nested too deep; read as empty",
            extra={"object": meta["name"]},
        )
        spec, born = None, None
    return StoredObject(
        name=meta["name"],
        revision=revision if isinstance(revision, int) else 0,
        spec=spec,
        born_unix_ms=born,
        deleted=bool(meta.get("deleting")),
    )


def _require_field(body: dict[str, Any], name: str, kind: type) -> Any:
    value = body.get(name)
    if not isinstance(value, kind):
        raise _bad_document(f"{name}: expected {kind.__name__}")
    return value


def _bad_document(message: str) -> errors.StoreError:
    return errors.StoreError(errors.ErrorCode.BAD_DOCUMENT, message)
