"""Queue of the requests that waited while this host was starting."""

import collections
from collections.abc import Callable
import datetime

# Time in which the backlog of the listening socket is read after the start.
_BACKLOG_READ_TIME = datetime.timedelta(milliseconds=50)
# Limit on concurrent requests that waited. It leaves most slots of the leafs to
# requests that can still meet their latency target, also if all hosts start at
# the same time.
_MAX_CONCURRENT_REQUESTS = 2


class StartQueue:
    """Limits the concurrency of requests that are late because of the start.

    After a restart of all hosts, the requests of about half a second are read
    at once. Sent together, they would fill the queues of the leafs and make
    every later request late as well. No I/O.
    """

    def __init__(self) -> None:
        self._read_until: datetime.timedelta | None = None
        self._max_wait = datetime.timedelta()
        self._running = 0
        self._waiting: collections.deque[Callable[[], None]] = (
            collections.deque()
        )

    def started(
        self, now: datetime.timedelta, waited: datetime.timedelta
    ) -> None:
        """Records that the host starts to read requests.

        Args:
            now: Monotonic time.
            waited: How long callers could connect before that, so the longest
                wait of a request.
        """
        self._read_until = now + _BACKLOG_READ_TIME
        self._max_wait = waited

    def max_wait(self, read: datetime.timedelta) -> datetime.timedelta:
        """Returns the longest time that a request may have waited to be read.

        It is 0 for requests read after the backlog.

        Args:
            read: Monotonic time at which the request was read.
        """
        if self._read_until is None or read > self._read_until:
            return datetime.timedelta()
        return self._max_wait

    def enter(self, run: Callable[[], None]) -> None:
        """Calls `run` now, or at the limit once another request has ended."""
        if self._running < _MAX_CONCURRENT_REQUESTS:
            self._running += 1
            run()
        else:
            self._waiting.append(run)

    def withdraw(self, run: Callable[[], None]) -> bool:
        """Removes a waiting request; returns False if it is already running."""
        if run not in self._waiting:
            return False
        self._waiting.remove(run)
        return True

    def leave(self) -> None:
        """Records the end of a running request and starts the next one."""
        if self._waiting:
            self._waiting.popleft()()
        else:
            self._running -= 1
