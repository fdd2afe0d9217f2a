"""HTTP client of the platform's store; the only one of the package."""

from collections.abc import Mapping
import dataclasses
import datetime
import json
import logging
import socket
from typing import Any
import urllib.parse

import aiohttp

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import settings
from sassafrashold import sockets

_LOGGER = logging.getLogger(__name__)
# The store answers in milliseconds; a call that takes this long is lost.
_CALL_TIMEOUT = datetime.timedelta(milliseconds=1200)
# Allowance for the way there and back of a waiting call.
_WATCH_SLACK = datetime.timedelta(seconds=1.5)
# The same of a call that may be answered with old data: the store answers 60
# times as slowly as usual within 0.25 s, and a cut off host has to notice soon.
_STALE_SLACK = datetime.timedelta(milliseconds=700)
_HISTORY_GONE = 410
_CONFLICT = 409
_NOT_FOUND = 404


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
    """Whether it is gone or about to go."""


@dataclasses.dataclass(frozen=True)
class ObjectList:
    """All objects of a kind, or changes to them."""

    objects: tuple[StoredObject, ...]
    """The objects; of a change, in order."""

    revision: int
    """Store revision up to which this is complete."""


class StoreClient:
    """Calls to the store.

    Connections probe their peer, so that one that went silent is noticed.
    """

    def __init__(self, address: settings.Address) -> None:
        """Initializes the client; it connects with the first call."""
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
            stale: Whether the answer may be seconds old; such calls cost a
                tenth and are not limited.

        Raises:
            StoreError: UNAVAILABLE if the store refused or did not answer.
        """
        objects: list[StoredObject] = []
        revision: int | None = None
        query = {"serializable": "1"} if stale else {}
        while True:
            body = await self._call("GET", kind, query)
            items = _field(body, "items", list)
            found = [_object(item) for item in items]
            objects.extend(item for item in found if item is not None)
            # Later pages may be newer; changes are read from the first on.
            if revision is None:
                revision = _field(body, "as_of", int)
            if not body.get("more") or not objects or not items:
                return ObjectList(tuple(objects), revision)
            query = {**query, "after": objects[-1].name}

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
            stale: Whether the answer may be seconds old; such calls cost a
                tenth and are not limited.

        Raises:
            HistoryGoneError: The store no longer has these changes.
            StoreError: UNAVAILABLE if the store refused or did not answer.
        """
        query = {"watch": str(revision), "wait_ms": str(clock_lib.to_ms(wait))}
        if stale:
            query["serializable"] = "1"
        slack = _STALE_SLACK if stale else _WATCH_SLACK
        body = await self._call("GET", kind, query, wait + slack)
        objects = []
        for event in _field(body, "events", list):
            if not isinstance(event, dict):
                _LOGGER.warning("event of the store can't be read")
                continue
            item = _object(event.get("object"))
            if item is None:
                continue
            if event.get("deleted"):
                item = dataclasses.replace(item, deleted=True)
            objects.append(item)
        return ObjectList(tuple(objects), _field(body, "as_of", int))

    async def put(self, kind: str, name: str, spec: Mapping[str, Any]) -> None:
        """Creates or replaces an object of the system's own.

        Raises:
            StoreError: UNAVAILABLE if the store refused or did not answer;
                the object may still have been written.
        """
        document = {"meta": {"name": name}, "spec": dict(spec)}
        try:
            await self._call("POST", kind, {}, body=document)
        except errors.StoreConflictError:
            path = f"{kind}/{urllib.parse.quote(name, safe='')}"
            await self._call("PUT", path, {}, body=document)

    async def delete(self, kind: str, name: str) -> None:
        """Removes an object of the system's own, if it is there.

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
    ) -> dict[str, Any]:
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
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise errors.StoreError(
                errors.ErrorCode.STORE_UNAVAILABLE,
                f"{method} {path}: {type(error).__name__}: {error}",
                ran=errors.Ran.OUTCOME_UNKNOWN,
            ) from error
        if status == _HISTORY_GONE:
            raise errors.HistoryGoneError(path)
        if status == _CONFLICT:
            raise errors.StoreConflictError(path, 0, 0)
        if status == _NOT_FOUND and method != "GET":
            return {}
        if status == _NOT_FOUND:
            raise errors.StoreError(
                errors.ErrorCode.UNAVAILABLE, f"{path} does not exist"
            )
        if status >= 300:
            raise errors.StoreError(
                errors.ErrorCode.STORE_UNAVAILABLE,
                f"{method} {path}: status {status}",
            )
        if not data:
            return {}
        try:
            decoded = json.loads(data)
        except ValueError as error:
            raise _unreadable(str(error)) from error
        if not isinstance(decoded, dict):
            raise _unreadable("expected a JSON object")
        return decoded


def _socket_factory(_address: Any) -> socket.socket:
    return sockets.stream_socket()


def _object(item: Any) -> StoredObject | None:
    """Decodes an object; None, with a log line, if it has no name."""
    meta = item.get("meta") if isinstance(item, dict) else None
    if not isinstance(meta, dict) or not isinstance(meta.get("name"), str):
        _LOGGER.warning("stored object without name is ignored")
        return None
    revision = meta.get("revision")
    return StoredObject(
        name=meta["name"],
        revision=revision if isinstance(revision, int) else 0,
        spec=item.get("spec"),
        born_unix_ms=item.get("born"),
        deleted=bool(meta.get("deleting")),
    )


def _field(body: dict[str, Any], name: str, kind: type) -> Any:
    value = body.get(name)
    if not isinstance(value, kind):
        raise _unreadable(f"{name}: expected {kind.__name__}")
    return value


def _unreadable(message: str) -> errors.StoreError:
    return errors.StoreError(errors.ErrorCode.BAD_DOCUMENT, message)
