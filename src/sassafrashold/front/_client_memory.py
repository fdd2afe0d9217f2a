"""Bound on the memory that clients make this process hold, on all ports."""

from collections.abc import Iterator
import contextlib
import dataclasses
import datetime
from typing import Protocol

from sassafrashold import clock as clock_lib

# Over the limit, connections are closed until this share of it is left, so
# that the next bytes don't need another pass over all connections.
_ROOM_RATIO = 0.9
# Part of the limit for the requests that are being served. These are refused
# before connections with an open request are closed.
_WORK_RATIO = 0.5
# Ranks connections that are equally old by their size.
_MIN_AGE = datetime.timedelta(milliseconds=1)


class MemoryFullError(Exception):
    """Clients hold too much memory for another request to be served."""


class Holder(Protocol):
    """A connection that holds bytes for its client."""

    @property
    def is_served(self) -> bool:
        """Whether a complete request of the client is being served."""
        ...

    def give_up(self) -> None:
        """Closes the connection at once and frees what it holds."""
        ...


@dataclasses.dataclass(frozen=True)
class _Holding:
    size: int
    """Bytes that the connection holds."""

    since: datetime.timedelta
    """Monotonic time since which it has held bytes for its current step."""


class ClientMemory:
    """Counts what connections hold, and closes some of them over a limit.

    Each limit on one connection alone leaves it to the number of clients how
    much memory the process needs. First to be closed are the connections that
    have held most bytes for the longest time, as clients that send or read
    without pause hold few bytes, or for a short time. Connections whose request
    is being served are closed last, as their caller would not learn whether
    it has run.
    """

    def __init__(self, max_bytes: int, clock: clock_lib.Clock) -> None:
        """Initializes the count.

        Args:
            max_bytes: Maximum number of bytes of all connections together.
            clock: Source of monotonic time.
        """
        self._max_bytes = max_bytes
        self._clock = clock
        self._holding_by_holder: dict[Holder, _Holding] = {}
        self._total = 0
        self._reserved = 0

    @property
    def total(self) -> int:
        """Bytes that all connections hold and that are reserved."""
        return self._total

    def hold(self, holder: Holder, size: int) -> None:
        """Sets what a connection holds; may close it or others.

        Args:
            holder: The connection.
            size: Number of bytes.
        """
        known = self._holding_by_holder.get(holder)
        since = self._clock.monotonic() if known is None else known.since
        self._total += size - (0 if known is None else known.size)
        self._holding_by_holder[holder] = _Holding(size, since)
        if self._total > self._max_bytes:
            self._make_room(0)

    def restart_age(self, holder: Holder) -> None:
        """Counts the age of what a connection holds from now on."""
        known = self._holding_by_holder.get(holder)
        if known is not None:
            self._holding_by_holder[holder] = dataclasses.replace(
                known, since=self._clock.monotonic()
            )

    def release(self, holder: Holder) -> None:
        """Stops counting a connection, which has ended."""
        known = self._holding_by_holder.pop(holder, None)
        if known is not None:
            self._total -= known.size

    @contextlib.contextmanager
    def reserve(self, size: int) -> Iterator[None]:
        """Counts the memory to serve a request, until the request ends.

        Args:
            size: Number of bytes.

        Raises:
            MemoryFullError: There is no room for it.
        """
        if self._reserved + size > self._max_bytes * _WORK_RATIO:
            raise MemoryFullError
        if self._total + size > self._max_bytes:
            self._make_room(size)
            if self._total + size > self._max_bytes:
                raise MemoryFullError
        self._reserved += size
        self._total += size
        try:
            yield
        finally:
            self._reserved -= size
            self._total -= size

    def _make_room(self, size: int) -> None:
        """Closes connections for that many bytes more.

        Without any, also those whose request is being served, over the limit.
        """
        now = self._clock.monotonic()
        by_rank = sorted(
            self._holding_by_holder.items(),
            key=lambda item: (item[0].is_served, -_weight(item[1], now)),
        )
        for holder, _ in by_rank:
            limit = self._max_bytes
            if not holder.is_served:
                limit = int(limit * _ROOM_RATIO) - size
            if self._total <= limit:
                return
            self.release(holder)
            holder.give_up()


def _weight(holding: _Holding, now: datetime.timedelta) -> float:
    """Returns the product of size and age."""
    age = max(now - holding.since, _MIN_AGE)
    return holding.size * age.total_seconds()
