"""Places in the store's history, and the newest history that is known."""

from collections.abc import Callable
import dataclasses

# Python does not convert numbers of thousands of digits.
_MAX_DIGITS = 30


@dataclasses.dataclass(frozen=True, order=True)
class Position:
    """A place in the store's history.

    A store that comes back from an older copy begins a new era and gives its
    revisions out again. So revisions are compared only within an era, and every
    place of a later era comes after those of earlier ones.
    """

    era: int
    """Number of the history; 0 if the store does not number them."""

    revision: int
    """Revision of the store within the era."""

    def __str__(self) -> str:
        return f"{self.era}.{self.revision}"

    @classmethod
    def parse(cls, text: str) -> "Position":
        """Parses the form that `str` gives.

        Raises:
            ValueError: The text has another form.
        """
        era, _, revision = text.partition(".")
        for part in (era, revision):
            if not (part.isascii() and part.isdecimal()):
                raise ValueError(f"position {text!r}: expected ERA.REVISION")
            if len(part) > _MAX_DIGITS:
                raise ValueError(f"position: number of {len(part)} digits")
        return cls(int(era), int(revision))


class LatestEra:
    """The latest era that the store or another host has shown."""

    def __init__(self) -> None:
        """Initializes the tracker; no era is known yet."""
        self._value = 0
        self.on_rise: Callable[[int], None] | None = None

    @property
    def value(self) -> int:
        """The latest era; 0 before the first one is known."""
        return self._value

    def note(self, era: int) -> None:
        """Records an era that was seen.

        Calls `on_rise` with the era if it is later than those seen before, also
        with the first one: copies of other hosts may be of an earlier era.
        """
        if era <= self._value:
            return
        self._value = era
        if self.on_rise is not None:
            self.on_rise(era)
