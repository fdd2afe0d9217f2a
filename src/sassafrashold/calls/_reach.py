"""Reachability of availability zones and of leafs from this host."""

from collections.abc import Iterable
import datetime

from sassafrashold import directory

# A zone is unreachable after failed connects to this many of its leafs without
# a successful one: a single leaf may just be down.
FAILED_LEAFS_UNTIL_UNREACHABLE = 3
# A zone is suspect after late answers of this many of its leafs without an
# answer in between.
_LATE_LEAFS_UNTIL_SUSPECT = 3
# A leaf is lost after this many failed connects in a row, until it was not
# tried for `_LOST_LEAF_RETRY_AFTER`.
_FAILURES_UNTIL_LOST = 3
_LOST_LEAF_RETRY_AFTER = datetime.timedelta(seconds=1)
# Failed connects expire after this time. Probes of a zone that stays
# unreachable renew them several times within it.
_FAILURE_TTL = datetime.timedelta(seconds=2)


class ZoneReach:
    """Failed connects by zone since the last successful one; no I/O.

    One failed connect or several late answers make a zone suspect. The owner
    of the connections probes other leafs of suspect zones: this tells a few
    dead leafs from an unreachable zone and detects that a zone is reachable
    again without sending requests to it.
    """

    def __init__(self, own_zone: str) -> None:
        """Initializes the state; all zones are reachable.

        Args:
            own_zone: Zone of this host, which is never suspect.
        """
        self._own_zone = own_zone
        self._failed_by_zone: dict[
            str, dict[directory.LeafRef, datetime.timedelta]
        ] = {}
        self._late_by_zone: dict[str, set[directory.LeafRef]] = {}
        self._unreachable: set[str] = set()
        # Zones that other hosts of this zone report as unreachable.
        self._reported: set[str] = set()
        # Number of consecutive failed connects and the time of the last one.
        self._lost_by_ref: dict[
            directory.LeafRef, tuple[int, datetime.timedelta]
        ] = {}

    @property
    def suspects(self) -> frozenset[str]:
        """Zones to probe."""
        late = (
            zone
            for zone, refs in self._late_by_zone.items()
            if len(refs) >= _LATE_LEAFS_UNTIL_SUSPECT
        )
        return frozenset(
            (*late, *self._failed_by_zone, *self._unreachable, *self._reported)
        )

    @property
    def unreachable_zones(self) -> frozenset[str]:
        """Zones that are unreachable from this host."""
        return frozenset(self._unreachable)

    @property
    def has_unreachable(self) -> bool:
        """Whether any zone or leaf may be unreachable."""
        return bool(self._unreachable or self._lost_by_ref)

    def is_lost(self, ref: directory.LeafRef, now: datetime.timedelta) -> bool:
        """Returns whether recent connects to a leaf failed several times."""
        failures, last = self._lost_by_ref.get(ref, (0, now))
        return (
            failures >= _FAILURES_UNTIL_LOST
            and now - last < _LOST_LEAF_RETRY_AFTER
        )

    def connected(self, ref: directory.LeafRef, zone: str) -> None:
        """Records a successful connect to a leaf, or an answer of it."""
        self._lost_by_ref.pop(ref, None)
        self.zone_reached(zone)

    def zone_reached(self, zone: str) -> None:
        """Records that a zone is reachable or has no leafs to probe."""
        self._failed_by_zone.pop(zone, None)
        self._late_by_zone.pop(zone, None)
        self._unreachable.discard(zone)
        self._reported.discard(zone)

    def add_suspects(self, zones: Iterable[str]) -> None:
        """Records zones that other hosts of this zone report as unreachable.

        Args:
            zones: Zones that become suspect until one of their leafs is
                reached; the zone of this host is ignored.
        """
        self._reported.update(zone for zone in zones if zone != self._own_zone)

    def connect_failed(
        self, leaf: directory.LeafEntry, now: datetime.timedelta
    ) -> None:
        """Records a failed connect to a leaf."""
        failures, _ = self._lost_by_ref.get(leaf.ref, (0, now))
        self._lost_by_ref[leaf.ref] = (failures + 1, now)
        if leaf.zone == self._own_zone:
            return
        failed = self._failed_by_zone.setdefault(leaf.zone, {})
        failed[leaf.ref] = now
        if len(failed) >= FAILED_LEAFS_UNTIL_UNREACHABLE:
            self._unreachable.add(leaf.zone)

    def answer_late(self, leaf: directory.LeafEntry) -> None:
        """Records that a leaf has not answered in the usual time."""
        if leaf.zone != self._own_zone:
            self._late_by_zone.setdefault(leaf.zone, set()).add(leaf.ref)

    def forget_old(self, now: datetime.timedelta) -> None:
        """Drops expired failures.

        Args:
            now: Monotonic time.
        """
        for ref, (_, last) in list(self._lost_by_ref.items()):
            if now - last >= _FAILURE_TTL:
                del self._lost_by_ref[ref]
        for zone, failed in list(self._failed_by_zone.items()):
            recent = {
                ref: at for ref, at in failed.items() if now - at < _FAILURE_TTL
            }
            if recent:
                self._failed_by_zone[zone] = recent
            else:
                del self._failed_by_zone[zone]

    def has_failed(self, ref: directory.LeafRef, zone: str) -> bool:
        """Returns whether a connect to a leaf has failed recently."""
        return ref in self._failed_by_zone.get(zone, ())


class ZoneFailover:
    """Whether the balancer should send callers to other zones; no I/O.

    A host that reaches no other zone and therefore can't serve some routes
    asks the balancer to send callers to other zones, until it reaches a zone
    again. It does so before it gets a request that it can't serve: the balancer
    only switches once all hosts of the zone have asked for it. If there is a
    single other zone, a host can't tell whether that zone itself is down, so
    it keeps its callers.
    """

    _MIN_OTHER_ZONES = 2

    def __init__(self) -> None:
        self._active = False

    @property
    def active(self) -> bool:
        """Whether callers should be sent to other zones."""
        return self._active

    def update(
        self,
        other_zones: frozenset[str],
        unreachable: frozenset[str],
        serves_all: bool,
    ) -> bool:
        """Updates the decision from the current reachability.

        Args:
            other_zones: Zones that have leafs, except the one of this host.
            unreachable: Unreachable zones.
            serves_all: Whether enough shards of each route are reachable.

        Returns:
            Whether `active` has changed.
        """
        is_cut_off = (
            len(other_zones) >= self._MIN_OTHER_ZONES
            and other_zones <= unreachable
        )
        was_active = self._active
        self._active = is_cut_off and (not serves_all or was_active)
        return self._active != was_active
