"""Order of the requests that waited for the start of this host."""

import collections
from collections.abc import Callable
import datetime

# Those in the queue of the listening socket are read within this time.
_READING_TIME = datetime.timedelta(milliseconds=50)
# Requests that waited run this many at a time. All hosts that start together
# then leave most slots of the leafs to requests that can still be in time.
_AT_ONCE = 2


class StartQueue:
    """Lets requests that are late already run behind those that are not.

    After a loss of all hosts, the requests of about half a second are read at
    once. Sent together they fill the queues of the leafs, so that every later
    request is late as well. No I/O.
    """

    def __init__(self) -> None:
        self._read_until: datetime.timedelta | None = None
        self._waited = datetime.timedelta()
        self._running = 0
        self._waiting: collections.deque[Callable[[], None]] = (
            collections.deque()
        )

    def started(
        self, now: datetime.timedelta, waited: datetime.timedelta
    ) -> None:
        """Notes that requests are read from now on.

        Args:
            now: Monotonic time.
            waited: How long callers could connect before that.
        """
        self._read_until = now + _READING_TIME
        self._waited = waited

    def waited(self, read: datetime.timedelta) -> datetime.timedelta:
        """Returns how long a request may have waited before it was read.

        Args:
            read: Monotonic time at which it was read.
        """
        if self._read_until is None or read > self._read_until:
            return datetime.timedelta()
        return self._waited

    def enter(self, run: Callable[[], None]) -> None:
        """Calls `run` at once, or when another request has left."""
        if self._running < _AT_ONCE:
            self._running += 1
            run()
        else:
            self._waiting.append(run)

    def withdraw(self, run: Callable[[], None]) -> bool:
        """Takes a request out; False if it runs already."""
        if run not in self._waiting:
            return False
        self._waiting.remove(run)
        return True

    def leave(self) -> None:
        """Notes the end of a request that ran."""
        if self._waiting:
            self._waiting.popleft()()
        else:
            self._running -= 1
