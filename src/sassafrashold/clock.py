"""Clock interface, injected into all code that depends on the time."""

import datetime
import time
from typing import Protocol

_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class Clock(Protocol):
    """Source of wall and monotonic time."""

    def now(self) -> datetime.datetime:
        """Returns the wall time in UTC."""
        ...

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since an arbitrary fixed point; never goes back."""
        ...


class SystemClock:
    """The clock of the operating system.

    The monotonic time includes time in which the machine was suspended, so that
    a lease does not outlive a suspended host.
    """

    def now(self) -> datetime.datetime:
        """Returns the wall time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since boot."""
        return datetime.timedelta(
            seconds=time.clock_gettime(time.CLOCK_BOOTTIME)
        )


class ManualClock:
    """A clock that moves only by `advance`; for tests and models."""

    def __init__(
        self,
        now: datetime.datetime = _EPOCH,
        monotonic: datetime.timedelta = datetime.timedelta(),
    ) -> None:
        self._now = now
        self._monotonic = monotonic

    def now(self) -> datetime.datetime:
        """Returns the wall time in UTC."""
        return self._now

    def monotonic(self) -> datetime.timedelta:
        """Returns the monotonic time set by `advance`."""
        return self._monotonic

    def advance(self, step: datetime.timedelta) -> None:
        """Moves both times forward by `step`."""
        if step < datetime.timedelta():
            raise ValueError("a clock cannot move back")
        self._now += step
        self._monotonic += step


def to_unix_ms(moment: datetime.datetime) -> int:
    """Returns `moment` as Unix milliseconds, rounded down."""
    return (moment - _EPOCH) // _MILLISECOND


def from_unix_ms(unix_ms: int) -> datetime.datetime:
    """Returns the UTC time of a Unix time in milliseconds."""
    return _EPOCH + unix_ms * _MILLISECOND


def to_ms(duration: datetime.timedelta) -> int:
    """Returns a duration in whole milliseconds, rounded down."""
    return duration // _MILLISECOND


def from_ms(milliseconds: int) -> datetime.timedelta:
    """Returns a number of milliseconds as a duration."""
    return milliseconds * _MILLISECOND
