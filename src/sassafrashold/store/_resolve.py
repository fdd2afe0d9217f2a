"""Resolution of conditional writes whose answer was lost."""

import asyncio
from collections.abc import Callable
import datetime

from sassafrashold import backoff
from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold.store import _interface

_DEFAULT_BACKOFF = backoff.Backoff(attempts=6)


async def put_resolved(
    store: _interface.ObjectStore,
    key: str,
    value: bytes,
    expected_version: int,
    holds_write: Callable[[bytes], bool],
    *,
    clock: clock_lib.Clock,
    deadline: datetime.datetime | None = None,
    backoff: backoff.Backoff = _DEFAULT_BACKOFF,
) -> _interface.Stored:
    """Writes an object conditionally and resolves a lost answer.

    After a lost answer the object is read back. The write took effect if
    `holds_write` accepts the object. It failed, and can no longer take effect,
    if a version later than the expected one lacks it. If reads still give the
    expected version (they may be stale, or the write may be in flight), the
    same conditional update is repeated; at most one copy takes effect.

    Args:
        store: The store.
        key: Key of the object.
        value: The value; it holds a unique id of this write.
        expected_version: Condition of the write; 0 creates the object.
        holds_write: Whether a value holds the id. It has to accept every later
            value too, unless the caller tolerates that a write which took
            effect and was replaced since is reported as a conflict.
        clock: The clock.
        deadline: Wall time after which no further attempt is made.
        backoff: Number of attempts and delays between them.

    Returns:
        The object with the write: as written, or a later version of it.

    Raises:
        StoreConflictError: The write did not take effect and never will.
        StoreError: With NOT_RUN if the first attempt certainly had no effect,
            otherwise STORE_AMBIGUOUS: the outcome is unknown, and the write may
            still take effect.
    """
    try:
        version = await store.put(key, value, expected_version)
        return _interface.Stored(key, version, value)
    except errors.StoreError as error:
        if error.ran is errors.Ran.NOT_RUN:
            raise
    write = _AmbiguousWrite(store, key, value, expected_version, holds_write)
    for number in range(1, backoff.attempts):
        if deadline is not None and clock.now() >= deadline:
            break
        await asyncio.sleep(backoff.delay(number).total_seconds())
        stored = await write.resolve_once()
        if stored is not None:
            return stored
    raise _interface.ambiguous_error(
        f"cannot find out whether the write of {key!r} took effect"
    )


class _AmbiguousWrite:
    """One conditional write whose first answer was lost."""

    def __init__(
        self,
        store: _interface.ObjectStore,
        key: str,
        value: bytes,
        expected_version: int,
        holds_write: Callable[[bytes], bool],
    ) -> None:
        self._store = store
        self._key = key
        self._value = value
        self._expected_version = expected_version
        self._holds_write = holds_write

    async def resolve_once(self) -> _interface.Stored | None:
        """Reads back, and repeats the write if the read is inconclusive.

        Returns:
            The object with the write; None if the outcome is still unknown.

        Raises:
            StoreConflictError: The write never takes effect.
        """
        try:
            stored = await self._store.get(self._key)
        except errors.StoreError:
            return None
        found = self._outcome(stored)
        if found is not None:
            return found
        try:
            version = await self._store.put(
                self._key, self._value, self._expected_version
            )
        except errors.StoreError:
            # A conflict here may come from the first copy of this write, so
            # only a later read can tell.
            return None
        return _interface.Stored(self._key, version, self._value)

    def _outcome(
        self, stored: _interface.Stored | None
    ) -> _interface.Stored | None:
        if stored is None or stored.version <= self._expected_version:
            return None
        if self._holds_write(stored.value):
            return stored
        raise errors.StoreConflictError(
            self._key, self._expected_version, stored.version
        )
