"""Whether the balancer may send callers to this host."""

import datetime

from sassafrashold import views

CONTROL_AWAY_MAX = datetime.timedelta(seconds=10)


class Readiness:
    """Ready while the view is known, control was seen, and nothing stops."""

    def __init__(self, feed: views.Feed) -> None:
        self._feed = feed
        self.is_stopping = False

    def reasons(self) -> list[str]:
        """Returns why the process is not ready; empty when it is."""
        view = self._feed.current
        reasons = []
        if self.is_stopping:
            reasons.append("the process is stopping")
        if view.table is None:
            reasons.append("the table is not known")
        if not view.lease_by_zone:
            reasons.append("no zone lease is known")
        away = self._feed.disconnected_for()
        if away > CONTROL_AWAY_MAX:
            reasons.append(
                f"control has not been seen for {away.total_seconds():.0f} s"
            )
        return reasons
