"""The known leafs and the zones that are out of service."""

from collections.abc import Iterable
import dataclasses
import datetime

from sassafrashold.directory import _entries


@dataclasses.dataclass(frozen=True)
class LeafUpdated:
    """An entry was created or changed."""

    entry: _entries.LeafEntry
    """The current entry."""


@dataclasses.dataclass(frozen=True)
class LeafRemoved:
    """An entry was deleted or can no longer be decoded."""

    leaf_id: str
    """Id under which the entry was stored."""


LeafChange = LeafUpdated | LeafRemoved


@dataclasses.dataclass(frozen=True)
class GracePeriods:
    """How long a leaf that drains or was removed remains a last resort."""

    draining: datetime.timedelta
    """From the first entry that is draining, or from the entry's removal.

    The latter only if the store was available at the removal.
    """

    store_outage: datetime.timedelta
    """From the store's recovery, for entries removed during its outage."""

    older_copy: datetime.timedelta
    """From the store's return from an older copy, for entries of leafs that
    had left: by then the entry of a leaf that no longer writes it has lapsed.
    """


@dataclasses.dataclass
class _Leaf:
    entry: _entries.LeafEntry
    cold_until: datetime.timedelta
    # End of the grace period; None while the leaf is listed as ready.
    usable_until: datetime.timedelta | None = None
    # Whether the entry was removed during an outage of the store.
    removed_in_outage: bool = False

    @property
    def has_left(self) -> bool:
        """Whether the leaf said that it leaves, or its entry was removed."""
        return self.usable_until is not None and not self.removed_in_outage


@dataclasses.dataclass(frozen=True)
class _LeftLeaf:
    born_unix_ms: int
    # Monotonic time at which it was forgotten.
    at: datetime.timedelta


_NO_END = datetime.timedelta.max
# Longer than the age of the copies that the store may come back from.
_LEFT_LEAF_RETENTION = datetime.timedelta(seconds=60)


