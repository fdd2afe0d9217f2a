"""The zones that operators have taken out of service."""

from collections.abc import Iterable
import datetime

# Operators write again what the store has lost with an older copy.
_RESTORED_ZONE_RETENTION = datetime.timedelta(seconds=10)


class ZonesOut:
    """Zones out of service, across returns of the store from older copies.

    A zone whose entry was lost with a return stays out of service until its
    entry is written again and removed, or the retention is over. It is not
    over while the store is unavailable, as the entry may be there again.
    """

    def __init__(self) -> None:
        self._listed: frozenset[str] = frozenset()
        self._kept_until_by_zone: dict[str, datetime.timedelta] = {}
        self._store_unavailable = False

    @property
    def zones(self) -> frozenset[str]:
        """Zones that must get no requests."""
        return self._listed | self._kept_until_by_zone.keys()

    def replace_all(self, zones: Iterable[str]) -> None:
        """Applies a complete list of the store's present era."""
        self._listed = frozenset(zones)
        self._drop_listed()

    def restore(self, zones: Iterable[str], now: datetime.timedelta) -> None:
        """Applies the first complete list of a new era of the store.

        Args:
            zones: Zones that the older copy lists.
            now: Monotonic time.
        """
        for zone in self._listed:
            self._kept_until_by_zone[zone] = now + _RESTORED_ZONE_RETENTION
        self.replace_all(zones)

    def update(self, zone: str, out_of_service: bool) -> None:
        """Applies one change."""
        self._kept_until_by_zone.pop(zone, None)
        if out_of_service:
            self._listed |= {zone}
        else:
            self._listed -= {zone}

    def set_store_unavailable(
        self, unavailable: bool, now: datetime.timedelta
    ) -> None:
        """Records whether the store is available.

        When it recovers, the retention starts anew.

        Args:
            unavailable: Whether the store is unavailable.
            now: Monotonic time.
        """
        if self._store_unavailable and not unavailable:
            for zone in self._kept_until_by_zone:
                self._kept_until_by_zone[zone] = now + _RESTORED_ZONE_RETENTION
        self._store_unavailable = unavailable

    def forget_expired(self, now: datetime.timedelta) -> bool:
        """Ends the retention of lost entries.

        Returns:
            Whether any ended.
        """
        if self._store_unavailable:
            return False
        expired = [
            zone
            for zone, until in self._kept_until_by_zone.items()
            if until <= now
        ]
        for zone in expired:
            del self._kept_until_by_zone[zone]
        return bool(expired)

    def _drop_listed(self) -> None:
        for zone in self._listed:
            self._kept_until_by_zone.pop(zone, None)
