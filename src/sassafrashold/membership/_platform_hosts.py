"""The history of the platform's host list."""

from collections.abc import Mapping
import datetime

# Bounds the memory used for replaced hosts. A forgotten host counts as absent
# since the first list, which is an even longer absence.
_FORGET_AFTER = datetime.timedelta(hours=1)


class PlatformHosts:
    """Tracks how long each host has been absent from the platform's host list.

    The list lags behind the platform; it is assumed to contain every host that
    the platform still runs. An absence is measured on both the platform's clock
    and the local clock, and the shorter duration counts, so that a clock step
    does not end the wait early.
    """

    def __init__(self) -> None:
        self._first_list: (
            tuple[datetime.datetime, datetime.timedelta] | None
        ) = None
        self._newest_list: (
            tuple[datetime.datetime, datetime.timedelta] | None
        ) = None
        self._requested_at: datetime.timedelta | None = None
        self._leaving_by_host: dict[str, bool] = {}
        self._last_listed_by_host: dict[
            str, tuple[datetime.datetime, datetime.timedelta]
        ] = {}

    def update(
        self,
        as_of: datetime.datetime,
        leaving_by_host: Mapping[str, bool],
        received: datetime.timedelta,
        requested_at: datetime.timedelta | None = None,
    ) -> None:
        """Applies a host list unless it is older than the newest one.

        Args:
            as_of: Platform time at which the list was made.
            leaving_by_host: The listed hosts, and whether each is leaving.
            received: Local monotonic time at which the list was received.
            requested_at: Local monotonic time just before this host requested
                the list from the platform; None for a list from a peer.
        """
        if requested_at is not None and (
            self._newest_list is None or as_of >= self._newest_list[0]
        ):
            self._requested_at = requested_at
        if self._newest_list is not None and as_of <= self._newest_list[0]:
            return
        list_times = (as_of, received)
        self._first_list = self._first_list or list_times
        self._requested_at = requested_at
        self._newest_list = list_times
        self._leaving_by_host = dict(leaving_by_host)
        for host in leaving_by_host:
            self._last_listed_by_host[host] = list_times
        self._forget(as_of)

    @property
    def requested_at(self) -> datetime.timedelta | None:
        """Local monotonic time at which this host requested the newest list.

        None if the newest list came from a peer, or if there is no list.
        """
        return self._requested_at

    def is_listed(self, host: str) -> bool:
        """Returns whether the newest list contains a host."""
        return host in self._leaving_by_host

    def is_leaving(self, host: str) -> bool:
        """Returns whether the newest list marks a host as leaving."""
        return self._leaving_by_host.get(host, False)

    def absent_for(self, host: str) -> datetime.timedelta:
        """Returns how long a host has been absent from the lists.

        Counts only the time between received lists: from the last list that
        contains the host, or from the first list if none does, to the newest.
        """
        start = self._last_listed_by_host.get(host, self._first_list)
        if start is None or self._newest_list is None:
            return datetime.timedelta()
        return min(
            self._newest_list[0] - start[0], self._newest_list[1] - start[1]
        )

    def _forget(self, as_of: datetime.datetime) -> None:
        for host, (listed_at, _) in list(self._last_listed_by_host.items()):
            if as_of - listed_at > _FORGET_AFTER:
                del self._last_listed_by_host[host]
