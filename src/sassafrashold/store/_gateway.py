"""RPC access to the platform: control uses it through the local entry."""

import datetime
from typing import Any

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import rpc
from sassafrashold import wire
from sassafrashold.store import _interface

_READ_TIMEOUT = datetime.timedelta(seconds=4)
_WRITE_TIMEOUT = datetime.timedelta(seconds=3)
# Allowance for the round trip, added to the wait that a watch asks for.
_WATCH_ROUND_TRIP_ALLOWANCE = datetime.timedelta(seconds=2)

_STORE_CODES = frozenset(
    {
        errors.ErrorCode.STORE_UNAVAILABLE,
        errors.ErrorCode.STORE_AMBIGUOUS,
        errors.ErrorCode.BODY_TOO_LARGE,
    }
)


def gateway_handlers(
    store: _interface.ObjectStore, host_source: _interface.HostSource
) -> dict[str, rpc.Handler]:
    """Returns the RPC handlers through which a local control uses the platform.

    Besides the methods of the design page they include `store_delete`, which
    takes a `StorePutRequest` and ignores its value.
    """
    gateway = _Gateway(store, host_source)
    return {
        "store_get": gateway.get,
        "store_put": gateway.put,
        "store_delete": gateway.delete,
        "store_watch": gateway.watch,
        "store_list": gateway.list_objects,
        "host_list": gateway.host_list,
    }


class _Gateway:
    """Serves the platform to RPC clients."""

    def __init__(
        self,
        store: _interface.ObjectStore,
        host_source: _interface.HostSource,
    ) -> None:
        self._store = store
        self._host_source = host_source

    async def get(self, context: rpc.RequestContext, body: bytes) -> bytes:
        request = _decode_request(wire.messages.StoreGetRequest, body)
        return _encode_stored(await self._store.get(request.key))

    async def put(self, context: rpc.RequestContext, body: bytes) -> bytes:
        request = _decode_request(wire.messages.StorePutRequest, body)
        try:
            version = await self._store.put(
                request.key, request.value, request.expected_version
            )
        except errors.StoreConflictError as error:
            return _encode_conflict(error)
        return wire.encode(
            wire.messages.StoreReply(version=version, applied=True)
        )

    async def delete(self, context: rpc.RequestContext, body: bytes) -> bytes:
        request = _decode_request(wire.messages.StorePutRequest, body)
        try:
            await self._store.delete(request.key, request.expected_version)
        except errors.StoreConflictError as error:
            return _encode_conflict(error)
        return wire.encode(wire.messages.StoreReply(version=0, applied=True))

    async def watch(self, context: rpc.RequestContext, body: bytes) -> bytes:
        request = _decode_request(wire.messages.StoreWatchRequest, body)
        stored = await self._store.watch(
            request.key,
            request.known_version,
            clock_lib.from_ms(request.wait_ms),
        )
        return _encode_stored(stored)

    async def list_objects(
        self, context: rpc.RequestContext, body: bytes
    ) -> bytes:
        request = _decode_request(wire.messages.StoreListRequest, body)
        version_by_key = await self._store.list(request.prefix)
        return wire.encode(
            wire.messages.StoreListReply(
                objects=[
                    wire.messages.ObjectVersion(key=key, version=version)
                    for key, version in version_by_key.items()
                ]
            )
        )

    async def host_list(
        self, context: rpc.RequestContext, body: bytes
    ) -> bytes:
        as_of_unix_ms, value = await self._host_source.host_list()
        return wire.encode(
            wire.messages.HostListReply(
                as_of_unix_ms=as_of_unix_ms, value=value
            )
        )


