"""Stores the final state of claims in the background."""

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
# Bounds the memory for results that wait while the store is unavailable.
_MAX_PENDING_RECORDS = 1000


@dataclasses.dataclass(frozen=True)
class Record:
    """A pending write of the final state of a claim of this host."""

    key: str
    """Key in the store."""

    claim: _claim.Claim
    """The claim in its final state, DONE or RELEASED."""

    version: int
    """Expected store version. On a conflict the current one is read."""


class Recorder:
    """Writes records to the store; retries until stored or drained."""

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
        """Whether the limit of pending records is reached."""
        return len(self._tasks) >= _MAX_PENDING_RECORDS

    def start(self, record: Record) -> asyncio.Task[None]:
        """Starts to write a record.

        Returns:
            A task that ends when the record is stored or obsolete.
        """
        task = asyncio.create_task(self._write(record))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def drain(self, timeout: datetime.timedelta) -> int:
        """Waits for pending records, then cancels them.

        Returns:
            The number of cancelled records. Their claims stay `claimed`, so a
            retry fails with OUTCOME_UNKNOWN.
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
            version = await self._write_once(record, version)
            attempt += 1
            if version is not None:
                delay = self._backoff.delay(attempt)
                await asyncio.sleep(delay.total_seconds())

    async def _write_once(self, record: Record, version: int) -> int | None:
        """Makes one attempt to write the record.

        Returns:
            The expected version for the next attempt; None when the record is
            stored or obsolete.
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
        self, record: Record, version: int, found_version: int
    ) -> int | None:
        """Reads the stored claim after a conflict.

        Returns:
            The expected version for the next attempt; None if the claim was
            deleted, replaced or already finished.
        """
        if found_version == 0:
            return None
        try:
            stored = await self._store.get(record.key)
            if stored is None or stored.version < found_version:
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
