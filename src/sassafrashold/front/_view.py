"""What this host knows of the store, and what follows from it."""

from collections.abc import Callable
import datetime
import logging

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import directory as directory_lib
from sassafrashold import relay
from sassafrashold import routing
from sassafrashold.front import _interfaces
from sassafrashold.front import _leaf_pool

_LOGGER = logging.getLogger(__name__)
# A configuration that names services without leafs waits for their entries,
# which are read at the same time. Operators expect it in force within 3 s.
_MAX_HOLD = datetime.timedelta(milliseconds=500)


class Topics:
    """The topics that a daemon follows."""

    def __init__(
        self,
        configuration: _interfaces.Topic[routing.Configuration],
        leafs: _interfaces.Topic[directory_lib.LeafChange],
        zones_out: _interfaces.Topic[_interfaces.ZoneChange],
    ) -> None:
        """Initializes the set.

        Args:
            configuration: Versions of the configuration.
            leafs: Entries of leafs.
            zones_out: Zones out of service.
        """
        self.configuration = configuration
        self.leafs = leafs
        self.zones_out = zones_out


class View:
    """Takes batches of documents and puts them in force."""

    def __init__(
        self,
        topics: Topics,
        table: routing.RouteTable,
        directory: directory_lib.LeafDirectory,
        state: calls.CallState,
        pool: _leaf_pool.LeafPool,
        clock: clock_lib.Clock,
    ) -> None:
        """Initializes an empty view.

        Args:
            topics: How documents are decoded.
            table: Gets configurations.
            directory: Gets leafs and zones out of service.
            state: Forgets leafs that ended.
            pool: Closes connections to leafs that ended.
            clock: The clock.
        """
        self._topics = topics
        self._table = table
        self._directory = directory
        self._state = state
        self._pool = pool
        self._clock = clock
        self.mirror_by_topic = {
            topic.name: relay.Mirror()
            for topic in (topics.configuration, topics.leafs, topics.zones_out)
        }
        self.on_change: Callable[[], None] | None = None
        self._held: routing.Configuration | None = None
        self._hold_until = datetime.timedelta()

    @property
    def is_complete(self) -> bool:
        """Whether every topic has been read and a configuration is known."""
        return self._table.current is not None and all(
            mirror.revision is not None
            for mirror in self.mirror_by_topic.values()
        )

    def take(self, topic: str, batch: relay.Batch) -> None:
        """Puts a batch in force, unless a newer one already is.

        Args:
            topic: Name of the topic.
            batch: Documents of the topic.
        """
        if not self.mirror_by_topic[topic].apply(batch):
            return
        if topic == self._topics.configuration.name:
            self._adopt(self._topics.configuration.decode(batch.documents))
        elif topic == self._topics.leafs.name:
            self._take_leafs(
                self._topics.leafs.decode(batch.documents), batch.whole
            )
            self._release_held()
        elif topic == self._topics.zones_out.name:
            self._take_zones_out(
                self._topics.zones_out.decode(batch.documents), batch.whole
            )
        if self.on_change is not None:
            self.on_change()

    def set_store_away(self, away: bool) -> None:
        """Notes that the store was lost or has come back."""
        self._directory.set_store_away(away, self._clock.monotonic())

    def forget_expired(self) -> None:
        """Drops leafs that can no longer be used."""
        self._forget(self._directory.forget_expired(self._clock.monotonic()))
        self._release_held()

    def _adopt(self, versions: tuple[routing.Configuration, ...]) -> None:
        for configuration in versions:
            current = self._table.current
            if current is not None and self._lacks_leafs(
                configuration, current
            ):
                if self._held is None:
                    self._hold_until = self._clock.monotonic() + _MAX_HOLD
                self._held = configuration
                _LOGGER.info(
                    "configuration waits for leafs",
                    extra={"configuration": configuration.version},
                )
            else:
                self._held = None
                self._put_in_force(configuration)

    def _release_held(self) -> None:
        """Puts a configuration in force whose leafs are known, or late."""
        held = self._held
        current = self._table.current
        if held is None or current is None:
            return
        if self._clock.monotonic() < self._hold_until and self._lacks_leafs(
            held, current
        ):
            return
        self._held = None
        self._put_in_force(held)

    def _lacks_leafs(
        self,
        configuration: routing.Configuration,
        current: routing.Configuration,
    ) -> bool:
        """Returns whether a new shard has no leaf, while all old ones have."""
        now = self._clock.monotonic()
        old = current.shards()
        return any(
            not self._directory.usable(shard, now)
            for shard in configuration.shards() - old
        ) and all(self._directory.usable(shard, now) for shard in old)

    def _put_in_force(self, configuration: routing.Configuration) -> None:
        before = self._table.current
        if self._table.adopt(configuration):
            _LOGGER.info(
                "configuration in force",
                extra={
                    "configuration": configuration.version,
                    "before": before.version if before else None,
                },
            )

    def _take_leafs(
        self, changes: tuple[directory_lib.LeafChange, ...], whole: bool
    ) -> None:
        now = self._clock.monotonic()
        if whole:
            entries = [
                change.entry
                for change in changes
                if isinstance(change, directory_lib.LeafSeen)
            ]
            self._forget(self._directory.replace_all(entries, now))
            _LOGGER.info("leafs listed", extra={"leafs": len(entries)})
            return
        for change in changes:
            self._log_leaf(change)
            self._forget(self._directory.apply(change, now))

    def _forget(self, ended: list[directory_lib.LeafRef]) -> None:
        for ref in ended:
            self._pool.forget(ref)
            self._state.forget(ref)

    def _log_leaf(self, change: directory_lib.LeafChange) -> None:
        match change:
            case directory_lib.LeafSeen(entry):
                known = self._directory.entry(entry.ref.leaf_id)
                if (
                    known is not None
                    and known.ref == entry.ref
                    and known.draining == entry.draining
                ):
                    return
                _LOGGER.info(
                    "leaf listed",
                    extra={
                        "leaf": entry.ref.leaf_id,
                        "service": entry.service,
                        "leaf_zone": entry.zone,
                        "draining": entry.draining,
                    },
                )
            case directory_lib.LeafRemoved(leaf_id):
                _LOGGER.info("leaf no longer listed", extra={"leaf": leaf_id})

    def _take_zones_out(
        self, changes: tuple[_interfaces.ZoneChange, ...], whole: bool
    ) -> None:
        zones = set() if whole else set(self._directory.zones_out)
        for change in changes:
            if change.out:
                zones.add(change.zone)
            else:
                zones.discard(change.zone)
        if zones != self._directory.zones_out:
            _LOGGER.info(
                "zones out of service changed", extra={"zones": sorted(zones)}
            )
        self._directory.set_zones_out(zones)
