"""Documents of the store as hosts replicate them."""

import dataclasses
from typing import Any

from sassafrashold.relay import _position


@dataclasses.dataclass(frozen=True)
class Document:
    """One object of a topic, or a tombstone of a deleted one."""

    name: str
    """Unique within the topic."""

    content: Any
    """Stored content as JSON values; only the store adapter decodes it."""

    deleted: bool = False
    """Whether the object was deleted."""


@dataclasses.dataclass(frozen=True)
class Batch:
    """A snapshot of a topic, or changes to it in order."""

    documents: tuple[Document, ...]
    """All documents of the topic, or the changed ones."""

    position: _position.Position
    """Place in the store's history up to which the batch is complete."""

    is_snapshot: bool = False
    """Whether it is a snapshot: documents that are not in it do not exist."""

    since: _position.Position | None = None
    """Place after which the changes are complete; None if it is not limited."""

    is_difference: bool = False
    """Whether the changes are the difference to the copy at `since`.

    Changes that were undone in between are missing, so that they fit only a
    copy that is exactly there.
    """
