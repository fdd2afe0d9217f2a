"""The object store of the platform stand-in, without I/O."""

import collections
from collections.abc import Iterable
import dataclasses
import datetime

from sassafrashold import clock as clock_lib

MAX_VALUE_BYTES = 1_000_000
_HISTORY_PER_KEY = 200


@dataclasses.dataclass(frozen=True)
class Version:
    """A state of an object."""

    version: int
    """Version of the change; 0 if the object never existed."""

    value: bytes | None
    """Bytes; None if the object is absent."""

    since: datetime.timedelta
    """Monotonic time of the change."""

    @property
    def visible(self) -> int:
        """The version that clients see: 0 for an absent object."""
        return 0 if self.value is None else self.version


_ABSENT = Version(0, None, datetime.timedelta())


class Store:
    """Objects with versions that are never reused.

    One counter serves all objects, so a version that was deleted cannot come
    back.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._last_version = 0
        self._history_by_key: dict[str, collections.deque[Version]] = {}

    def get(
        self, key: str, age: datetime.timedelta = datetime.timedelta()
    ) -> Version:
        """Returns an object as it was `age` ago."""
        history = self._history_by_key.get(key, ())
        moment = self._clock.monotonic() - age
        return next(
            (state for state in reversed(history) if state.since <= moment),
            _ABSENT,
        )

    def change(
        self, key: str, value: bytes | None, expected: int | None
    ) -> Version | None:
        """Writes or (None) deletes an object.

        Args:
            key: Key of the object.
            value: New bytes; None deletes it.
            expected: Version that must be the current one, 0 for absent; None
                for any.

        Returns:
            The new state; None if the current version is another one.
        """
        if expected is not None and self.get(key).visible != expected:
            return None
        self._last_version += 1
        state = Version(self._last_version, value, self._clock.monotonic())
        history = self._history_by_key.setdefault(
            key, collections.deque(maxlen=_HISTORY_PER_KEY)
        )
        history.append(state)
        return state

    def list_versions(self, prefix: str) -> Iterable[tuple[str, int]]:
        """Yields key and version of each object, by key."""
        for key in sorted(self._history_by_key):
            visible = self.get(key).visible
            if key.startswith(prefix) and visible:
                yield key, visible


@dataclasses.dataclass(frozen=True)
class HostLine:
    """A line of the host list."""

    host: str
    """Host id."""

    zone: str
    """Availability zone."""

    state: str
    """live or leaving."""


class HostList:
    """The list of hosts, which shows changes only after a lag."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        lines: tuple[HostLine, ...],
        lag: datetime.timedelta,
        refresh: datetime.timedelta,
    ) -> None:
        """Initializes the list.

        Args:
            clock: Source of time.
            lines: The first content.
            lag: Time before a change shows.
            refresh: Interval at which the platform makes a new list.
        """
        self._clock = clock
        self._lines_since = [
            (datetime.datetime.min.replace(tzinfo=datetime.UTC), lines)
        ]
        self.lag = lag
        self._refresh = refresh
        self._shown_as_of_ms = 0

    def set(self, lines: tuple[HostLine, ...]) -> None:
        """Changes the hosts; the list shows it after the lag."""
        self._lines_since.append((self._clock.now(), lines))

    @property
    def actual(self) -> tuple[HostLine, ...]:
        """The hosts as they are, without the lag."""
        return self._lines_since[-1][1]

    def shown(self) -> tuple[int, tuple[HostLine, ...]]:
        """Returns the Unix time (ms) of the list and its lines."""
        refresh_ms = max(1, clock_lib.to_ms(self._refresh))
        now_ms = clock_lib.to_unix_ms(self._clock.now() - self.lag)
        # Clients order lists by this time, so it must not go back when the
        # lag is raised.
        as_of_ms = max(now_ms // refresh_ms * refresh_ms, self._shown_as_of_ms)
        self._shown_as_of_ms = as_of_ms
        as_of = clock_lib.from_unix_ms(as_of_ms)
        lines = next(
            lines
            for since, lines in reversed(self._lines_since)
            if since <= as_of
        )
        return as_of_ms, lines
