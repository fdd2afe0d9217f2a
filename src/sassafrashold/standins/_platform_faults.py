"""Faults of the platform stand-in and how they are drawn."""

import dataclasses
import random
from typing import Any

from sassafrashold import clock as clock_lib


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """What goes wrong at the platform; settable while it runs."""

    down: str | None = None
    """error (503), close (connection closed) or hang; None if it is up."""

    slow_ms: float = 0.0
    """Added to each call."""

    slow_jitter_ms: float = 0.0
    """Upper end of a uniform time that is added to each call."""

    stale_ms: float = 0.0
    """Age of the state that stale reads see."""

    stale_percent: float = 100.0
    """Reads that are stale if `stale_ms` is above 0."""

    lost_answer_percent: float = 0.0
    """Writes that take effect and whose connection is closed unanswered."""

    lost_answers: int = 0
    """Number of next writes whose answer is lost."""

    lost_request_percent: float = 0.0
    """Writes whose connection is closed and that take no effect."""

    lost_delay_ms: float = 0.0
    """Time after the close at which a write with a lost answer takes effect."""

    key_prefix: str = ""
    """Objects that stale reads and lost calls apply to."""

    writes_per_second: float = 0.0
    """Writes beyond this rate get 429; 0 for no limit."""

    reads_per_second: float = 0.0
    """Reads beyond this rate get 429; 0 for no limit."""

    def with_changes(self, changes: dict[str, Any]) -> "Faults":
        """Returns the faults with some fields replaced.

        Raises:
            ValueError: A field is unknown or has a value that is not allowed.
        """
        known = {
            field.name: field.default for field in dataclasses.fields(self)
        }
        for name, value in changes.items():
            if name not in known:
                raise ValueError(f"{name}: unknown; known: {sorted(known)}")
            if name == "down":
                valid = value in (None, "error", "close", "hang")
            elif name == "key_prefix":
                valid = isinstance(value, str)
            else:
                number = isinstance(value, int | float)
                valid = number and not isinstance(value, bool) and value >= 0
            if not valid:
                raise ValueError(f"{name}: value {value!r} is not allowed")
        return dataclasses.replace(self, **changes)


class RateLimit:
    """A token bucket that holds at most one second's worth of calls."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._filled = clock.monotonic()
        self._tokens = 0.0

    def allows(self, per_second: float) -> bool:
        """Takes a token if there is one; always true for a rate of 0."""
        if per_second <= 0:
            return True
        now = self._clock.monotonic()
        elapsed = (now - self._filled).total_seconds()
        self._filled = now
        self._tokens = min(
            max(1.0, per_second), self._tokens + elapsed * per_second
        )
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclasses.dataclass(frozen=True)
class WriteFate:
    """What happens to one write."""

    takes_effect: bool = True
    """Whether the object changes."""

    answered: bool = True
    """Whether the caller gets an answer."""


def draw_write_fate(
    faults: Faults, key: str, source: random.Random
) -> tuple[WriteFate, Faults]:
    """Draws the fate of a write; counts down `lost_answers`."""
    if not key.startswith(faults.key_prefix):
        return WriteFate(), faults
    if faults.lost_answers > 0:
        left = dataclasses.replace(faults, lost_answers=faults.lost_answers - 1)
        return WriteFate(answered=False), left
    if source.random() * 100 < faults.lost_answer_percent:
        return WriteFate(answered=False), faults
    if source.random() * 100 < faults.lost_request_percent:
        return WriteFate(takes_effect=False, answered=False), faults
    return WriteFate(), faults
