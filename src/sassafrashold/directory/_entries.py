"""What a leaf says of itself."""

import dataclasses
import datetime

from sassafrashold import settings


@dataclasses.dataclass(frozen=True)
class LeafRef:
    """One incarnation of a leaf."""

    leaf_id: str
    """Id of the leaf; a restart may keep it."""

    born_unix_ms: int
    """Start of the incarnation; 0 if the leaf does not say."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeafEntry:
    """A readable entry of a leaf."""

    ref: LeafRef
    """The incarnation."""

    service: str
    """Service that it belongs to."""

    address: settings.Address
    """Where it listens; may be used by another leaf later."""

    zone: str
    """Its availability zone."""

    slots: int
    """Requests that it works on at once."""

    draining: bool
    """Whether it is about to leave."""

    cold_for: datetime.timedelta
    """How much longer it is cold, from the time at which it wrote this."""
