"""A copy of one topic with a log of its recent changes."""

import collections

from sassafrashold.relay import _documents

# Covers more than a minute with a few changes of leafs each second.
_MAX_CHANGES = 512


class Mirror:
    """Returns the changes of a topic since a given revision; does no I/O.

    Revisions are those of the store, so a follower can resume from another
    mirror, or from the store itself, at the revision it has reached.
    """

    def __init__(self) -> None:
        self._revision: int | None = None
        # The change log is complete after this revision.
        self._log_start = 0
        self._document_by_name: dict[str, _documents.Document] = {}
        # Newest change of each document, with its revision, oldest first. Older
        # versions would fill the memory if the documents are large.
        self._change_by_name: collections.OrderedDict[
            str, tuple[int, _documents.Document]
        ] = collections.OrderedDict()

    @property
    def revision(self) -> int | None:
        """Revision up to which the copy is complete; None before a snapshot."""
        return self._revision

    def apply(self, batch: _documents.Batch) -> bool:
        """Applies a batch unless it is older than the copy.

        Returns:
            Whether the copy may have changed.
        """
        if self._revision is not None and batch.revision < self._revision:
            return False
        if batch.is_snapshot and self._revision is None:
            self._document_by_name = {
                document.name: document for document in batch.documents
            }
            self._revision = batch.revision
            self._log_start = batch.revision
            return True
        changes = self._diff(batch) if batch.is_snapshot else batch.documents
        for document in changes:
            self._set(document)
            self._change_by_name[document.name] = (batch.revision, document)
            self._change_by_name.move_to_end(document.name)
        self._revision = batch.revision
        while len(self._change_by_name) > _MAX_CHANGES:
            _, (self._log_start, _) = self._change_by_name.popitem(last=False)
        return batch.is_snapshot or bool(changes)

    def changes_since(self, revision: int | None) -> _documents.Batch | None:
        """Returns the changes after a revision.

        Args:
            revision: Revision of the follower's copy; None if it has no copy.

        Returns:
            The current state of each changed document, or a snapshot if the
            change log does not reach back to `revision`; None if nothing has
            changed.
        """
        if self._revision is None:
            return None
        if revision is None or revision < self._log_start:
            return _documents.Batch(
                tuple(self._document_by_name.values()),
                self._revision,
                is_snapshot=True,
            )
        if revision >= self._revision:
            return None
        # Each configuration is sent in full, so only the newest of a series is
        # passed on.
        changed = tuple(
            document
            for changed_at, document in self._change_by_name.values()
            if changed_at > revision
        )
        if not changed:
            return None
        return _documents.Batch(changed, self._revision)

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
