"""A copy of one topic with a log of its recent changes."""

import collections
import dataclasses

from sassafrashold.relay import _documents
from sassafrashold.relay import _position

# Covers more than a minute with a few changes of leafs each second.
_MAX_CHANGES = 512
# Each snapshot that is read over a copy leaves a gap.
_MAX_GAPS = 64


@dataclasses.dataclass(frozen=True)
class _Gap:
    """Places that the copy skipped: changes undone in between are unknown."""

    start: _position.Position
    end: _position.Position


class Mirror:
    """Returns the changes of a topic since a given position; does no I/O.

    Positions are those of the store, so a follower can resume from another
    mirror, or from the store itself, at the position it has reached.
    """

    def __init__(self) -> None:
        self._position: _position.Position | None = None
        # The change log is complete after this position.
        self._log_start = _position.Position(0, 0)
        # Oldest first.
        self._gaps: list[_Gap] = []
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
        if reached is not None and (batch.is_snapshot or batch.is_difference):
            self._gaps.append(_Gap(reached, batch.position))
        self._position = batch.position
        while len(self._change_by_name) > _MAX_CHANGES:
            _, (dropped_at, _) = self._change_by_name.popitem(last=False)
            self._drop_log_before(dropped_at)
        while len(self._gaps) > _MAX_GAPS:
            self._drop_log_before(self._gaps[0].end)
        is_new_era = reached is not None and batch.position.era > reached.era
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
        return _documents.Batch(
            changed,
            self._position,
            since=position,
            is_difference=any(position <= gap.start for gap in self._gaps),
        )

    def _is_logged_since(self, position: _position.Position) -> bool:
        """Returns whether the log has all that differs from a position."""
        return position >= self._log_start and not any(
            gap.start < position < gap.end for gap in self._gaps
        )

    def _drop_log_before(self, position: _position.Position) -> None:
        self._log_start = max(self._log_start, position)
        self._gaps = [gap for gap in self._gaps if gap.end > self._log_start]

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
    if batch.is_difference:
        return batch.since == reached
    if batch.position.era != reached.era:
        return False
    return batch.since is None or batch.since <= reached
