"""Availability zones that hosts of this zone report as unreachable."""

from collections.abc import Iterable
import datetime

# A report expires after this time, as its host may have stopped.
_REPORT_TTL = datetime.timedelta(milliseconds=1500)


class UnreachableZones:
    """Latest report of unreachable zones from each host; no I/O."""

    def __init__(self) -> None:
        self._report_by_host: dict[
            str, tuple[datetime.timedelta, frozenset[str]]
        ] = {}

    def report(
        self, host: str, zones: Iterable[str], now: datetime.timedelta
    ) -> None:
        """Replaces the report of a host.

        Args:
            host: Name of the host.
            zones: Zones that the host can't reach.
            now: Monotonic time.
        """
        self._report_by_host[host] = (now, frozenset(zones))

    def zones(self, now: datetime.timedelta) -> tuple[str, ...]:
        """Returns the zones that at least one host can't reach, sorted.

        Args:
            now: Monotonic time.
        """
        self._report_by_host = {
            host: (at, zones)
            for host, (at, zones) in self._report_by_host.items()
            if now - at < _REPORT_TTL
        }
        reports = (zones for _, zones in self._report_by_host.values())
        return tuple(sorted({zone for zones in reports for zone in zones}))
