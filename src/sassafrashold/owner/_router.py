"""Decides for each leaf whether this process serves it or another owner."""

import dataclasses

from sassafrashold import errors
from sassafrashold import index
from sassafrashold import settings
from sassafrashold import views
from sassafrashold.owner import _gate
from sassafrashold.owner import _rights

MAX_HOPS = 1


@dataclasses.dataclass(frozen=True)
class Here:
    """This process owns the leaf."""

    leaf: index.Leaf
    """The leaf."""


@dataclasses.dataclass(frozen=True)
class Elsewhere:
    """Another process of the zone owns the leaf."""

    owner: settings.Address
    """Its address."""


@dataclasses.dataclass(frozen=True)
class Nowhere:
    """The work is refused, not run."""

    error: errors.SassafrasError
    """Why."""


Route = Here | Elsewhere | Nowhere


def route(
    view: views.View,
    rights: _rights.Rights,
    service: str,
    leaf_id: str,
    hops: int,
) -> Route:
    """Returns where work for a leaf goes.

    Args:
        view: The current view.
        rights: What this process owns.
        service: Service of the work.
        leaf_id: The leaf.
        hops: How often the work has been forwarded between owners.
    """
    try:
        leaf = _find(view, service, leaf_id)
    except errors.LeafError as error:
        return Nowhere(error)
    if rights.owns(leaf):
        return Here(leaf)
    if hops >= MAX_HOPS or leaf.zone != rights.zone:
        return Nowhere(_not_owner(f"leaf {leaf_id!r} has another owner"))
    member = view.owner_of(leaf)
    if member is None or member.host == rights.entitlement.host:
        return Nowhere(_not_owner(f"the owner of {leaf_id!r} is not known"))
    return Elsewhere(member.owner)


def _find(view: views.View, service: str, leaf_id: str) -> index.Leaf:
    """Returns a leaf that may get new work.

    Raises:
        LeafError: It is unknown or out of service; not run.
    """
    if view.table is None:
        raise errors.LeafError(
            errors.ErrorCode.NOT_READY, "the table is not known yet"
        )
    shardmap = view.shardmap_by_service.get(service)
    if shardmap is None or service not in view.table.row_by_service:
        raise errors.LeafError(
            errors.ErrorCode.UNKNOWN_SERVICE, f"no service {service!r}"
        )
    leaf = shardmap.leaf_by_id.get(leaf_id)
    if leaf is None:
        raise _not_owner(f"the shard map has no leaf {leaf_id!r}")
    refusal = _gate.refusal(view, leaf)
    if refusal is not None:
        raise refusal
    return leaf


def _not_owner(message: str) -> errors.LeafError:
    return errors.LeafError(errors.ErrorCode.NOT_OWNER, message)
