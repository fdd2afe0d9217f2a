"""The entry that a leaf writes about itself to the store."""

import dataclasses
import datetime

from sassafrashold import settings


@dataclasses.dataclass(frozen=True)
class LeafRef:
    """One incarnation of a leaf."""

    leaf_id: str
    """Id of the leaf; a restart may keep it."""

    born_unix_ms: int
    """Start time of the incarnation; 0 if the leaf does not report it."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeafEntry:
    """The decoded store entry of a leaf."""

    ref: LeafRef
    """The incarnation that wrote the entry."""

    service: str
    """Service that the leaf belongs to."""

    address: settings.Address
    """Listening address; another leaf may reuse it later."""

    zone: str
    """Availability zone of the leaf."""

    slots: int
    """Number of requests that the leaf processes concurrently."""

    draining: bool
    """Whether the leaf is draining before it stops."""

    cold_for: datetime.timedelta
    """Remaining warm-up time as of the time the leaf wrote the entry."""
