"""The aggregate of all known leafs and zones out of service."""

from collections.abc import Iterable
import dataclasses
import datetime

from sassafrashold.directory import _entries


@dataclasses.dataclass(frozen=True)
class LeafSeen:
    """An entry was written or changed."""

    entry: _entries.LeafEntry
    """The entry as it is now."""


@dataclasses.dataclass(frozen=True)
class LeafRemoved:
    """An entry is gone, or can no longer be read."""

    leaf_id: str
    """Id under which it was stored."""


LeafChange = LeafSeen | LeafRemoved


@dataclasses.dataclass(frozen=True)
class ReleaseTimes:
    """How long a leaf that leaves is still a last resort."""

    draining: datetime.timedelta
    """After it was first seen as draining, or gone while the store was well."""

    lapsed: datetime.timedelta
    """After the store is back, for entries that went while it was away."""


@dataclasses.dataclass
class _Leaf:
    entry: _entries.LeafEntry
    cold_until: datetime.timedelta
    # None while the leaf is listed as ready.
    last_use: datetime.timedelta | None = None
    # Whether the entry went while the store was away.
    lapsed: bool = False


_NEVER = datetime.timedelta.max


class LeafDirectory:
    """Leafs by service, with the rules of who may get new work.

    A ready leaf gets work. A leaf that drains or whose entry is gone gets
    none, unless its service has no ready leaf: then it is a last resort for a
    bounded time, as it still serves. Entries that lapse while the store is
    away stay a last resort until the store had time to list them again.
    """

    def __init__(self, release: ReleaseTimes) -> None:
        """Initializes an empty directory.

        Args:
            release: How long a leaving leaf is a last resort.
        """
        self._release = release
        self._leaf_by_id: dict[str, _Leaf] = {}
        self._ids_by_service: dict[str, set[str]] = {}
        self._zones_out: frozenset[str] = frozenset()
        self._store_away = False

    @property
    def zones_out(self) -> frozenset[str]:
        """Zones that operators have taken out of service."""
        return self._zones_out

    def set_zones_out(self, zones: Iterable[str]) -> None:
        """Replaces the zones that are out of service."""
        self._zones_out = frozenset(zones)

    def set_store_away(self, away: bool, now: datetime.timedelta) -> None:
        """Notes that the store was lost or has come back.

        Args:
            away: Whether the store can't be relied on now.
            now: Monotonic time.
        """
        if self._store_away and not away:
            for leaf in self._leaf_by_id.values():
                if leaf.lapsed:
                    leaf.last_use = now + self._release.lapsed
        self._store_away = away

    def replace_all(
        self, entries: Iterable[_entries.LeafEntry], now: datetime.timedelta
    ) -> list[_entries.LeafRef]:
        """Takes a complete list; leafs that are not in it are removed.

        Returns:
            Incarnations that ended.
        """
        ended = []
        listed = {entry.ref.leaf_id: entry for entry in entries}
        for leaf_id, leaf in list(self._leaf_by_id.items()):
            if leaf_id not in listed and leaf.last_use is None:
                self._remove(leaf_id, now)
        for entry in listed.values():
            ended.extend(self._see(entry, now))
        return ended

    def apply(
        self, change: LeafChange, now: datetime.timedelta
    ) -> list[_entries.LeafRef]:
        """Applies one change.

        Returns:
            Incarnations that ended.
        """
        match change:
            case LeafSeen(entry):
                return self._see(entry, now)
            case LeafRemoved(leaf_id):
                self._remove(leaf_id, now)
                return []

    def forget_expired(self, now: datetime.timedelta) -> list[_entries.LeafRef]:
        """Drops leafs that are no longer even a last resort."""
        expired = [
            leaf_id
            for leaf_id, leaf in self._leaf_by_id.items()
            if leaf.last_use is not None and leaf.last_use <= now
        ]
        ended = []
        for leaf_id in expired:
            leaf = self._leaf_by_id[leaf_id]
            if leaf.entry.draining:
                continue
            ended.append(leaf.entry.ref)
            del self._leaf_by_id[leaf_id]
            self._ids_by_service[leaf.entry.service].discard(leaf_id)
        return ended

    def usable(
        self, service: str, now: datetime.timedelta
    ) -> tuple[_entries.LeafEntry, ...]:
        """Returns the leafs that may get a request now.

        Args:
            service: Name of the service.
            now: Monotonic time.
        """
        ready = []
        leaving = []
        for leaf_id in self._ids_by_service.get(service, ()):
            leaf = self._leaf_by_id[leaf_id]
            if leaf.entry.zone in self._zones_out:
                continue
            if leaf.last_use is None:
                ready.append(leaf.entry)
            elif now < leaf.last_use:
                leaving.append(leaf.entry)
        return tuple(ready or leaving)

    def entry(self, leaf_id: str) -> _entries.LeafEntry | None:
        """Returns the entry of a leaf, if it is known."""
        leaf = self._leaf_by_id.get(leaf_id)
        return None if leaf is None else leaf.entry

    def entries(self) -> list[_entries.LeafEntry]:
        """Returns the listed entries, without those that are gone."""
        return [
            leaf.entry
            for leaf in self._leaf_by_id.values()
            if leaf.last_use is None or leaf.entry.draining
        ]

    def is_cold(self, leaf_id: str, now: datetime.timedelta) -> bool:
        """Returns whether a leaf has said that it is cold now."""
        leaf = self._leaf_by_id.get(leaf_id)
        return leaf is not None and now < leaf.cold_until

    def _see(
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
            old = self._leaf_by_id.get(leaf_id)
            if old is not None:
                self._ids_by_service[old.entry.service].discard(leaf_id)
            self._leaf_by_id[leaf_id] = known
        self._ids_by_service.setdefault(entry.service, set()).add(leaf_id)
        if entry.draining:
            if known.last_use is None:
                known.last_use = now + self._release.draining
        else:
            known.last_use = None
            known.lapsed = False
        known.entry = entry
        known.cold_until = cold_until if entry.cold_for else known.cold_until
        return ended

    def _remove(self, leaf_id: str, now: datetime.timedelta) -> None:
        leaf = self._leaf_by_id.get(leaf_id)
        if leaf is None:
            return
        if leaf.entry.draining and leaf.last_use is not None:
            leaf.entry = dataclasses.replace(leaf.entry, draining=False)
            return
        if leaf.last_use is not None:
            return
        leaf.lapsed = self._store_away
        leaf.last_use = (
            _NEVER if self._store_away else now + self._release.draining
        )
