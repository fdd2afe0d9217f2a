"""Which availability zones this host can't reach."""

from collections.abc import Iterable
import datetime

from sassafrashold import directory

# Failed connects to this many leafs of a zone, and none that worked, mean that
# the zone is out of reach; a single leaf may be gone.
LEAFS_UNTIL_SILENT = 3
# Late answers of this many leafs, and none in between, make a suspect.
_LATE_UNTIL_SUSPECT = 3
# After this many failed connects in a row a leaf is lost, until it was not
# tried for a while.
_FAILURES_UNTIL_LOST = 3
_LOST_FOR = datetime.timedelta(seconds=1)
# Failures count for this long. Probes renew them several times meanwhile.
_MEMORY = datetime.timedelta(seconds=2)


class ZoneReach:
    """Failed connects by zone since the last one that worked; no I/O.

    One failed connect or some late answers make a zone a suspect. Whoever
    owns the connections probes other leafs of suspects, so that a few dead
    leafs are not taken for a zone that is cut off, and a zone that is back is
    noticed without requests.
    """

    def __init__(self, own_zone: str) -> None:
        """Initializes the aggregate; all zones are in reach.

        Args:
            own_zone: Zone of this host, which is never judged.
        """
        self._own_zone = own_zone
        self._failed_by_zone: dict[
            str, dict[directory.LeafRef, datetime.timedelta]
        ] = {}
        self._late_by_zone: dict[str, set[directory.LeafRef]] = {}
        self._silent: set[str] = set()
        # Zones that other hosts of the zone do not reach.
        self._reported: set[str] = set()
        # Failed connects in a row and the time of the last one.
        self._lost_by_ref: dict[
            directory.LeafRef, tuple[int, datetime.timedelta]
        ] = {}

    @property
    def suspects(self) -> frozenset[str]:
        """Zones that are to be probed."""
        late = (
            zone
            for zone, refs in self._late_by_zone.items()
            if len(refs) >= _LATE_UNTIL_SUSPECT
        )
        return frozenset(
            (*late, *self._failed_by_zone, *self._silent, *self._reported)
        )

    @property
    def silent(self) -> frozenset[str]:
        """Zones out of reach."""
        return frozenset(self._silent)

    @property
    def has_losses(self) -> bool:
        """Whether zones or leafs may be out of reach."""
        return bool(self._silent or self._lost_by_ref)

    def is_lost(self, ref: directory.LeafRef, now: datetime.timedelta) -> bool:
        """Returns whether connects to a leaf keep failing."""
        failures, last = self._lost_by_ref.get(ref, (0, now))
        return failures >= _FAILURES_UNTIL_LOST and now - last < _LOST_FOR

    def connected(self, ref: directory.LeafRef, zone: str) -> None:
        """Notes that a leaf of a zone was reached."""
        self._lost_by_ref.pop(ref, None)
        self.zone_reached(zone)

    def zone_reached(self, zone: str) -> None:
        """Notes that a zone is in reach, or that there is nothing to reach."""
        self._failed_by_zone.pop(zone, None)
        self._late_by_zone.pop(zone, None)
        self._silent.discard(zone)
        self._reported.discard(zone)

    def told_silent(self, zones: Iterable[str]) -> None:
        """Notes zones that other hosts of the zone do not reach.

        Args:
            zones: They become suspects until one of their leafs is reached.
        """
        self._reported.update(zone for zone in zones if zone != self._own_zone)

    def connect_failed(
        self, leaf: directory.LeafEntry, now: datetime.timedelta
    ) -> None:
        """Notes that no connection to a leaf came about."""
        failures, _ = self._lost_by_ref.get(leaf.ref, (0, now))
        self._lost_by_ref[leaf.ref] = (failures + 1, now)
        if leaf.zone == self._own_zone:
            return
        failed = self._failed_by_zone.setdefault(leaf.zone, {})
        failed[leaf.ref] = now
        if len(failed) >= LEAFS_UNTIL_SILENT:
            self._silent.add(leaf.zone)

    def answer_is_late(self, leaf: directory.LeafEntry) -> None:
        """Notes that a leaf has not answered in the usual time."""
        if leaf.zone != self._own_zone:
            self._late_by_zone.setdefault(leaf.zone, set()).add(leaf.ref)

    def forget_old(self, now: datetime.timedelta) -> None:
        """Drops failures that say nothing about the present.

        Args:
            now: Monotonic time.
        """
        for ref, (_, last) in list(self._lost_by_ref.items()):
            if now - last >= _MEMORY:
                del self._lost_by_ref[ref]
        for zone, failed in list(self._failed_by_zone.items()):
            kept = {ref: at for ref, at in failed.items() if now - at < _MEMORY}
            if kept:
                self._failed_by_zone[zone] = kept
            else:
                del self._failed_by_zone[zone]

    def has_failed(self, ref: directory.LeafRef, zone: str) -> bool:
        """Returns whether a connect to a leaf has failed lately."""
        return ref in self._failed_by_zone.get(zone, ())


class CallersElsewhere:
    """Whether callers are better served by hosts of other zones; no I/O.

    A host that reaches no other zone and therefore can't serve some routes
    asks the balancer to send callers elsewhere, until it reaches a zone again.
    It does not wait for a request that it can't serve: the balancer sends
    callers elsewhere only once all hosts of the zone have said so. With a
    single other zone a host can't tell whether that zone is still there, so it
    keeps its callers.
    """

    _MIN_OTHER_ZONES = 2

    def __init__(self) -> None:
        self._active = False

    @property
    def active(self) -> bool:
        """Whether callers should go elsewhere now."""
        return self._active

    def update(
        self,
        other_zones: frozenset[str],
        silent: frozenset[str],
        serves_all: bool,
    ) -> bool:
        """Takes what is known about zones.

        Args:
            other_zones: Zones with leafs, without that of this host.
            silent: Zones out of reach.
            serves_all: Whether enough shards of each route are in reach.

        Returns:
            Whether `active` has changed.
        """
        cut_off = (
            len(other_zones) >= self._MIN_OTHER_ZONES and other_zones <= silent
        )
        before = self._active
        self._active = cut_off and (not serves_all or before)
        return self._active != before
