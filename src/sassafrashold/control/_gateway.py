"""The store through the Thrift gateway of the local entry process."""

from collections.abc import Mapping
import datetime
from typing import Any

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import rpc
from sassafrashold import wire
from sassafrashold.control import _store

_CALL_TIMEOUT = datetime.timedelta(seconds=1)


class Gateway:
    """Implements `_store.Store` over RPC."""

    def __init__(self, client: rpc.Client, clock: clock_lib.Clock) -> None:
        """Initializes the gateway.

        Args:
            client: Client of the local entry.
            clock: The clock.
        """
        self._client = client
        self._clock = clock

    async def get(self, key: str) -> _store.Versioned:
        """Reads an object; the answer may be stale."""
        reply = await self._call(
            "store_get",
            wire.messages.StoreGetRequest(key=key),
            wire.messages.StoreReply,
        )
        return _store.Versioned(reply.version, reply.value or b"")

    async def put(self, key: str, expected_version: int, value: bytes) -> int:
        """Updates an object conditionally; see `_store.Store.put`."""
        reply = await self._call(
            "store_put",
            wire.messages.StorePutRequest(
                key=key, expected_version=expected_version, value=value
            ),
            wire.messages.StoreReply,
        )
        if not reply.applied:
            raise errors.StoreConflictError(
                key, expected_version, reply.version
            )
        return int(reply.version)

    async def watch(
        self, key: str, known_version: int, wait: datetime.timedelta
    ) -> _store.Versioned | None:
        """Waits for another version; None if there is none within `wait`."""
        reply = await self._call(
            "store_watch",
            wire.messages.StoreWatchRequest(
                key=key,
                known_version=known_version,
                wait_ms=clock_lib.to_ms(wait),
            ),
            wire.messages.StoreReply,
            wait + _CALL_TIMEOUT,
        )
        if reply.version == known_version:
            return None
        return _store.Versioned(reply.version, reply.value or b"")

    async def list_versions(self, prefix: str) -> Mapping[str, int]:
        """Returns keys and versions."""
        reply = await self._call(
            "store_list",
            wire.messages.StoreListRequest(prefix=prefix),
            wire.messages.StoreListReply,
        )
        return {item.key: item.version for item in reply.objects}

    async def host_list(self) -> _store.Versioned:
        """Returns the host list; its version is its time in Unix ms."""
        reply = await self._call(
            "host_list", wire.messages.Empty(), wire.messages.HostListReply
        )
        return _store.Versioned(reply.as_of_unix_ms, reply.value)

    async def _call(
        self,
        method: str,
        message: Any,
        reply_type: type[Any],
        timeout: datetime.timedelta = _CALL_TIMEOUT,
    ) -> Any:
        try:
            body = await self._client.call(
                method,
                wire.encode(message),
                deadline=self._clock.now() + timeout,
            )
            return wire.decode(reply_type, body)
        except errors.RpcError as error:
            raise errors.StoreError(
                error.code, f"{method}: {error.message}", ran=error.ran
            ) from error
        except wire.CodecError as error:
            raise errors.StoreError(
                errors.ErrorCode.STORE_AMBIGUOUS,
                f"{method}: {error}",
                ran=errors.Ran.OUTCOME_UNKNOWN,
            ) from error
