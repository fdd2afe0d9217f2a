"""Copies of the topics of the store, and the state derived from them."""

from collections.abc import Callable
import dataclasses
import datetime
import logging

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import directory as directory_lib
from sassafrashold import relay
from sassafrashold import routing
from sassafrashold import telemetry
from sassafrashold.front import _interfaces
from sassafrashold.front import _leaf_pool

_LOGGER = logging.getLogger(__name__)
# A configuration whose new shards have no leafs yet waits this long for their
# entries, which are read at the same time. Operators expect a configuration to
# be in force within 3 s.
_MAX_CONFIGURATION_DELAY = datetime.timedelta(milliseconds=500)
# For each topic and kind of line; a source that is asked in a loop must not
# fill the log.
_MAX_BATCH_LINES_PER_SECOND = 5
# A line that lists hundreds of leafs would hold up requests.
_MAX_LISTED_IDS = 20
# Source of batches that no other host has sent.
STORE = "store"


class Topics:
    """The topics of the store that a daemon follows."""

    def __init__(
        self,
        configuration: _interfaces.Topic[routing.Configuration],
        leafs: _interfaces.Topic[directory_lib.LeafChange],
        zones_out: _interfaces.Topic[_interfaces.ZoneChange],
        eras: relay.LatestEra,
    ) -> None:
        """Initializes the set.

        Args:
            configuration: Versions of the configuration.
            leafs: Entries of leafs.
            zones_out: Zones that operators have taken out of service.
            eras: Tells when the store comes back from an older copy.
        """
        self.eras = eras
        self.configuration = configuration
        self.leafs = leafs
        self.zones_out = zones_out


@dataclasses.dataclass(frozen=True)
class TopicStatus:
    """How current the copy of a topic is, for metrics."""

    topic: str
    """Name of the topic."""

    position: relay.Position | None
    """Place in the store's history; None before a snapshot."""

    age: datetime.timedelta
    """Time since the store or another host last answered for the topic."""

    ignored_batches: int
    """Number of batches that were older than the copy or left a gap."""


@dataclasses.dataclass(frozen=True)
class Knowledge:
    """What requests are handled by, for their log lines."""

    configuration: int | None
    """Version in force; None before the first one."""

    position: relay.Position | None
    """Place in the store's history of the copy of the configuration."""

    age: datetime.timedelta
    """Time since a source last answered for the configuration."""