class LeafDirectory:
    """Leafs by service, with the rules for which may receive new requests.

    Ready leafs receive requests. A leaf that is draining or whose entry was
    removed receives none while its service has a ready leaf. Without a ready
    leaf it is a last resort for a bounded grace period, because it still
    serves requests. Leafs whose entries were removed during an outage of the
    store remain a last resort until the store has had time to list them again.

    A store that comes back from an older copy lists leafs as they were. Those
    that have left since stay so, unless they write their entries again or the
    store still lists them when the entry of a silent leaf would have lapsed.
    Those that it does not list yet remain a last resort as after an outage.
    """

    def __init__(self, grace_periods: GracePeriods) -> None:
        """Initializes an empty directory.

        Args:
            grace_periods: Grace periods of leafs that drain or were removed.
        """
        self._grace_periods = grace_periods
        self._leaf_by_id: dict[str, _Leaf] = {}
        self._ids_by_service: dict[str, set[str]] = {}
        self._zones_out: frozenset[str] = frozenset()
        self._store_unavailable = False
        self._left_by_id: dict[str, _LeftLeaf] = {}
        # Entries of an older copy that list leafs which have left.
        self._contradicted_by_id: dict[str, _entries.LeafEntry] = {}
        self._contradicted_until = datetime.timedelta()

    @property
    def zones_out(self) -> frozenset[str]:
        """Zones that operators have taken out of service."""
        return self._zones_out

    def set_zones_out(self, zones: Iterable[str]) -> None:
        """Replaces the zones that are out of service."""
        self._zones_out = frozenset(zones)

    @property
    def contradicted_ids(self) -> frozenset[str]:
        """Leafs that have left and that an older copy lists again."""
        return frozenset(self._contradicted_by_id)

    def set_store_unavailable(
        self, unavailable: bool, now: datetime.timedelta
    ) -> None:
        """Records whether the store is available.

        When it recovers, the grace period of the leafs removed during the
        outage starts, and that of the entries of an older copy starts anew, as
        they may not have lapsed meanwhile.

        Args:
            unavailable: Whether the store is unavailable.
            now: Monotonic time.
        """
        if self._store_unavailable and not unavailable:
            for leaf in self._leaf_by_id.values():
                if leaf.removed_in_outage:
                    leaf.usable_until = now + self._grace_periods.store_outage
            self._contradicted_until = now + self._grace_periods.older_copy
        self._store_unavailable = unavailable

    def replace_all(
        self, entries: Iterable[_entries.LeafEntry], now: datetime.timedelta
    ) -> list[_entries.LeafRef]:
        """Applies a complete list of entries; leafs not in it are removed.

        Returns:
            Incarnations that were replaced by a later one of the same leaf.
        """
        ended = []
        listed = {entry.ref.leaf_id: entry for entry in entries}
        self._contradicted_by_id = {
            leaf_id: entry
            for leaf_id, entry in self._contradicted_by_id.items()
            if listed.get(leaf_id) == entry
        }
        for leaf_id in list(self._leaf_by_id):
            if leaf_id not in listed:
                self._remove(leaf_id, now)
        for leaf_id, entry in listed.items():
            if leaf_id not in self._contradicted_by_id:
                ended.extend(self._update(entry, now))
        return ended

    def restore(
        self, entries: Iterable[_entries.LeafEntry], now: datetime.timedelta
    ) -> list[_entries.LeafRef]:
        """Applies the complete list of a store back from an older copy.

        Returns:
            Incarnations that were replaced by a later one of the same leaf.
        """
        listed = {entry.ref.leaf_id: entry for entry in entries}
        for leaf_id, leaf in self._leaf_by_id.items():
            if leaf_id not in listed and not leaf.has_left:
                leaf.removed_in_outage = True
                leaf.usable_until = (
                    _NO_END
                    if self._store_unavailable
                    else now + self._grace_periods.store_outage
                )
        self._contradicted_by_id = {
            leaf_id: entry
            for leaf_id, entry in listed.items()
            if self._has_left(entry.ref)
        }
        self._contradicted_until = now + self._grace_periods.older_copy
        return self.replace_all(listed.values(), now)

    def apply(
        self, change: LeafChange, now: datetime.timedelta
    ) -> list[_entries.LeafRef]:
        """Applies one change.

        Returns:
            Incarnations that were replaced by a later one of the same leaf.
        """
        match change:
            case LeafUpdated(entry):
                self._contradicted_by_id.pop(entry.ref.leaf_id, None)
                return self._update(entry, now)
            case LeafRemoved(leaf_id):
                self._contradicted_by_id.pop(leaf_id, None)
                self._remove(leaf_id, now)
                return []

    def forget_expired(self, now: datetime.timedelta) -> list[_entries.LeafRef]:
        """Drops removed leafs whose grace period is over.

        Also accepts what an older copy lists once it has stood for long enough.

        Returns:
            Incarnations that were dropped or replaced.
        """
        self._left_by_id = {
            leaf_id: left
            for leaf_id, left in self._left_by_id.items()
            if now - left.at < _LEFT_LEAF_RETENTION
        }
        expired = [
            leaf_id
            for leaf_id, leaf in self._leaf_by_id.items()
            if leaf.usable_until is not None and leaf.usable_until <= now
        ]
        ended = []
        for leaf_id in expired:
            leaf = self._leaf_by_id[leaf_id]
            if leaf.entry.draining:
                continue
            ended.append(leaf.entry.ref)
            if leaf.has_left:
                self._left_by_id[leaf_id] = _LeftLeaf(
                    leaf.entry.ref.born_unix_ms, now
                )
            del self._leaf_by_id[leaf_id]
            self._ids_by_service[leaf.entry.service].discard(leaf_id)
        if now >= self._contradicted_until and not self._store_unavailable:
            for entry in self._contradicted_by_id.values():
                ended.extend(self._update(entry, now))
            self._contradicted_by_id = {}
        return ended

    def usable(
        self, service: str, now: datetime.timedelta
    ) -> tuple[_entries.LeafEntry, ...]:
        """Returns the leafs that may receive a new request now.

        Args:
            service: Name of the service.
            now: Monotonic time.
        """
        ready = []
        last_resort = []
        for leaf_id in self._ids_by_service.get(service, ()):
            leaf = self._leaf_by_id[leaf_id]
            if leaf.entry.zone in self._zones_out:
                continue
            if leaf.usable_until is None:
                ready.append(leaf.entry)
            elif now < leaf.usable_until:
                last_resort.append(leaf.entry)
        return tuple(ready or last_resort)

    def entry(self, leaf_id: str) -> _entries.LeafEntry | None:
        """Returns the last entry of a leaf; None if the leaf is unknown."""
        leaf = self._leaf_by_id.get(leaf_id)
        return None if leaf is None else leaf.entry

    def entries(self) -> list[_entries.LeafEntry]:
        """Returns the entries of ready and draining leafs."""
        return [
            leaf.entry
            for leaf in self._leaf_by_id.values()
            if leaf.usable_until is None or leaf.entry.draining
        ]

    def is_cold(self, leaf_id: str, now: datetime.timedelta) -> bool:
        """Returns whether a leaf is still warming up, by its own entries."""
        leaf = self._leaf_by_id.get(leaf_id)
        return leaf is not None and now < leaf.cold_until

    def _has_left(self, ref: _entries.LeafRef) -> bool:
        """Returns whether an incarnation, or a later one, has left."""
        known = self._leaf_by_id.get(ref.leaf_id)
        if known is not None:
            return (
                known.has_left
                and ref.born_unix_ms <= known.entry.ref.born_unix_ms
            )
        left = self._left_by_id.get(ref.leaf_id)
        return left is not None and ref.born_unix_ms <= left.born_unix_ms

    def _update(
        self, entry: _entries.LeafEntry, now: datetime.timedelta
    ) -> list[_entries.LeafRef]:
        leaf_id = entry.ref.leaf_id
        known = self._leaf_by_id.get(leaf_id)
        ended: list[_entries.LeafRef] = []
        if known is not None:
            if entry.ref.born_unix_ms < known.entry.ref.born_unix_ms:
                return []
            if entry.ref != known.entry.ref:
                ended.append(known.entry.ref)
                known = None
            elif entry.service != known.entry.service:
                self._ids_by_service[known.entry.service].discard(leaf_id)
        cold_until = now + entry.cold_for
        if known is None:
            known = _Leaf(entry, cold_until)
            replaced = self._leaf_by_id.get(leaf_id)
            if replaced is not None:
                self._ids_by_service[replaced.entry.service].discard(leaf_id)
            self._leaf_by_id[leaf_id] = known
        self._ids_by_service.setdefault(entry.service, set()).add(leaf_id)
        if entry.draining:
            if known.usable_until is None or known.removed_in_outage:
                known.usable_until = now + self._grace_periods.draining
                known.removed_in_outage = False
        else:
            known.usable_until = None
            known.removed_in_outage = False
        known.entry = entry
        known.cold_until = cold_until if entry.cold_for else known.cold_until
        return ended

    def _remove(self, leaf_id: str, now: datetime.timedelta) -> None:
        leaf = self._leaf_by_id.get(leaf_id)
        if leaf is None:
            return
        if leaf.entry.draining and leaf.usable_until is not None:
            leaf.entry = dataclasses.replace(leaf.entry, draining=False)
            return
        if leaf.usable_until is not None:
            return
        leaf.removed_in_outage = self._store_unavailable
        leaf.usable_until = (
            _NO_END
            if self._store_unavailable
            else now + self._grace_periods.draining
        )
