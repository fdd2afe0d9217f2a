"""An in-memory object store with fault injection, for tests and models."""

import asyncio
import collections
from collections.abc import Callable
import datetime
import enum

from sassafrashold import errors
from sassafrashold.store import _interface


class Fault(enum.Enum):
    """Fault injected into one call."""

    NONE = "none"
    """Nothing."""

    DOWN = "down"
    """The call fails and certainly has no effect."""

    LOST_REQUEST = "lost request"
    """A write has no effect, but its caller cannot know."""

    LOST_ANSWER = "lost answer"
    """A write takes effect, but its caller cannot know."""

    DELAYED = "delayed"
    """A write reaches the store only at `deliver_delayed`."""

    STALE = "stale"
    """A read sees the object as it was `stale_depth` changes ago."""


class MemoryStore:
    """A fake of the object store and the host list.

    Faults come from `faults`, one per call, or from `choose_fault`. A fault
    that does not apply to the kind of call counts as none.

    Attributes:
        down: Makes every call fail.
        faults: Faults of the next calls.
        choose_fault: Gets the method and key when `faults` is empty.
        stale_depth: How many changes a stale read misses.
        calls: Number of calls by method.
    """

    def __init__(
        self, choose_fault: Callable[[str, str], Fault] | None = None
    ) -> None:
        self.down = False
        self.faults: collections.deque[Fault] = collections.deque()
        self.choose_fault = choose_fault or (lambda method, key: Fault.NONE)
        self.stale_depth = 1
        self.calls: collections.Counter[str] = collections.Counter()
        self._history_by_key: dict[str, list[_interface.Stored | None]] = {}
        self._version_by_key: dict[str, int] = {}
        self._delayed: list[tuple[str, bytes | None, int]] = []
        self._changed = asyncio.Condition()
        self._host_list = (0, b'{"as_of_unix_ms":0,"hosts":[]}')

    async def get(self, key: str) -> _interface.Stored | None:
        """Returns the object, or an earlier one if the fault is STALE."""
        return self._read("get", key)

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Writes an object on the condition that it is at a version."""
        _interface.check_size(key, value)
        return await self._write("put", key, value, expected_version)

    async def delete(self, key: str, expected_version: int) -> None:
        """Deletes an object on the condition that it is at a version."""
        await self._write("delete", key, None, expected_version)

    async def watch(
        self, key: str, known_version: int, wait: datetime.timedelta
    ) -> _interface.Stored | None:
        """Waits in real time for a newer version."""
        found = self._read("watch", key)
        if found is not None and found.version > known_version:
            return found
        try:
            async with asyncio.timeout(wait.total_seconds()), self._changed:
                await self._changed.wait_for(
                    lambda: self._newer(key, known_version) is not None
                )
        except TimeoutError:
            return None
        return self._newer(key, known_version)

    async def list(self, prefix: str) -> dict[str, int]:
        """Returns the versions of all objects by key."""
        self._next_fault("list", prefix)
        return {
            key: stored.version
            for key in sorted(self._history_by_key)
            if key.startswith(prefix)
            and (stored := self._current(key)) is not None
        }

    async def host_list(self) -> tuple[int, bytes]:
        """Returns what `set_host_list` was given."""
        self._next_fault("host_list", "")
        return self._host_list

    def set_host_list(self, as_of_unix_ms: int, value: bytes) -> None:
        """Sets the host list."""
        self._host_list = (as_of_unix_ms, value)

    def current(self, key: str) -> _interface.Stored | None:
        """Returns the object without a call, for assertions."""
        return self._current(key)

    def versions(self, key: str) -> tuple[_interface.Stored, ...]:
        """Returns all values that the object ever had, for assertions."""
        history = self._history_by_key.get(key, [])
        return tuple(stored for stored in history if stored is not None)

    @property
    def has_delayed(self) -> bool:
        """Whether delayed writes have not reached the store yet."""
        return bool(self._delayed)

    async def deliver_delayed(self) -> None:
        """Lets the delayed writes reach the store."""
        delayed = list(self._delayed)
        self._delayed.clear()
        for key, value, expected_version in delayed:
            if self._version(key) == expected_version:
                await self._apply(key, value)

    def _next_fault(self, method: str, key: str) -> Fault:
        self.calls[method] += 1
        fault = (
            self.faults.popleft()
            if self.faults
            else self.choose_fault(method, key)
        )
        if self.down or fault is Fault.DOWN:
            raise _interface.unavailable_error(
                f"{method} {key!r}: store is down"
            )
        return fault

    def _read(self, method: str, key: str) -> _interface.Stored | None:
        if self._next_fault(method, key) is not Fault.STALE:
            return self._current(key)
        history = self._history_by_key.get(key, [])
        kept = len(history) - self.stale_depth
        return history[kept - 1] if kept > 0 else None

    async def _write(
        self, method: str, key: str, value: bytes | None, expected_version: int
    ) -> int:
        fault = self._next_fault(method, key)
        lost = _interface.ambiguous_error(f"{method} {key!r}: no answer")
        if fault is Fault.DELAYED:
            self._delayed.append((key, value, expected_version))
        if fault in {Fault.LOST_REQUEST, Fault.DELAYED}:
            raise lost
        found = self._version(key)
        if found == expected_version:
            await self._apply(key, value)
        if fault is Fault.LOST_ANSWER:
            raise lost
        if found != expected_version:
            raise errors.StoreConflictError(key, expected_version, found)
        return self._version_by_key[key]

    async def _apply(self, key: str, value: bytes | None) -> None:
        version = self._version_by_key.get(key, 0) + 1
        self._version_by_key[key] = version
        stored = (
            None
            if value is None
            else _interface.Stored(key, version, bytes(value))
        )
        self._history_by_key.setdefault(key, []).append(stored)
        async with self._changed:
            self._changed.notify_all()

    def _current(self, key: str) -> _interface.Stored | None:
        history = self._history_by_key.get(key, [])
        return history[-1] if history else None

    def _version(self, key: str) -> int:
        stored = self._current(key)
        return 0 if stored is None else stored.version

    def _newer(self, key: str, known_version: int) -> _interface.Stored | None:
        stored = self._current(key)
        if stored is None or stored.version <= known_version:
            return None
        return stored
