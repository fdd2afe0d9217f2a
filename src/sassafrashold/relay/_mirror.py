"""A copy of one topic with a log of its recent changes."""

import collections

from sassafrashold.relay import _documents
from sassafrashold.relay import _position

# Covers more than a minute with a few changes of leafs each second.
_MAX_CHANGES = 512


class Mirror:
    """Returns the changes of a topic since a given position; does no I/O.

    Positions are those of the store, so a follower can resume from another
    mirror, or from the store itself, at the position it has reached.
    """

    def __init__(self) -> None:
        self._position: _position.Position | None = None
        # The change log is complete after this position.
        self._log_start = _position.Position(0, 0)
        # Last revision of each earlier era. The log does not have what the
        # store changed after it in that era, and then lost.
        self._last_revision_by_era: dict[int, int] = {}
        self._document_by_name: dict[str, _documents.Document] = {}
        # Newest change of each document, with its position, oldest first. Older
        # versions would fill the memory if the documents are large.
        self._change_by_name: collections.OrderedDict[
            str, tuple[_position.Position, _documents.Document]
        ] = collections.OrderedDict()

    @property
    def position(self) -> _position.Position | None:
        """Place up to which the copy is complete; None before a snapshot."""
        return self._position

    @property
    def documents(self) -> tuple[_documents.Document, ...]:
        """All documents of the copy."""
        return tuple(self._document_by_name.values())

    def apply(self, batch: _documents.Batch) -> bool:
        """Applies a batch unless it is older than the copy or leaves a gap.

        Returns:
            Whether the copy may have changed.
        """
        reached = self._position
        if reached is not None and not _extends(batch, reached):
            return False
        if batch.is_snapshot and reached is None:
            self._document_by_name = {
                document.name: document for document in batch.documents
            }
            self._position = batch.position
            self._log_start = batch.position
            return True
        changes = self._diff(batch) if batch.is_snapshot else batch.documents
        for document in changes:
            self._set(document)
            self._change_by_name[document.name] = (batch.position, document)
            self._change_by_name.move_to_end(document.name)
        is_new_era = reached is not None and batch.position.era > reached.era
        if reached is not None and is_new_era:
            self._last_revision_by_era[reached.era] = reached.revision
        self._position = batch.position
        while len(self._change_by_name) > _MAX_CHANGES:
            _, (self._log_start, _) = self._change_by_name.popitem(last=False)
        return batch.is_snapshot or bool(changes) or is_new_era

    def changes_since(
        self, position: _position.Position | None
    ) -> _documents.Batch | None:
        """Returns the changes after a position.

        Args:
            position: Position of the follower's copy; None if it has no copy.

        Returns:
            The current state of each changed document, or a snapshot if the
            change log does not reach back to `position`; None if nothing has
            changed, or if the follower is ahead.
        """
        if self._position is None:
            return None
        if position is not None and position >= self._position:
            return None
        if position is None or not self._is_logged_since(position):
            return _documents.Batch(
                self.documents, self._position, is_snapshot=True
            )
        # Each configuration is sent in full, so only the newest of a series is
        # passed on.
        changed = tuple(
            document
            for changed_at, document in self._change_by_name.values()
            if changed_at > position
        )
        if not changed and position.era == self._position.era:
            return None
        return _documents.Batch(changed, self._position, since=position)

    def _is_logged_since(self, position: _position.Position) -> bool:
        """Returns whether the log has all that differs from a position."""
        if self._position is None or position < self._log_start:
            return False
        return (
            position.era == self._position.era
            or position.revision
            <= self._last_revision_by_era.get(position.era, -1)
        )

    def _diff(self, batch: _documents.Batch) -> tuple[_documents.Document, ...]:
        """Returns the changes from the copy to a snapshot.

        Followers receive these changes instead of the snapshot, which would
        saturate the link of a small host.
        """
        listed = {document.name for document in batch.documents}
        return (
            *(
                document
                for document in batch.documents
                if self._document_by_name.get(document.name) != document
            ),
            *(
                _documents.Document(name, None, deleted=True)
                for name in self._document_by_name
                if name not in listed
            ),
        )

    def _set(self, document: _documents.Document) -> None:
        if document.deleted:
            self._document_by_name.pop(document.name, None)
        else:
            self._document_by_name[document.name] = document


def _extends(batch: _documents.Batch, reached: _position.Position) -> bool:
    """Returns whether a batch continues a copy that has reached a position."""
    if batch.position < reached:
        return False
    if batch.is_snapshot:
        return True
    if batch.position.era != reached.era:
        # The changes lead from the place `since` to the new era. A copy that
        # has gone on from there may hold what the store has lost.
        return batch.since == reached
    return batch.since is None or batch.since <= reached
