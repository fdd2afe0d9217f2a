"""Documents of the store as they are passed on."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True)
class Document:
    """One object of a topic, or the fact that it is gone."""

    name: str
    """Unique within the topic."""

    content: Any
    """What its writer wrote, as JSON values; only the adapter reads it."""

    deleted: bool = False
    """Whether it is gone."""


@dataclasses.dataclass(frozen=True)
class Batch:
    """All documents of a topic, or changes to them in order."""

    documents: tuple[Document, ...]
    """The documents."""

    revision: int
    """Store revision up to which the batch is complete."""

    whole: bool = False
    """Whether documents that are not in it do not exist."""
