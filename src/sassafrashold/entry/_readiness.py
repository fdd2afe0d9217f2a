"""Whether the balancer may send callers to this host."""

from collections.abc import Iterator
import datetime

from sassafrashold import clock as clock_lib
from sassafrashold import table as table_lib
from sassafrashold import views

CONTROL_AWAY_MAX = datetime.timedelta(seconds=10)
# Other zones may be partitioned away, so they hold up a new process only for
# a while. It is long enough for gossip between zones to arrive.
_OTHER_ZONES_WAIT = datetime.timedelta(seconds=10)


class Readiness:
    """Ready while the view is known, control was seen, and nothing stops."""

    def __init__(
        self, feed: views.Feed, zone: str, clock: clock_lib.Clock
    ) -> None:
        self._feed = feed
        self._zone = zone
        self._clock = clock
        self._wait_until = clock.monotonic() + _OTHER_ZONES_WAIT
        self.is_stopping = False

    def reasons(self) -> list[str]:
        """Returns why the process is not ready; empty when it is."""
        view = self._feed.current
        reasons = []
        if self.is_stopping:
            reasons.append("the process is stopping")
        if view.table is None:
            reasons.append("the table is not known")
        if self._zone not in view.lease_by_zone:
            reasons.append(f"the lease of zone {self._zone!r} is not known")
        away = self._feed.disconnected_for()
        if away > CONTROL_AWAY_MAX:
            reasons.append(
                f"control has not been seen for {away.total_seconds():.0f} s"
            )
        if view.table and self._clock.monotonic() < self._wait_until:
            reasons.extend(_unknown_parts(view, view.table, self._zone))
        return reasons


def _unknown_parts(
    view: views.View, table: table_lib.Table, zone: str
) -> Iterator[str]:
    """Names what the rows of the table refer to and the view lacks."""
    zones = {
        name
        for row in table.rows
        for name, weight in row.weight_by_zone.items()
        if weight > 0
    }
    for name in sorted(zones - view.lease_by_zone.keys() - {zone}):
        yield f"the lease of zone {name!r} is not known yet"
    for row in table.rows:
        if row.service not in view.shardmap_by_service:
            yield f"the shard map of {row.service!r} is not known yet"