class View:
    """Applies batches of documents to the routes and the leaf directory."""

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
            topics: Decode the documents.
            table: Configurations are put in force here.
            directory: Updated with leafs and zones out of service.
            state: Records of leafs that are gone are dropped from it.
            pool: Connections to leafs that are gone are closed.
            clock: Source of monotonic time.
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
        self._zones_out = directory_lib.ZonesOut()
        now = clock.monotonic()
        self._answered_at_by_topic = dict.fromkeys(self.mirror_by_topic, now)
        self._ignored_by_topic = dict.fromkeys(self.mirror_by_topic, 0)
        self._log_budget = telemetry.LineBudget(
            _MAX_BATCH_LINES_PER_SECOND, clock
        )
        self._pending: routing.Configuration | None = None
        self._pending_deadline = datetime.timedelta()

    @property
    def is_complete(self) -> bool:
        """Whether every topic has been read and a configuration is in force."""
        return self._table.current is not None and all(
            mirror.position is not None
            for mirror in self.mirror_by_topic.values()
        )

    def statuses(self) -> tuple[TopicStatus, ...]:
        """Returns how current the copy of each topic is."""
        now = self._clock.monotonic()
        return tuple(
            TopicStatus(
                topic,
                mirror.position,
                now - self._answered_at_by_topic[topic],
                self._ignored_by_topic[topic],
            )
            for topic, mirror in self.mirror_by_topic.items()
        )

    def knowledge(self) -> Knowledge:
        """Returns what requests are handled by at present."""
        topic = self._topics.configuration.name
        current = self._table.current
        return Knowledge(
            current.version if current is not None else None,
            self.mirror_by_topic[topic].position,
            self._clock.monotonic() - self._answered_at_by_topic[topic],
        )

    def confirm_all(self) -> None:
        """Records that a source has answered for all topics."""
        now = self._clock.monotonic()
        for topic in self._answered_at_by_topic:
            self._answered_at_by_topic[topic] = now

    def apply_batch(
        self, topic: str, batch: relay.Batch, source: str = STORE
    ) -> None:
        """Applies a batch, unless a newer one has been applied.

        Args:
            topic: Name of the topic.
            batch: Documents of the topic.
            source: Where it was read, for the log: `STORE` or the address of a
                host.
        """
        mirror = self.mirror_by_topic[topic]
        reached = mirror.position
        self._answered_at_by_topic[topic] = self._clock.monotonic()
        changed = mirror.apply(batch)
        self._topics.eras.note(batch.position.era)
        if reached is not None and mirror.position != batch.position:
            self._note_ignored(topic, batch, reached, source)
        if not changed:
            return
        is_new_era = reached is not None and batch.position.era > reached.era
        if batch.documents:
            self._log_budget.info(
                _LOGGER,
                f"{topic} changed",
                "copy changed",
                {
                    "topic": topic,
                    "position": str(batch.position),
                    "before": position_text(reached),
                    "source": source,
                    "documents": len(batch.documents),
                    "snapshot": batch.is_snapshot,
                },
            )
        if topic == self._topics.configuration.name:
            self._apply_configurations(
                self._topics.configuration.decode(batch.documents)
            )
        elif topic == self._topics.leafs.name:
            if is_new_era:
                self._restore_leafs(mirror.documents)
            else:
                self._apply_leaf_changes(
                    self._topics.leafs.decode(batch.documents),
                    batch.is_snapshot,
                )
            self._activate_pending()
        elif topic == self._topics.zones_out.name:
            if is_new_era:
                self._restore_zones(mirror.documents)
            else:
                self._apply_zone_changes(
                    self._topics.zones_out.decode(batch.documents),
                    batch.is_snapshot,
                )
        if self.on_change is not None:
            self.on_change()

    def _note_ignored(
        self,
        topic: str,
        batch: relay.Batch,
        reached: relay.Position,
        source: str,
    ) -> None:
        self._ignored_by_topic[topic] += 1
        is_older = batch.position < reached
        if is_older and not (batch.documents or batch.is_snapshot):
            return
        self._log_budget.info(
            _LOGGER,
            f"{topic} {'ignored' if is_older else 'gap'}",
            "older answer ignored"
            if is_older
            else "answer that leaves a gap ignored",
            {
                "topic": topic,
                "position": str(batch.position),
                "since": position_text(batch.since),
                "reached": str(reached),
                "source": source,
            },
        )

    def set_store_unavailable(self, unavailable: bool) -> None:
        """Records whether the store is unavailable.

        Leafs whose entries lapse meanwhile stay usable as a last resort.
        """
        now = self._clock.monotonic()
        self._directory.set_store_unavailable(unavailable, now)
        self._zones_out.set_store_unavailable(unavailable, now)

    def forget_expired(self) -> None:
        """Drops leafs that can no longer be used.

        Also activates a pending configuration whose wait has ended, and ends
        what was kept from before the store came back from an older copy.
        """
        now = self._clock.monotonic()
        self._drop_leafs(self._directory.forget_expired(now))
        if self._zones_out.forget_expired(now):
            self._put_zones_out()
        self._activate_pending()

    def _apply_configurations(
        self, versions: tuple[routing.Configuration, ...]
    ) -> None:
        for configuration in versions:
            current = self._table.current
            newest = self._pending or current
            if newest is not None and configuration.version <= newest.version:
                # The store may come back with an older version.
                continue
            if current is not None and self._lacks_leafs(
                configuration, current
            ):
                if self._pending is None:
                    self._pending_deadline = (
                        self._clock.monotonic() + _MAX_CONFIGURATION_DELAY
                    )
                self._pending = configuration
                _LOGGER.info(
                    "configuration waits for leafs",
                    extra={"configuration": configuration.version},
                )
            else:
                self._pending = None
                self._activate(configuration)

    def _activate_pending(self) -> None:
        """Activates the pending configuration if its wait has ended."""
        pending = self._pending
        current = self._table.current
        if pending is None or current is None:
            return
        if (
            self._clock.monotonic() < self._pending_deadline
            and self._lacks_leafs(pending, current)
        ):
            return
        self._pending = None
        self._activate(pending)

    def _lacks_leafs(
        self,
        configuration: routing.Configuration,
        current: routing.Configuration,
    ) -> bool:
        """Returns whether a new shard lacks leafs and no current shard does."""
        now = self._clock.monotonic()
        current_shards = current.shards()
        return any(
            not self._directory.usable(shard, now)
            for shard in configuration.shards() - current_shards
        ) and all(
            self._directory.usable(shard, now) for shard in current_shards
        )

    def _activate(self, configuration: routing.Configuration) -> None:
        previous = self._table.current
        if self._table.adopt(configuration):
            self._state.forget_removed_routes()
            _LOGGER.info(
                "configuration in force",
                extra={
                    "configuration": configuration.version,
                    "before": previous.version if previous else None,
                },
            )

    def _apply_leaf_changes(
        self, changes: tuple[directory_lib.LeafChange, ...], is_snapshot: bool
    ) -> None:
        now = self._clock.monotonic()
        if is_snapshot:
            entries = [
                change.entry
                for change in changes
                if isinstance(change, directory_lib.LeafUpdated)
            ]
            self._drop_leafs(self._directory.replace_all(entries, now))
            _LOGGER.info("leafs listed", extra={"leafs": len(entries)})
            return
        self._log_leaf_changes(changes)
        for change in changes:
            self._drop_leafs(self._directory.apply(change, now))

    def _restore_leafs(self, documents: tuple[relay.Document, ...]) -> None:
        """Lists the leafs of a store that came back from an older copy."""
        entries = [
            change.entry
            for change in self._topics.leafs.decode(documents)
            if isinstance(change, directory_lib.LeafUpdated)
        ]
        self._drop_leafs(
            self._directory.restore(entries, self._clock.monotonic())
        )
        contradicted = sorted(self._directory.contradicted_ids)
        self._log_budget.info(
            _LOGGER,
            "leafs listed from an older copy",
            "leafs listed from an older copy",
            {
                "leafs": len(entries),
                "contradicted": contradicted[:_MAX_LISTED_IDS],
                "contradicted_leafs": len(contradicted),
            },
        )

    def _restore_zones(self, documents: tuple[relay.Document, ...]) -> None:
        """Lists the zones of a store that came back from an older copy."""
        self._zones_out.restore(
            {
                change.zone
                for change in self._topics.zones_out.decode(documents)
                if change.out_of_service
            },
            self._clock.monotonic(),
        )
        self._put_zones_out()

    def _drop_leafs(self, dropped: list[directory_lib.LeafRef]) -> None:
        for ref in dropped:
            self._pool.close_leaf_connections(ref)
            self._state.forget(ref)

    def _log_leaf_changes(
        self, changes: tuple[directory_lib.LeafChange, ...]
    ) -> None:
        """Logs the leafs that a batch adds, drains and removes, in one line.

        A line for each leaf would hold up requests when hundreds change.
        """
        listed: list[str] = []
        draining: list[str] = []
        removed: list[str] = []
        for change in changes:
            match change:
                case directory_lib.LeafUpdated(entry):
                    known = self._directory.entry(entry.ref.leaf_id)
                    if (
                        known is not None
                        and known.ref == entry.ref
                        and known.draining == entry.draining
                    ):
                        continue
                    text = f"{entry.ref.leaf_id} {entry.service} {entry.zone}"
                    (draining if entry.draining else listed).append(text)
                case directory_lib.LeafRemoved(leaf_id):
                    removed.append(leaf_id)
        leafs_by_change = {
            "listed": listed,
            "draining": draining,
            "removed": removed,
        }
        if any(leafs_by_change.values()):
            _LOGGER.info(
                "leafs changed",
                extra={
                    name: leafs
                    for name, leafs in leafs_by_change.items()
                    if leafs
                },
            )

    def _apply_zone_changes(
        self, changes: tuple[_interfaces.ZoneChange, ...], is_snapshot: bool
    ) -> None:
        if is_snapshot:
            self._zones_out.replace_all(
                change.zone for change in changes if change.out_of_service
            )
        else:
            for change in changes:
                self._zones_out.update(change.zone, change.out_of_service)
        self._put_zones_out()

    def _put_zones_out(self) -> None:
        zones = self._zones_out.zones
        if zones != self._directory.zones_out:
            _LOGGER.info(
                "zones out of service changed", extra={"zones": sorted(zones)}
            )
        self._directory.set_zones_out(zones)


def position_text(position: relay.Position | None) -> str | None:
    """Returns a position as log lines show it."""
    return None if position is None else str(position)
