"""Usable replicas, their weights and their owners."""

from collections.abc import Mapping
import dataclasses
import datetime

from sassafrashold import index
from sassafrashold import lease
from sassafrashold import table as table_lib
from sassafrashold import views
from sassafrashold.search import _leafs


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """A leaf that can serve a shard."""

    leaf_id: str
    """Id of the leaf."""

    zone: str
    """Availability zone of the leaf."""

    weight: int
    """Weight of the zone in the table row of the service."""

    record: _leafs.LeafRecord
    """Latency, load and back-off of the leaf; shared by all queries."""


@dataclasses.dataclass(frozen=True)
class ServiceTopology:
    """The pinned version of a service and its replicas."""

    row: table_lib.ServiceRow
    """Table row of the service."""

    version: str
    """Name of the pinned version."""

    replicas_by_shard: tuple[tuple[Replica, ...], ...]
    """Usable replicas, indexed by shard."""

    missing_shards: tuple[int, ...]
    """Shards without a usable replica."""

    @property
    def served_fraction(self) -> float:
        """Fraction of the shards that have a usable replica, 0 to 1."""
        shards = len(self.replicas_by_shard)
        return (shards - len(self.missing_shards)) / shards if shards else 0.0


class Topologies:
    """Derives the topology of each service from the view and caches it.

    A view changes with each renewal of a lease, but tables and shard maps
    rarely do, so an entry stays valid until the objects that it was derived
    from are replaced.
    """

    def __init__(self, tracker: _leafs.LeafTracker) -> None:
        self._tracker = tracker
        self._inputs: tuple[object, ...] = ()
        self._by_service: dict[
            tuple[str, frozenset[str]],
            tuple[index.ShardMap, ServiceTopology | None],
        ] = {}

    def get(
        self,
        view: views.View,
        row: table_lib.ServiceRow,
        now: datetime.timedelta,
        excluded: frozenset[str] = frozenset(),
    ) -> ServiceTopology | None:
        """Returns the topology of a service; None if no version is usable.

        Args:
            view: The current view.
            row: Table row of the service.
            now: Monotonic time.
            excluded: Names of versions that must not be chosen.
        """
        shardmap = view.shardmap_by_service.get(row.service)
        if shardmap is None:
            return None
        inputs = (
            view.table,
            view.host_list,
            self._tracker.version_gone_changes,
        )
        if not _same_inputs(inputs, self._inputs):
            self._inputs = inputs
            self._by_service.clear()
        key = (row.service, excluded)
        known = self._by_service.get(key)
        if known is None or known[0] is not shardmap:
            known = (shardmap, self._derive(view, row, shardmap, now, excluded))
            self._by_service[key] = known
        return known[1]

    def _derive(
        self,
        view: views.View,
        row: table_lib.ServiceRow,
        shardmap: index.ShardMap,
        now: datetime.timedelta,
        excluded: frozenset[str],
    ) -> ServiceTopology | None:
        def is_usable(leaf: index.Leaf, version: str) -> bool:
            return _accepts_work(
                view, row, leaf
            ) and not self._tracker.is_version_gone(leaf.leaf_id, version, now)

        choice = index.choose_version(shardmap, is_usable, excluded)
        if choice is None:
            return None
        replica_by_leaf: dict[str, Replica] = {}
        for leafs in choice.usable_by_shard:
            for leaf in leafs:
                replica_by_leaf[leaf.leaf_id] = self._replica(row, leaf)
        return ServiceTopology(
            row,
            choice.version.version,
            tuple(
                tuple(replica_by_leaf[leaf.leaf_id] for leaf in leafs)
                for leafs in choice.usable_by_shard
            ),
            choice.missing_shards,
        )

    def dispatch_replicas(
        self, view: views.View, row: table_lib.ServiceRow
    ) -> tuple[Replica, ...]:
        """Returns the usable leafs of the newest version of a service."""
        shardmap = view.shardmap_by_service.get(row.service)
        if shardmap is None or not shardmap.versions:
            return ()
        leaf_ids = dict.fromkeys(
            leaf_id
            for replicas in shardmap.versions[0].replicas
            for leaf_id in replicas
        )
        leafs = [shardmap.leaf_by_id[leaf_id] for leaf_id in leaf_ids]
        return tuple(
            self._replica(row, leaf)
            for leaf in leafs
            if _accepts_work(view, row, leaf)
        )

    def _replica(self, row: table_lib.ServiceRow, leaf: index.Leaf) -> Replica:
        return Replica(
            leaf.leaf_id,
            leaf.zone,
            row.weight_by_zone[leaf.zone],
            self._tracker.leaf(leaf.leaf_id),
        )


class OwnerMap:
    """Owners of leafs under the current leases, cached by zone and leaf."""

    def __init__(self) -> None:
        self._members_by_zone: dict[str, tuple[lease.Member, ...]] = {}
        self._owner_by_leaf: dict[str, dict[str, lease.Member | None]] = {}

    def owner_of(
        self, view: views.View, leaf_id: str, zone: str
    ) -> lease.Member | None:
        """Returns the member that owns a leaf; None if unknown."""
        zone_lease = view.lease_by_zone.get(zone)
        if zone_lease is None:
            return None
        members = self._members_by_zone.get(zone)
        if members is not zone_lease.members:
            if members != zone_lease.members:
                self._owner_by_leaf[zone] = {}
            self._members_by_zone[zone] = zone_lease.members
        owners = self._owner_by_leaf[zone]
        if leaf_id not in owners:
            owners[leaf_id] = zone_lease.owner_of(leaf_id)
        return owners[leaf_id]


def reachable_zones(
    lease_by_zone: Mapping[str, lease.ZoneLease],
    tracker: _leafs.LeafTracker,
    now: datetime.timedelta,
) -> frozenset[str]:
    """Returns the zones whose owners are reachable.

    A zone counts as unreachable when all of its owners are unreachable, or at
    least half of them and no fewer than two. Half is enough, because in a
    partition each owner costs a connect timeout before it counts as
    unreachable.
    """
    zones = {
        zone for zone, zone_lease in lease_by_zone.items() if zone_lease.members
    }
    if tracker.has_unreachable_owners():
        for zone in list(zones):
            members = lease_by_zone[zone].members
            avoided = sum(
                tracker.is_owner_avoided(member.owner, now)
                for member in members
            )
            if avoided == len(members) or avoided >= max(2, len(members) / 2):
                zones.remove(zone)
    return frozenset(zones)


def _accepts_work(
    view: views.View, row: table_lib.ServiceRow, leaf: index.Leaf
) -> bool:
    """Returns whether a leaf is in service and its zone has a weight."""
    return row.weight_by_zone.get(leaf.zone, 0) > 0 and not view.is_out(leaf)


def _same_inputs(left: tuple[object, ...], right: tuple[object, ...]) -> bool:
    """Compares integers by value and all other objects by identity."""
    return len(left) == len(right) and all(
        a is b or (isinstance(a, int) and a == b)
        for a, b in zip(left, right, strict=True)
    )
