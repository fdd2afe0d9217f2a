"""What this host knows of the store, and what follows from it."""

from collections.abc import Callable
import logging

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import directory as directory_lib
from sassafrashold import relay
from sassafrashold import routing
from sassafrashold.front import _interfaces
from sassafrashold.front import _leaf_pool

_LOGGER = logging.getLogger(__name__)


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

    def _adopt(self, versions: tuple[routing.Configuration, ...]) -> None:
        for configuration in versions:
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
