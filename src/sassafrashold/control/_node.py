"""All state of one control process; no I/O."""

from collections.abc import Callable
import datetime
import logging

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import lease
from sassafrashold import membership
from sassafrashold import table
from sassafrashold import views
from sassafrashold.control import _objects
from sassafrashold.control import _owner_watch
from sassafrashold.control import _settings

_LOGGER = logging.getLogger(__name__)

# At 61 hosts a member at the bottom of the tree is heard by the others at the
# bottom with an age of up to 3.6 s. A shorter time would make them disagree on
# the tree while all are alive.
_RANKED_AGE = datetime.timedelta(seconds=4)


class Node:
    """Ties the aggregates of a control process together."""

    def __init__(
        self,
        values: _settings.ControlSettings,
        clock: clock_lib.Clock,
        new_write_id: Callable[[], str],
    ) -> None:
        """Initializes the node; to be called once the port is bound.

        Args:
            values: The settings, with the bound address in `listen`.
            clock: The clock.
            new_write_id: Returns a new unique id.
        """
        self._clock = clock
        self.settings = values
        """Settings of the process."""
        self.started = clock.monotonic()
        """When the port was bound."""
        self.members = membership.Members(values.host, values.zone)
        """Hosts of the own zone."""
        self.hosts = membership.PlatformHosts()
        """The platform's host list over time."""
        self.lease = lease.LeaseState(
            self.members, self.hosts, self.started, new_write_id
        )
        """The own zone's lease."""
        self.objects = _objects.ObjectCache()
        """Everything that is distributed."""
        self.owner = _owner_watch.OwnerWatch()
        """The local owner process."""
        self.up_to_date_source: str | None = None
        """Where the first full set of objects came from."""
        self.complete_peer: str | None = None
        """Peer that had all objects when this host last asked it."""
        self._ranked: tuple[str, ...] = ()
        self._ranking_of_fresh: list[str] = []
        self.lease_key = lease.lease_key(values.zone)
        """Key of the own zone's lease."""

    def now(self) -> datetime.timedelta:
        """Returns the monotonic time."""
        return self._clock.monotonic()

    def refresh(self) -> membership.Entry:
        """Brings the own entry up to date and returns it."""
        now = self.now()
        entry = membership.Entry(
            self._description(now),
            now,
            now,
            self.lease.promise(now),
            self.owner.released_epoch,
            now,
        )
        self.members.put_own(entry)
        return entry

    def has_handed_over(self) -> bool:
        """Returns whether the local owner owns nothing any more.

        The last member of a zone has nobody to hand over to.
        """
        known = self.lease.lease
        if known is None:
            return True
        if self.settings.host in known.member_by_host:
            return len(known.members) == 1
        return self.owner.released_epoch >= known.epoch

    def forget_gone_hosts(self) -> None:
        """Drops hosts that are long gone."""
        known = self.lease.lease
        needed = set()
        if known is not None:
            needed = {
                member.host
                for members in (
                    known.members,
                    *(e.members for e in known.earlier),
                )
                for member in members
            }
        self.members.forget(self.now(), needed)

    def put(self, stored: _objects.StoredObject, *, peer: bool = False) -> bool:
        """Takes over an object if it is newer.

        Args:
            stored: The object.
            peer: Whether it came from a peer and not from the store.

        Returns:
            Whether it was distributed further.
        """
        if stored.version <= self.objects.version(stored.key):
            return False
        try:
            self._apply(stored)
        except errors.SassafrasError as error:
            # Still distributed: readers report it, and a newer version of
            # this program may be able to read it.
            _LOGGER.error(
                "an object is unreadable",
                extra={"key": stored.key, "error": str(error)},
            )
        if peer:
            return self.objects.put_from_peer(stored)
        return self.objects.put(stored)

    def is_reader(self, count: int = 2) -> bool:
        """Returns whether this host reads the store for its zone.

        The first live members by rendezvous hashing of the zone do. Without
        any live member, every host does.
        """
        first = self.first_members(count)
        return not first or self.settings.host in first

    def first_members(self, count: int = 2) -> list[str]:
        """Returns the first live members by rendezvous hashing."""
        return self._ranking()[:count]

    def tree(self, host: str | None = None) -> membership.TreeNeighbours:
        """Returns a host's place in the tree that evidence travels on.

        The member that renews is the root, so a renewal reaches 61 hosts in
        two steps, and no host asks or answers more than 8 others.

        Args:
            host: The host; this one if it is None.
        """
        return membership.tree_neighbours(
            host or self.settings.host, self._ranking()
        )

    def outsiders(self) -> list[str]:
        """Returns the fresh hosts that serve but are not members."""
        known = self.lease.lease
        now = self.now()
        return [
            entry.description.host
            for entry in self.members.entries()
            if entry.description.state is membership.State.SERVING
            and (
                known is None
                or entry.description.host not in known.member_by_host
            )
            and self.members.is_fresh(entry.description.host, now)
        ]

    def _ranking(self) -> list[str]:
        """Returns the live members by rendezvous hashing of the zone."""
        known = self.lease.lease
        if known is None:
            return []
        now = self.now()
        fresh = tuple(
            member.host
            for member in known.members
            if self.members.age(member.host, now) <= _RANKED_AGE
        )
        if fresh != self._ranked:
            self._ranked = fresh
            self._ranking_of_fresh = membership.rank(self.settings.zone, fresh)
        return self._ranking_of_fresh

    def set_up_to_date(self, source: str) -> None:
        """Records that this host has all objects."""
        if self.up_to_date_source is None:
            _LOGGER.info("objects are up to date", extra={"source": source})
            self.up_to_date_source = source
            self.objects.emit(table.TABLE_KEY)

    def _apply(self, stored: _objects.StoredObject) -> None:
        if stored.key == self.lease_key:
            document = lease.ZoneLease.decode(stored.value)
            self.lease.learn(document, stored.version, self.now())
        elif stored.key == views.HOSTS_KEY:
            self.record_hosts(stored.value, None)

    def record_hosts(
        self, value: bytes, read: datetime.timedelta | None
    ) -> None:
        """Records a host list.

        Args:
            value: The list.
            read: When this host asked the platform; None for a peer's list.

        Raises:
            DocumentError: It is malformed.
        """
        hosts = views.HostList.decode(value)
        self.hosts.update(
            hosts.as_of,
            {e.host: e.leaving for e in hosts.entry_by_host.values()},
            self.now(),
            read,
        )

    def _description(self, now: datetime.timedelta) -> membership.Description:
        values = self.settings
        return membership.Description(
            values.host,
            values.zone,
            self.owner.incarnation,
            self._state(now),
            values.listen,
            values.owner,
            values.entry,
        )

    def _state(self, now: datetime.timedelta) -> membership.State:
        if not self.owner.is_serving(now) or self.up_to_date_source is None:
            return membership.State.STARTING
        if self.owner.leaving:
            return membership.State.LEAVING
        return membership.State.SERVING
