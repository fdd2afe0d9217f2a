"""Records the last state of claims in the background."""

import asyncio
import dataclasses
import datetime
import logging

from sassafrashold import errors
from sassafrashold import store as store_lib
from sassafrashold.dispatch import _claim

_LOGGER = logging.getLogger(__name__)
BACKOFF = store_lib.Backoff(
    base=datetime.timedelta(milliseconds=50), cap=datetime.timedelta(seconds=5)
)
# Each record holds a result in memory while the store is down.
_MAX_PENDING = 1000


@dataclasses.dataclass(frozen=True)
class Record:
    """A state that a claim of this host is to get."""

    key: str
    """Key in the store."""

    claim: _claim.Claim
    """The claim with that state, done or released."""

    version: int
    """Version to replace. A wrong guess is corrected by reading."""


class Recorder:
    """Writes records until they are stored or the process drains."""

    def __init__(
        self,
        store: store_lib.ObjectStore,
        backoff: store_lib.Backoff = BACKOFF,
    ) -> None:
        self._store = store
        self._backoff = backoff
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_full(self) -> bool:
        """Whether too many records wait for the store."""
        return len(self._tasks) >= _MAX_PENDING

    def start(self, record: Record) -> asyncio.Task[None]:
        """Starts to write a record; the task ends when it is stored."""
        task = asyncio.create_task(self._write(record))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def drain(self, timeout: datetime.timedelta) -> int:
        """Waits for records under way, then gives them up.

        Returns:
            The number of records given up. Their claims stay `claimed`, so a
            retry is told that the outcome is unknown.
        """
        tasks = set(self._tasks)
        if not tasks:
            return 0
        _, pending = await asyncio.wait(tasks, timeout=timeout.total_seconds())
        for task in pending:
            task.cancel()
        return len(pending)

    async def _write(self, record: Record) -> None:
        version: int | None = record.version
        attempt = 0
        while version is not None:
            version = await self._try(record, version)
            attempt += 1
            if version is not None:
                delay = self._backoff.delay(attempt)
                await asyncio.sleep(delay.total_seconds())

    async def _try(self, record: Record, version: int) -> int | None:
        """Writes once.

        Returns:
            The version to replace in the next attempt; None when the record is
            stored or has no place in the store any more.
        """
        try:
            await self._store.put(record.key, record.claim.encode(), version)
        except errors.StoreConflictError as error:
            return await self._next_version(record, version, error.found)
        except errors.StoreError as error:
            _LOGGER.warning(
                "cannot record a claim yet",
                extra={"key": record.key, "error": str(error)},
            )
            return version
        return None

    async def _next_version(
        self, record: Record, version: int, found: int
    ) -> int | None:
        """Looks at the claim that a write met instead of its version."""
        if found == 0:
            return None
        try:
            stored = await self._store.get(record.key)
            if stored is None or stored.version < found:
                return version
            claim = _claim.Claim.decode(record.key, stored.value)
        except errors.StoreError:
            return version
        except errors.DocumentError as error:
            _LOGGER.error("cannot record a claim", extra={"error": str(error)})
            return None
        if (
            claim.claim_id != record.claim.claim_id
            or claim.state is not _claim.ClaimState.CLAIMED
        ):
            return None
        return stored.version
