"""Gossip entries: what a control process knows about a host of its zone."""

import dataclasses
import datetime
import enum
import functools

import xxhash

from sassafrashold import settings

_INT32_SIGN = 1 << 31


class State(enum.Enum):
    """Lifecycle state that a host reports about itself."""

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
    """Incarnation of its owner process; empty while unknown."""

    state: State
    """State that the host reports."""

    control: settings.Address
    """Thrift address of its control process."""

    owner: settings.Address
    """Thrift address of its owner process."""

    entry: settings.Address
    """Thrift address of its entry process."""

    @functools.cached_property
    def digest(self) -> int:
        """Signed 32-bit hash that identifies the description in gossip."""
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
    """A host's promise to propose no later epoch for one lease time.

    It proposes no epoch after `epoch` until the lease time L has passed since
    `made_at`.
    """

    epoch: int
    """Epoch for which the promise holds."""

    made_at: datetime.timedelta
    """Local monotonic time at or before which the promise was made."""


@dataclasses.dataclass(frozen=True)
class Report:
    """The record of one host in a gossip message.

    It has ages instead of times, because monotonic clocks of hosts differ.
    """

    description: Description
    """Description of the host."""

    freshness_age: datetime.timedelta
    """Upper bound on the time since the host last gave this description."""

    promise_age: datetime.timedelta | None
    """Time since its newest known promise; None without a promise."""

    promise_epoch: int
    """Epoch of the promise."""

    released_epoch: int
    """Newest epoch for which its owner has released the leafs of others.

    The owner has adopted the epoch and has no calls in flight on these leafs.
    """


@dataclasses.dataclass(frozen=True)
class Entry:
    """A host as known to this control; times are local and monotonic."""

    description: Description
    """Description of the host."""

    last_heard: datetime.timedelta
    """Approximate time of the last sign of life; not forwarded to peers."""

    confirmed_at: datetime.timedelta | None
    """Lower bound of the time at which the host last gave this description.

    None if known only from a request, whose delay is unbounded.
    """

    promise: Promise | None
    """Newest known promise of the host."""

    released_epoch: int
    """Newest epoch for which its owner has released the leafs of others.

    The owner has adopted the epoch and has no calls in flight on these leafs.
    """

    first_seen: datetime.timedelta
    """When this control first saw the description."""

    @classmethod
    def from_answer(
        cls,
        report: Report,
        asked: datetime.timedelta,
        received: datetime.timedelta,
    ) -> "Entry":
        """Converts a record of an answer.

        The peer computed the ages after `asked`, so `asked - age` is never
        later than the event, however much the answer is delayed.

        Args:
            report: The record of a host.
            asked: Time at which the request was sent.
            received: Time at which the answer arrived.
        """
        last_heard = asked - report.freshness_age
        promise = None
        if report.promise_age is not None:
            promise = Promise(report.promise_epoch, asked - report.promise_age)
        return cls(
            report.description,
            last_heard,
            last_heard,
            promise,
            report.released_epoch,
            received,
        )

    @classmethod
    def from_request(
        cls, report: Report, received: datetime.timedelta
    ) -> "Entry":
        """Converts the record of the sender in a request.

        The transit time of a request is unbounded, so `received - age` may be
        later than the event. The entry is only a hint about liveness and
        description and is never forwarded, because each hop would add its
        delay. Promises and renewals in requests are ignored; only those in
        answers count.

        Args:
            report: The sender's own record.
            received: Time at which the request arrived.
        """
        return cls(
            report.description,
            received,
            None,
            None,
            report.released_epoch,
            received,
        )


def is_merge_noop(known: Entry, other: Entry) -> bool:
    """Returns whether merging `other` would leave `known` unchanged.

    Most entries received by gossip are already known, and this check is cheaper
    than a merge.
    """
    return (
        other.description is known.description
        and other.last_heard <= known.last_heard
        and known.confirmed_at is not None
        and (
            other.confirmed_at is None
            or other.confirmed_at <= known.confirmed_at
        )
        and other.released_epoch <= known.released_epoch
        and other.first_seen >= known.first_seen
        and (
            other.promise is None
            or (known.promise is not None and other.promise <= known.promise)
        )
    )


def merge(one: Entry, other: Entry) -> Entry:
    """Merges two entries of one host.

    The description with the latest sign of life wins. The result does not
    depend on the order of the merges, as long as no two times are equal.
    """
    newer, older = (one, other) if _rank(one) >= _rank(other) else (other, one)
    same_description = newer.description == older.description
    same_incarnation = (
        newer.description.incarnation == older.description.incarnation
    )
    return Entry(
        newer.description,
        newer.last_heard,
        (
            _latest(newer.confirmed_at, older.confirmed_at)
            if same_description
            else newer.confirmed_at
        ),
        _newest(newer.promise, older.promise),
        (
            max(newer.released_epoch, older.released_epoch)
            if same_incarnation
            else newer.released_epoch
        ),
        min(newer.first_seen, older.first_seen)
        if same_description
        else newer.first_seen,
    )


def _rank(entry: Entry) -> tuple[datetime.timedelta, bool, int]:
    return (
        entry.last_heard,
        entry.confirmed_at is not None,
        entry.description.digest,
    )


def _latest(
    one: datetime.timedelta | None, other: datetime.timedelta | None
) -> datetime.timedelta | None:
    # A zero timedelta is falsy, so `one or other` would drop it.
    if one is None:
        return other
    return one if other is None else max(one, other)


def _newest(one: Promise | None, other: Promise | None) -> Promise | None:
    if one is None or other is None:
        return one or other
    return max(one, other)
