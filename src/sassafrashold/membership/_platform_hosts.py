"""What the platform's host list says over time."""

from collections.abc import Mapping
import datetime

# Bounds the memory for hosts that were replaced. A forgotten host counts as
# absent since the first list, which is longer still.
_FORGET_AFTER = datetime.timedelta(hours=1)


class PlatformHosts:
    """Tracks since when the platform's host list has not named a host.

    The list lags, and it is assumed to name every host that the platform still
    runs. Two clocks have to agree on an absence, the platform's own and the
    local one, so that a step of the platform's clock does not shorten it.
    """

    def __init__(self) -> None:
        self._first: tuple[datetime.datetime, datetime.timedelta] | None = None
        self._last: tuple[datetime.datetime, datetime.timedelta] | None = None
        self._read: datetime.timedelta | None = None
        self._leaving_by_host: dict[str, bool] = {}
        self._named_by_host: dict[
            str, tuple[datetime.datetime, datetime.timedelta]
        ] = {}

    def update(
        self,
        as_of: datetime.datetime,
        leaving_by_host: Mapping[str, bool],
        received: datetime.timedelta,
        read: datetime.timedelta | None = None,
    ) -> None:
        """Takes over a list unless it is older than the last one.

        Args:
            as_of: When the platform made the list.
            leaving_by_host: Whether each named host is leaving.
            received: Local monotonic time of receipt.
            read: Local monotonic time before this host itself asked the
                platform; None for a list that came from a peer.
        """
        if read is not None and (self._last is None or as_of >= self._last[0]):
            self._read = read
        if self._last is not None and as_of <= self._last[0]:
            return
        moment = (as_of, received)
        self._first = self._first or moment
        self._read = read
        self._last = moment
        self._leaving_by_host = dict(leaving_by_host)
        for host in leaving_by_host:
            self._named_by_host[host] = moment
        self._forget(as_of)

    @property
    def read(self) -> datetime.timedelta | None:
        """When this host asked for the newest list; None if it did not."""
        return self._read

    def names(self, host: str) -> bool:
        """Returns whether the newest list names a host."""
        return host in self._leaving_by_host

    def is_leaving(self, host: str) -> bool:
        """Returns whether the newest list calls a host leaving."""
        return self._leaving_by_host.get(host, False)

    def absent_for(self, host: str) -> datetime.timedelta:
        """Returns for how long the lists have not named a host.

        Counts only the time between received lists: from the last list that
        names the host, or else from the first list, to the newest one.
        """
        since = self._named_by_host.get(host, self._first)
        if since is None or self._last is None:
            return datetime.timedelta()
        return min(self._last[0] - since[0], self._last[1] - since[1])

    def _forget(self, as_of: datetime.datetime) -> None:
        for host, (named, _) in list(self._named_by_host.items()):
            if as_of - named > _FORGET_AFTER:
                del self._named_by_host[host]