class GatewayStore:
    """The object store and host list, through the local entry process."""

    def __init__(self, client: rpc.Client, clock: clock_lib.Clock) -> None:
        """Initializes the store.

        Args:
            client: Client of the local entry; its owner closes it.
            clock: The clock.
        """
        self._client = client
        self._clock = clock

    async def get(self, key: str) -> _interface.Stored | None:
        """Returns the object; None if it is absent. May be stale."""
        reply = await self._read(
            "store_get",
            wire.messages.StoreGetRequest(key=key),
            wire.messages.StoreReply,
        )
        return _decode_stored(key, reply)

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Writes an object on the condition that it is at a version."""
        _interface.check_size(key, value)
        reply = await self._write("store_put", key, value, expected_version)
        version: int = reply.version
        return version

    async def delete(self, key: str, expected_version: int) -> None:
        """Deletes an object on the condition that it is at a version."""
        await self._write("store_delete", key, b"", expected_version)

    async def watch(
        self, key: str, known_version: int, wait: datetime.timedelta
    ) -> _interface.Stored | None:
        """Waits for a version newer than `known_version`."""
        reply = await self._read(
            "store_watch",
            wire.messages.StoreWatchRequest(
                key=key,
                known_version=known_version,
                wait_ms=clock_lib.to_ms(wait),
            ),
            wire.messages.StoreReply,
            wait + _WATCH_ROUND_TRIP_ALLOWANCE,
        )
        return _decode_stored(key, reply)

    async def list(self, prefix: str) -> dict[str, int]:
        """Returns the versions of all objects by key; may be stale."""
        reply = await self._read(
            "store_list",
            wire.messages.StoreListRequest(prefix=prefix),
            wire.messages.StoreListReply,
        )
        return {found.key: found.version for found in reply.objects}

    async def host_list(self) -> tuple[int, bytes]:
        """Returns the list's time in Unix milliseconds, and its document."""
        reply = await self._read(
            "host_list", wire.messages.Empty(), wire.messages.HostListReply
        )
        return reply.as_of_unix_ms, reply.value

    async def _read(
        self,
        method: str,
        request: Any,
        reply_type: type[Any],
        timeout: datetime.timedelta = _READ_TIMEOUT,
    ) -> Any:
        try:
            body = await self._client.call(
                method,
                wire.encode(request),
                deadline=self._clock.now() + timeout,
            )
            return wire.decode(reply_type, body)
        except (errors.RpcError, wire.CodecError) as error:
            raise _interface.unavailable_error(f"{method}: {error}") from error

    async def _write(
        self, method: str, key: str, value: bytes, expected_version: int
    ) -> Any:
        request = wire.messages.StorePutRequest(
            key=key, expected_version=expected_version, value=value
        )
        try:
            body = await self._client.call(
                method,
                wire.encode(request),
                deadline=self._clock.now() + _WRITE_TIMEOUT,
            )
            reply = wire.decode(wire.messages.StoreReply, body)
        except wire.CodecError as error:
            raise _interface.ambiguous_error(f"{method}: {error}") from error
        except errors.RpcError as error:
            raise _write_error(method, error) from error
        if not reply.applied:
            raise errors.StoreConflictError(
                key, expected_version, reply.version
            )
        return reply


def _write_error(method: str, error: errors.RpcError) -> errors.StoreError:
    """Returns the store's error for a failed call of a write."""
    if error.ran is errors.Ran.OUTCOME_UNKNOWN:
        return _interface.ambiguous_error(f"{method}: {error}")
    if error.code in _STORE_CODES:
        return errors.StoreError(error.code, error.message)
    return _interface.unavailable_error(f"{method}: {error}")


def _decode_request(struct_type: type[Any], body: bytes) -> Any:
    try:
        return wire.decode(struct_type, body)
    except wire.CodecError as error:
        raise errors.RpcError(
            errors.ErrorCode.BAD_REQUEST, str(error)
        ) from error


def _encode_stored(stored: _interface.Stored | None) -> bytes:
    return wire.encode(
        wire.messages.StoreReply(
            version=0 if stored is None else stored.version,
            value=None if stored is None else stored.value,
            applied=True,
        )
    )


def _encode_conflict(error: errors.StoreConflictError) -> bytes:
    return wire.encode(
        wire.messages.StoreReply(version=error.found, applied=False)
    )


def _decode_stored(key: str, reply: Any) -> _interface.Stored | None:
    if reply.version == 0:
        return None
    return _interface.Stored(key, reply.version, reply.value or b"")
