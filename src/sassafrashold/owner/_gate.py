"""Checks of the operators' marks and the host list before leaf calls."""

from collections.abc import Mapping

from sassafrashold import errors
from sassafrashold import index
from sassafrashold import leafs
from sassafrashold import table as table_lib
from sassafrashold import views


def refusal(view: views.View, leaf: index.Leaf) -> errors.LeafError | None:
    """Returns why a leaf must get no new work (not run), if it must not."""
    marks = view.table.marks if view.table else table_lib.Marks()
    if leaf.zone in marks.zones:
        return errors.LeafError(
            errors.ErrorCode.ZONE_OUT, f"zone {leaf.zone} is out of service"
        )
    if leaf.host in marks.hosts:
        return errors.LeafError(
            errors.ErrorCode.HOST_OUT, f"host {leaf.host} is out of service"
        )
    if view.is_leaving(leaf.host):
        return errors.LeafError(
            errors.ErrorCode.LEAVING, f"host {leaf.host} is leaving"
        )
    return None


def no_slots(leaf: index.Leaf, grant: leafs.SlotGrant) -> errors.LeafError:
    """Returns the refusal (not run) for a leaf without granted slots."""
    if grant.basis is leafs.Basis.NOT_OWNER:
        return errors.LeafError(
            errors.ErrorCode.NOT_OWNER,
            f"this process does not own leaf {leaf.leaf_id}",
        )
    return errors.LeafError(
        errors.ErrorCode.NO_ENTITLEMENT,
        f"no slot of leaf {leaf.leaf_id} may be used: {grant.basis.value}",
    )


def weight_by_class(table: table_lib.Table | None) -> Mapping[str, float]:
    """Returns the relative share of each priority class.

    The floor of a class raises its share; of several rows with one class the
    highest counts.
    """
    rows = table.rows if table else ()
    share_by_class: dict[str, int] = {}
    floor_by_class: dict[str, float] = {}
    for row in rows:
        name = row.priority_class
        share_by_class[name] = max(
            share_by_class.get(name, 0), row.priority_share
        )
        floor_by_class[name] = max(
            floor_by_class.get(name, 0.0), row.priority_floor_percent / 100
        )
    total = sum(share_by_class.values())
    return {
        name: max(share / total, floor_by_class[name])
        for name, share in share_by_class.items()
    }
