"""Why a leaf or zone gets work or does not, from the platform's state."""

import dataclasses

from sassafrashold import index
from sassafrashold import lease
from sassafrashold import table as table_lib
from sassafrashold import views
from sassafrashold.ctl import _entries
from sassafrashold.ctl import _facts

WORKS = "gets work"
NO_WORK = "gets no new work"
UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Explanation:
    """A verdict with its reasons."""

    verdict: str
    """WORKS, NO_WORK or UNKNOWN."""

    reasons: tuple[str, ...]
    """Sentences."""

    facts: tuple[_entries.Fact, ...]
    """Facts that it rests on."""


def concerns(fact: _entries.Fact, subject: str) -> bool:
    """Returns whether a fact is about a leaf or zone."""
    is_silent_host = fact.name == "status" and fact.value is None
    return subject in fact.subject.split("/") or is_silent_host


def explain_leaf(state: _facts.PlatformState, leaf_id: str) -> Explanation:
    """Explains a leaf.

    Args:
        state: What the platform knows.
        leaf_id: Id of the leaf.
    """
    found = [
        (shardmap.service, shardmap.leaf_by_id[leaf_id])
        for shardmap in state.view.shardmap_by_service.values()
        if leaf_id in shardmap.leaf_by_id
    ]
    if not found:
        return Explanation(
            UNKNOWN, (f"no shard map that can be read names {leaf_id!r}",), ()
        )
    service, leaf = found[0]
    blocks = [*_zone_blocks(state.view, leaf.zone)]
    blocks.extend(_host_blocks(state.view, leaf.host))
    verdict = _verdict(state, blocks)
    return Explanation(
        verdict,
        (*blocks, *_owner_reasons(state.view, leaf)),
        (
            _fact(state, "service", leaf_id, service, service),
            _fact(state, "zone", leaf_id, leaf.zone, service),
            _fact(state, "host", leaf_id, leaf.host, service),
            _fact(state, "address", leaf_id, str(leaf.address), service),
            *_limit_facts(state, leaf_id, service),
        ),
    )


def explain_zone(state: _facts.PlatformState, zone: str) -> Explanation:
    """Explains a zone.

    Args:
        state: What the platform knows.
        zone: Name of the zone.
    """
    blocks = _zone_blocks(state.view, zone)
    leafs = [
        leaf
        for shardmap in state.view.shardmap_by_service.values()
        for leaf in shardmap.leaf_by_id.values()
        if leaf.zone == zone
    ]
    zone_lease = state.view.lease_by_zone.get(zone)
    reasons = [*blocks]
    if zone_lease is None:
        reasons.append("no lease that can be read: the owners are unknown")
    elif zone_lease.earlier:
        epochs = ", ".join(str(old.epoch) for old in zone_lease.earlier)
        reasons.append(f"owners of earlier epochs not yet released: {epochs}")
    if not leafs and zone_lease is None and not blocks:
        return Explanation(
            UNKNOWN, (f"nothing that can be read names {zone!r}",), ()
        )
    hosts = state.view.host_list
    return Explanation(
        _verdict(state, blocks),
        tuple(reasons),
        (
            _zone_fact(state, "leafs", zone, len(leafs)),
            _zone_fact(
                state,
                "lease_epoch",
                zone,
                None if zone_lease is None else zone_lease.epoch,
            ),
            _zone_fact(
                state,
                "lease_members",
                zone,
                None
                if zone_lease is None
                else [member.host for member in zone_lease.members],
            ),
            _zone_fact(
                state,
                "platform_hosts",
                zone,
                None
                if hosts is None
                else {
                    entry.host: "leaving" if entry.leaving else "live"
                    for entry in hosts.entry_by_host.values()
                    if entry.zone == zone
                },
            ),
        ),
    )


def _verdict(state: _facts.PlatformState, blocks: list[str]) -> str:
    if blocks:
        return NO_WORK
    return UNKNOWN if state.view.table is None else WORKS


def _zone_blocks(view: views.View, zone: str) -> list[str]:
    table = view.table or table_lib.Table()
    if zone not in table.marks.zones:
        return []
    return [_mark_text(table, table_lib.ZONES_COLUMN, zone, "zone")]


def _host_blocks(view: views.View, host: str) -> list[str]:
    table = view.table or table_lib.Table()
    blocks = []
    if host in table.marks.hosts:
        blocks.append(_mark_text(table, table_lib.HOSTS_COLUMN, host, "host"))
    if view.is_leaving(host):
        blocks.append(f"the platform's host list calls host {host} leaving")
    return blocks


def _mark_text(
    table: table_lib.Table, column: str, name: str, kind: str
) -> str:
    """Returns who marked a zone or host out, when and why."""
    text = f"{kind} {name} is marked out"
    for edit in reversed(table.edits):
        for cell in edit.cells:
            if cell.service == table_lib.MARKS_SERVICE and (
                (cell.column, cell.new) == (column, name)
            ):
                at = edit.at.isoformat(timespec="seconds")
                note = f": {edit.note}" if edit.note else ""
                return f"{text} by {edit.who} at {at}{note}"
    return f"{text}; the edit is in `table history`"


def _owner_reasons(view: views.View, leaf: index.Leaf) -> list[str]:
    zone_lease = view.lease_by_zone.get(leaf.zone)
    if zone_lease is None:
        return ["owner unknown: the zone's lease cannot be read"]
    owner = zone_lease.owner_of(leaf.leaf_id)
    if owner is None:
        return [f"no owner: epoch {zone_lease.epoch} has no members"]
    reasons = [
        f"owned by host {owner.host} ({owner.owner}) in epoch "
        f"{zone_lease.epoch}"
    ]
    for old in zone_lease.earlier:
        earlier = old.owner_of(leaf.leaf_id)
        if earlier is not None and earlier.host != owner.host:
            reasons.append(
                f"a slot may be kept for host {earlier.host}, its owner in "
                f"epoch {old.epoch}"
            )
    return reasons


def _limit_facts(
    state: _facts.PlatformState, leaf_id: str, service: str
) -> list[_entries.Fact]:
    """Returns the limits of the table for a leaf."""
    table = state.view.table
    row = None if table is None else table.row_by_service.get(service)
    cells = {} if row is None else row.cells()
    reason = state.reason_by_part.get(table_lib.TABLE_KEY, "")
    return [
        _entries.Fact(
            column, leaf_id, cells.get(column), None, state.source, reason
        )
        for column in (
            "slots_per_leaf",
            "connections_per_leaf",
            "cold_start_slots",
        )
    ]


def _fact(
    state: _facts.PlatformState,
    name: str,
    leaf_id: str,
    value: str,
    service: str,
) -> _entries.Fact:
    source = f"{state.source} {index.shardmap_key(service)}"
    return _entries.Fact(name, leaf_id, value, None, source)


def _zone_fact(
    state: _facts.PlatformState, name: str, zone: str, value: object
) -> _entries.Fact:
    reason = state.reason_by_part.get(lease.lease_key(zone), "")
    return _entries.Fact(name, zone, value, None, state.source, reason)
