"""What a control knows about one host of its zone."""

import dataclasses
import datetime
import enum
import functools

import xxhash

from sassafrashold import settings

_INT32_SIGN = 1 << 31


class State(enum.Enum):
    """What a host says about itself."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Description:
    """The part of an entry that rarely changes."""

    host: str
    """Host id."""

    zone: str
    """Availability zone."""

    incarnation: str
    """Incarnation of its owner process; empty while that is unknown."""

    state: State
    """What the host says about itself."""

    control: settings.Address
    """Thrift address of its control process."""

    owner: settings.Address
    """Thrift address of its owner process."""

    entry: settings.Address
    """Thrift address of its entry process."""

    @functools.cached_property
    def digest(self) -> int:
        """Signed 32-bit hash that stands for the description in gossip."""
        text = "\0".join(
            (
                self.host,
                self.zone,
                self.incarnation,
                self.state.value,
                str(self.control),
                str(self.owner),
                str(self.entry),
            )
        )
        unsigned = xxhash.xxh32_intdigest(text.encode())
        return unsigned - 2 * (unsigned & _INT32_SIGN)


@dataclasses.dataclass(frozen=True, order=True)
class Promise:
    """A host proposes no epoch after `epoch` until L after `made`."""

    epoch: int
    """Epoch for which the promise holds."""

    made: datetime.timedelta
    """Local monotonic time that is not after the promise."""


@dataclasses.dataclass(frozen=True)
class Report:
    """A host's line in a gossip message, with ages instead of times."""

    description: Description
    """What the host says about itself."""

    freshness_age: datetime.timedelta
    """Time since the host certainly gave this description."""

    promise_age: datetime.timedelta | None
    """Time since its last known promise."""

    promise_epoch: int
    """Epoch of the promise."""

    released_epoch: int
    """Newest epoch that its owner has adopted without work elsewhere."""


@dataclasses.dataclass(frozen=True)
class Entry:
    """A host as known to this control; all times are local and monotonic."""

    description: Description
    """What the host says about itself."""

    heard: datetime.timedelta
    """About when the host was last heard; a hint that is not passed on."""

    proven: datetime.timedelta | None
    """A time at which, or after which, the host gave this description."""

    promise: Promise | None
    """Its newest known promise."""

    released_epoch: int
    """Newest epoch that its owner has adopted without work elsewhere."""

    since: datetime.timedelta
    """When this control first saw the description."""

    @classmethod
    def from_answer(
        cls,
        report: Report,
        asked: datetime.timedelta,
        received: datetime.timedelta,
    ) -> "Entry":
        """Converts a line of an answer.

        The peer took the ages after `asked`, so `asked - age` is never after
        the event, whatever the delay of the answer.

        Args:
            report: The line.
            asked: When the request was sent.
            received: When the answer arrived.
        """
        heard = asked - report.freshness_age
        promise = None
        if report.promise_age is not None:
            promise = Promise(report.promise_epoch, asked - report.promise_age)
        return cls(
            report.description,
            heard,
            heard,
            promise,
            report.released_epoch,
            received,
        )

    @classmethod
    def from_request(
        cls, report: Report, received: datetime.timedelta
    ) -> "Entry":
        """Converts what the sender of a request says about itself.

        Nothing bounds how long a request was under way, so `received - age`
        may be after the event. The entry is only a hint about liveness and
        description and is never passed on, because each hop would add its
        delay. Promises and renewals in requests are not used at all; they
        count only in the direction of answers.

        Args:
            report: The sender's own line.
            received: When the request arrived.
        """
        return cls(
            report.description,
            received,
            None,
            None,
            report.released_epoch,
            received,
        )


def adds_nothing(known: Entry, other: Entry) -> bool:
    """Returns whether merging `other` would leave `known` as it is.

    Most of what gossip brings is already known, and this is cheaper to find
    out than to merge.
    """
    return (
        other.description is known.description
        and other.heard <= known.heard
        and known.proven is not None
        and (other.proven is None or other.proven <= known.proven)
        and other.released_epoch <= known.released_epoch
        and other.since >= known.since
        and (
            other.promise is None
            or (known.promise is not None and other.promise <= known.promise)
        )
    )


def merge(one: Entry, other: Entry) -> Entry:
    """Returns what two entries of one host say together.

    The description heard last wins. The result does not depend on the order
    in which entries are merged, as long as times do not tie.
    """
    newer, older = (one, other) if _rank(one) >= _rank(other) else (other, one)
    same = newer.description == older.description
    same_owner = newer.description.incarnation == older.description.incarnation
    return Entry(
        newer.description,
        newer.heard,
        _latest(newer.proven, older.proven) if same else newer.proven,
        _newest(newer.promise, older.promise),
        (
            max(newer.released_epoch, older.released_epoch)
            if same_owner
            else newer.released_epoch
        ),
        min(newer.since, older.since) if same else newer.since,
    )


def _rank(entry: Entry) -> tuple[datetime.timedelta, bool, int]:
    return (
        entry.heard,
        entry.proven is not None,
        entry.description.digest,
    )


def _latest(
    one: datetime.timedelta | None, other: datetime.timedelta | None
) -> datetime.timedelta | None:
    # A zero duration is false, so `one or other` would lose it.
    if one is None:
        return other
    return one if other is None else max(one, other)


def _newest(one: Promise | None, other: Promise | None) -> Promise | None:
    if one is None or other is None:
        return one or other
    return max(one, other)
