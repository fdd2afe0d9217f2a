"""Edits that no longer fit into the table, in chunks of their own."""

import dataclasses
import itertools

from sassafrashold import clock as clock_lib
from sassafrashold import documents
from sassafrashold import errors
from sassafrashold import store as store_lib
from sassafrashold.table import _table

HISTORY_PREFIX = "config/history/"
_MAX_EDITS = 50
_CHUNK_EDITS = 25
# A few large imports must not fill the object, which every host receives on
# each change, before 50 edits are reached.
_MAX_EDITS_BYTES = 256_000
_READS = 5


@dataclasses.dataclass(frozen=True)
class Chunk:
    """Consecutive edits as stored at `config/history/{first revision}`."""

    first_revision: int
    """Revision that the oldest edit made."""

    edits: tuple[_table.Edit, ...]
    """The edits, oldest first."""

    @property
    def key(self) -> str:
        """Key in the store."""
        return f"{HISTORY_PREFIX}{self.first_revision}"

    @classmethod
    def decode(cls, key: str, data: bytes) -> "Chunk":
        """Parses the stored document.

        Raises:
            DocumentError: It is malformed.
        """
        document = documents.parse(key, data)
        return cls(
            documents.get(key, document, "first_revision", int),
            _table.decode_edits(key, document),
        )

    def encode(self) -> bytes:
        """Returns the stored form."""
        return documents.dump(
            {
                "first_revision": self.first_revision,
                "edits": _table.encode_edits(self.edits),
            }
        )


@dataclasses.dataclass(frozen=True)
class Revision:
    """One accepted edit and the revision that it made."""

    number: int
    """Revision of the table."""

    edit: _table.Edit
    """The edit."""


def chunk_to_copy(table: _table.Table) -> Chunk | None:
    """Returns the oldest edits if they have to leave before the next edit."""
    count = 0
    if len(table.edits) >= _MAX_EDITS:
        count = _CHUNK_EDITS
    elif len(table.edits) > 1:
        size = len(documents.dump(_table.encode_edits(table.edits)))
        if size > _MAX_EDITS_BYTES:
            count = len(table.edits) // 2
    if count == 0:
        return None
    return Chunk(table.first_revision, table.edits[:count])


async def without_old_edits(
    store: store_lib.ObjectStore,
    table: _table.Table,
    clock: clock_lib.Clock,
    backoff: store_lib.Backoff,
) -> _table.Table:
    """Copies old edits to a chunk if it is time, and drops them.

    Only edits that the stored chunk holds are dropped, whichever editor wrote
    it. The copy is made from a table that was read from the store, so it holds
    accepted edits only and is right even if the next edit fails.

    Raises:
        StoreError: The copy is not certain; nothing is dropped.
    """
    chunk = chunk_to_copy(table)
    if chunk is None:
        return table
    try:
        stored = await store_lib.put_resolved(
            store,
            chunk.key,
            chunk.encode(),
            0,
            lambda value: True,
            clock=clock,
            backoff=backoff,
        )
        kept = Chunk.decode(chunk.key, stored.value)
    except errors.StoreConflictError:
        kept = await _read_existing(store, chunk.key)
    except errors.StoreError as error:
        raise errors.StoreError(
            errors.ErrorCode.STORE_UNAVAILABLE,
            f"cannot copy old edits to {chunk.key!r}: {error.message}",
        ) from error
    copied = 0
    for ours, theirs in zip(table.edits, kept.edits, strict=False):
        if ours != theirs:
            break
        copied += 1
    return table.with_edits_from(copied)


async def find_edit(
    store: store_lib.ObjectStore, revision: int, edit_id: str
) -> bool:
    """Returns whether an edit that left the table made a revision.

    Raises:
        StoreError: The chunk with this revision cannot be read now.
    """
    for revision_found in await _archived(store):
        if revision_found.number == revision:
            return revision_found.edit.edit_id == edit_id
    raise errors.StoreError(
        errors.ErrorCode.STORE_UNAVAILABLE,
        f"no chunk of history with revision {revision} can be read",
    )


async def read_history(
    store: store_lib.ObjectStore, table: _table.Table
) -> tuple[Revision, ...]:
    """Returns all edits up to a table, oldest first.

    Args:
        store: The store.
        table: The table; read it before this call.

    Raises:
        StoreError: The store fails, or its reads are stale and edits between
            the chunks and the table are missing.
        DocumentError: A chunk is malformed.
    """
    listed = _numbered(table.first_revision, table.edits)
    longest: tuple[Revision, ...] = ()
    for _ in range(_READS):
        archived = [
            revision
            for revision in await _archived(store)
            if revision.number < table.first_revision
        ]
        history = (*archived, *listed)
        if _contiguous(history):
            longest = max(longest, history, key=len)
        # A stale list may lack the oldest chunks. A table that was put into the
        # store by other means than edits starts later.
        if longest and longest[0].number == 1:
            break
    if listed and not longest:
        raise errors.StoreError(
            errors.ErrorCode.STORE_UNAVAILABLE,
            f"{HISTORY_PREFIX}: a part of the history cannot be read",
        )
    return longest


async def _archived(store: store_lib.ObjectStore) -> tuple[Revision, ...]:
    """Returns the edits of all chunks that can be read, oldest first."""
    edit_by_revision: dict[int, _table.Edit] = {}
    for key in await store.list(HISTORY_PREFIX):
        stored = await store.get(key)
        if stored is None:
            continue
        chunk = Chunk.decode(key, stored.value)
        for revision in _numbered(chunk.first_revision, chunk.edits):
            edit_by_revision[revision.number] = revision.edit
    return tuple(
        Revision(number, edit_by_revision[number])
        for number in sorted(edit_by_revision)
    )


async def _read_existing(store: store_lib.ObjectStore, key: str) -> Chunk:
    """Reads a chunk that is known to exist; a stale read may miss it."""
    for _ in range(_READS):
        stored = await store.get(key)
        if stored is not None:
            return Chunk.decode(key, stored.value)
    raise errors.StoreError(
        errors.ErrorCode.STORE_UNAVAILABLE, f"{key!r} cannot be read"
    )


def _numbered(
    first_revision: int, edits: tuple[_table.Edit, ...]
) -> tuple[Revision, ...]:
    return tuple(
        Revision(first_revision + position, edit)
        for position, edit in enumerate(edits)
    )


def _contiguous(revisions: tuple[Revision, ...]) -> bool:
    return all(
        later.number == earlier.number + 1
        for earlier, later in itertools.pairwise(revisions)
    )
