"""The hosts of a zone as one control sees them."""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import datetime

from sassafrashold.membership import _entries

SUSPECT_AFTER = datetime.timedelta(seconds=3)
REMOVE_AFTER = datetime.timedelta(seconds=5)
FORGET_AFTER = datetime.timedelta(seconds=60)


class Members:
    """Entries by host, merged from gossip.

    The own entry comes only from this host and is set with `put_own`.
    """

    def __init__(self, host: str, zone: str) -> None:
        self._host = host
        self._zone = zone
        self._entry_by_host: dict[str, _entries.Entry] = {}
        self._description_by_digest: dict[int, _entries.Description] = {}

    @property
    def host(self) -> str:
        """The own host id."""
        return self._host

    @property
    def zone(self) -> str:
        """The zone whose hosts are tracked."""
        return self._zone

    @property
    def own(self) -> _entries.Entry | None:
        """The own entry; None before `put_own`."""
        return self._entry_by_host.get(self._host)

    def get(self, host: str) -> _entries.Entry | None:
        """Returns the entry of a host."""
        return self._entry_by_host.get(host)

    def entries(self) -> list[_entries.Entry]:
        """Returns all entries, ordered by host."""
        return [self._entry_by_host[h] for h in sorted(self._entry_by_host)]

    def description(self, digest: int) -> _entries.Description | None:
        """Returns the current description with a hash, if there is one."""
        return self._description_by_digest.get(digest)

    def digests(self) -> list[int]:
        """Returns the hashes of all current descriptions."""
        return list(self._description_by_digest)

    def put_own(self, entry: _entries.Entry) -> None:
        """Replaces the own entry; keeps `since` while nothing changes."""
        known = self.own
        if known is not None and known.description == entry.description:
            entry = dataclasses.replace(entry, since=known.since)
        self._store(entry)

    def merge(self, entries: Iterable[_entries.Entry]) -> None:
        """Takes over what gossip tells about other hosts of the zone."""
        for entry in entries:
            host = entry.description.host
            if host == self._host or entry.description.zone != self._zone:
                continue
            known = self._entry_by_host.get(host)
            if known is not None:
                if not _entries.adds_nothing(known, entry):
                    self._store(_entries.merge(known, entry))
            elif entry.since - entry.heard <= FORGET_AFTER:
                # Peers forget at different times; an entry that is long gone
                # must not come back from one that still has it.
                self._store(entry)

    def age(self, host: str, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the time since a host was heard.

        A host that was never heard has the largest possible age.
        """
        entry = self._entry_by_host.get(host)
        if host == self._host:
            return datetime.timedelta()
        return datetime.timedelta.max if entry is None else now - entry.heard

    def is_fresh(self, host: str, now: datetime.timedelta) -> bool:
        """Returns whether a host is neither suspect nor gone."""
        return self.age(host, now) <= SUSPECT_AFTER

    def fresh_hosts(self, now: datetime.timedelta) -> list[str]:
        """Returns the ids of all fresh hosts, the own included."""
        return [h for h in sorted(self._entry_by_host) if self.is_fresh(h, now)]

    def forget(self, now: datetime.timedelta, needed: Collection[str]) -> None:
        """Drops hosts that are long gone and that no epoch names.

        Args:
            now: Local monotonic time.
            needed: Hosts in the lease or in its earlier epochs.
        """
        for host in list(self._entry_by_host):
            if host not in needed and self.age(host, now) > FORGET_AFTER:
                self._drop(host)

    def _store(self, entry: _entries.Entry) -> None:
        description = entry.description
        known = self._entry_by_host.get(description.host)
        if known is not None and known.description != description:
            self._description_by_digest.pop(known.description.digest, None)
        self._entry_by_host[description.host] = entry
        self._description_by_digest[description.digest] = description

    def _drop(self, host: str) -> None:
        entry = self._entry_by_host.pop(host)
        self._description_by_digest.pop(entry.description.digest, None)
