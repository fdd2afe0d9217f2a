"""Edits of the stored table as conditional updates."""

import asyncio
from collections.abc import Callable
import dataclasses
import uuid

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import store as store_lib
from sassafrashold.table import _changes
from sassafrashold.table import _history
from sassafrashold.table import _table

_RACES = store_lib.Backoff(attempts=20)
_RESOLUTION = store_lib.Backoff(attempts=8)


@dataclasses.dataclass(frozen=True)
class Read:
    """The table as one read found it."""

    table: _table.Table
    """The table; empty at revision 0 if there is none."""

    version: int
    """Version in the store; 0 if there is none."""


@dataclasses.dataclass(frozen=True)
class Accepted:
    """Outcome of a change that is now in the table."""

    table: _table.Table
    """A table with the change: the one it made or a later one."""

    version: int
    """Version of that table in the store."""

    revision: int
    """Revision that the change made."""

    edit: _table.Edit
    """The edit, with the cells that were still to change."""


class Editor:
    """Reads and edits the table in the store.

    A change is worked out on the table that was read, and then merged into the
    table in force if other edits came first.
    """

    def __init__(
        self,
        store: store_lib.ObjectStore,
        clock: clock_lib.Clock,
        *,
        new_id: Callable[[], str] = lambda: uuid.uuid4().hex,
        races: store_lib.Backoff = _RACES,
        resolution: store_lib.Backoff = _RESOLUTION,
    ) -> None:
        """Initializes the editor.

        Args:
            store: The store.
            clock: The clock.
            new_id: Draws the unique id of an edit.
            races: Bounds how often an edit is merged and sent again.
            resolution: Bounds the attempts to resolve a lost answer.
        """
        self._store = store
        self._clock = clock
        self._new_id = new_id
        self._races = races
        self._resolution = resolution
        # Newest version that this editor knows of. An older, stale read would
        # make its own last edit look like that of a rival.
        self._known_version = 0

    async def read(self) -> Read:
        """Returns the table, not older than this editor has seen it before.

        Raises:
            StoreError: STORE_UNAVAILABLE; the store fails or reads are stale.
            DocumentError, TableError: The stored table cannot be read.
        """
        for attempt in range(1, self._resolution.attempts + 1):
            stored = await self._store.get(_table.TABLE_KEY)
            if stored is None and self._known_version == 0:
                return Read(_table.Table(), 0)
            if stored is not None and stored.version >= self._known_version:
                self._known_version = stored.version
                return Read(_table.Table.decode(stored.value), stored.version)
            delay = self._resolution.delay(attempt)
            await asyncio.sleep(delay.total_seconds())
        raise errors.StoreError(
            errors.ErrorCode.STORE_UNAVAILABLE,
            f"{_table.TABLE_KEY!r}: reads are older than version "
            f"{self._known_version}",
        )

    async def history(self) -> tuple[_history.Revision, ...]:
        """Returns all accepted edits, oldest first.

        Raises:
            StoreError: The store fails or a part cannot be read.
        """
        return await _history.read_history(
            self._store, (await self.read()).table
        )

    async def apply(
        self,
        change: _changes.Change,
        *,
        who: str,
        note: str = "",
        base: _table.Table | None = None,
    ) -> Accepted:
        """Makes a change.

        A change that the table seems to have already is written as well,
        without cells: only a conditional update shows that the read was not
        stale.

        Args:
            change: What to change.
            who: Operator.
            note: Reason given by the operator.
            base: Table that the operator saw; the table in force if None.

        Raises:
            EditConflictError: Another edit changed the same cell; not run.
            TableError: The change is not allowed; not run.
            StoreError: With NOT_RUN if the change was not accepted, otherwise
                STORE_AMBIGUOUS: it may have been, or may still be.
        """
        found = await self.read()
        seen = found.table if base is None else base
        edit = _table.Edit(self._new_id(), who, self._clock.now(), note, ())
        for attempt in range(1, self._races.attempts + 1):
            cells = _changes.merge(change, seen, found.table)
            accepted = await self._try(
                found, dataclasses.replace(edit, cells=cells)
            )
            if accepted is not None:
                return accepted
            delay = self._races.delay(attempt)
            await asyncio.sleep(delay.total_seconds())
            found = await self.read()
        raise errors.StoreError(
            errors.ErrorCode.STORE_UNAVAILABLE,
            f"the table changed {self._races.attempts} times during the edit",
        )

    async def _try(self, base: Read, edit: _table.Edit) -> Accepted | None:
        """Sends one conditional update.

        Returns:
            The accepted edit; None if another edit came first, and this one
            certainly did not take effect.
        """
        trimmed = await _history.without_old_edits(
            self._store, base.table, self._clock, self._resolution
        )
        table = trimmed.with_edit(edit)
        try:
            stored = await store_lib.put_resolved(
                self._store,
                _table.TABLE_KEY,
                table.encode(),
                base.version,
                lambda value: _may_hold(value, edit, table.revision),
                clock=self._clock,
                backoff=self._resolution,
            )
        except errors.StoreConflictError as error:
            self._known_version = max(self._known_version, error.found)
            return None
        self._known_version = max(self._known_version, stored.version)
        found = _table.Table.decode(stored.value)
        if not found.has_edit(edit.edit_id) and not await self._archived(
            edit, table.revision
        ):
            return None
        return Accepted(found, stored.version, table.revision, edit)

    async def _archived(self, edit: _table.Edit, revision: int) -> bool:
        """Returns whether the history has an edit that left the table.

        Raises:
            StoreError: STORE_AMBIGUOUS; the history cannot be read.
        """
        try:
            return await _history.find_edit(self._store, revision, edit.edit_id)
        except errors.StoreError as error:
            raise errors.StoreError(
                errors.ErrorCode.STORE_AMBIGUOUS,
                f"cannot find out whether edit {edit.edit_id} was accepted: "
                + error.message,
                ran=errors.Ran.OUTCOME_UNKNOWN,
            ) from error


def _may_hold(value: bytes, edit: _table.Edit, revision: int) -> bool:
    """Returns whether a later table has an edit or may have archived it."""
    table = _table.Table.decode(value)
    return table.has_edit(edit.edit_id) or table.first_revision > revision
