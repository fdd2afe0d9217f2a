"""Guards against copies that never become what the store holds.

A model of the store returns from copies of any age, drops its history and
answers lists and watches; hosts poll it and each other, and answers are lost or
arrive late and in another order.
"""

import dataclasses
from typing import Any

import hypothesis
from hypothesis import strategies

from sassafrashold import relay

_READERS = 2
_HOSTS = 4
_NAMES = ("a", "b")
_CONTENTS = 2


@dataclasses.dataclass(frozen=True)
class _Change:
    revision: int
    document: relay.Document


@dataclasses.dataclass(frozen=True)
class _StoreCopy:
    revision: int
    oldest: int
    content_by_name: dict[str, int]
    changes: tuple[_Change, ...]


class _HistoryGoneError(Exception):
    """The store answered with status 410."""


class _Store:
    """One kind of objects with the store's lists, watches and returns."""

    def __init__(self) -> None:
        self.era = 1
        self._now = _StoreCopy(1, 1, {}, ())
        # Every state of the present history, oldest first.
        self._past = [self._now]
        # Lost with the latest return, oldest first.
        self._lost: list[_Change] = []
        # What it held at each place of all its histories.
        self.contents_by_position = {self.position: self.content_by_name}

    @property
    def content_by_name(self) -> dict[str, int]:
        return self._now.content_by_name

    @property
    def position(self) -> relay.Position:
        return relay.Position(self.era, self._now.revision)

    def write(self, name: str, content: int | None) -> None:
        """Writes an object, or removes it if there is no content."""
        contents = dict(self._now.content_by_name)
        if contents.get(name) == content:
            return
        if content is None:
            del contents[name]
        else:
            contents[name] = content
        revision = self._now.revision + 1
        change = _Change(
            revision, relay.Document(name, content, content is None)
        )
        self._advance(
            _StoreCopy(
                revision,
                self._now.oldest,
                contents,
                (*self._now.changes, change),
            )
        )

    def count_up(self) -> None:
        """Changes an object of another kind."""
        self._advance(
            dataclasses.replace(self._now, revision=self._now.revision + 1)
        )

    def drop_history(self) -> None:
        revision = self._now.revision + 1
        self._advance(
            _StoreCopy(revision, revision, self._now.content_by_name, ())
        )

    def restore(self, age: int) -> None:
        """Returns from a copy that is `age` changes old."""
        newest = self._now
        del self._past[max(len(self._past) - age, 1) :]
        self._now = self._past[-1]
        self._lost = [
            change
            for change in newest.changes
            if change.revision > self._now.revision
        ]
        self.era += 1
        self.contents_by_position[self.position] = self.content_by_name

    def write_again(self) -> None:
        """Writes the oldest change that was lost, as operators and leafs do."""
        if self._lost:
            document = self._lost.pop(0).document
            self.write(document.name, document.content)

    def list(self) -> relay.Batch:
        return relay.Batch(
            tuple(
                relay.Document(name, content)
                for name, content in self._now.content_by_name.items()
            ),
            self.position,
            is_snapshot=True,
        )

    def watch(self, revision: int) -> relay.Batch:
        if not self._now.oldest <= revision <= self._now.revision:
            raise _HistoryGoneError
        return relay.Batch(
            tuple(
                change.document
                for change in self._now.changes
                if change.revision > revision
            ),
            self.position,
            since=relay.Position(self.era, revision),
        )

    def _advance(self, state: _StoreCopy) -> None:
        self._now = state
        self._past.append(state)
        self.contents_by_position[self.position] = self.content_by_name


@dataclasses.dataclass(frozen=True)
class _Answer:
    """An answer on its way to a host."""

    batch: relay.Batch | None
    """None if the store has dropped its history."""

    store_era: int | None
    """The store's era when it answered; None for the answer of a host."""


class _Host:
    """Follows the store as the product's follower of a topic does."""

    def __init__(self) -> None:
        self.mirror = relay.Mirror()
        self.answers: list[_Answer] = []
        self._eras = relay.LatestEra()
        self._needs_snapshot = False

    @property
    def content_by_name(self) -> dict[str, Any]:
        return {d.name: d.content for d in self.mirror.documents}

    def ask_store(self, store: _Store) -> None:
        position = self.mirror.position
        batch: relay.Batch | None = None
        if (
            position is None
            or self._needs_snapshot
            or position.era < self._eras.value
        ):
            batch = store.list()
        else:
            try:
                batch = store.watch(position.revision)
            except _HistoryGoneError:
                batch = None
        self.answers.append(_Answer(batch, store.era))

    def read_store(self, store: _Store) -> None:
        """Asks the store until the copy is current."""
        # The first answer may be a 410 or show a later era.
        for _ in range(2):
            self.ask_store(store)
            self.receive(-1)

    def ask_host(self, source: "_Host") -> None:
        batch = source.mirror.changes_since(self.mirror.position)
        if batch is not None:
            self.answers.append(_Answer(batch, None))

    def receive(self, number: int) -> None:
        """Applies one of the answers that are on their way, if any are."""
        if not self.answers:
            return
        answer = self.answers.pop(number % len(self.answers))
        if answer.store_era is not None:
            if answer.store_era < self._eras.value:
                return
            self._eras.note(answer.store_era)
        if answer.batch is None:
            self._needs_snapshot = True
            return
        if answer.store_era is not None and answer.batch.is_snapshot:
            self._needs_snapshot = False
        self.mirror.apply(answer.batch)


@dataclasses.dataclass(frozen=True)
class _Write:
    name: str
    content: int | None


@dataclasses.dataclass(frozen=True)
class _WriteAgain:
    pass


@dataclasses.dataclass(frozen=True)
class _CountUp:
    pass


@dataclasses.dataclass(frozen=True)
class _DropHistory:
    pass


@dataclasses.dataclass(frozen=True)
class _Return:
    age: int


@dataclasses.dataclass(frozen=True)
class _ReadStore:
    """Asks the store until the copy is current."""

    host: int


@dataclasses.dataclass(frozen=True)
class _AskStore:
    """Asks the store once; the answer is on its way."""

    host: int


@dataclasses.dataclass(frozen=True)
class _AskHost:
    """Asks a host once; the answer may be on its way for longer."""

    host: int
    source: int
    arrives: bool


@dataclasses.dataclass(frozen=True)
class _Receive:
    host: int
    number: int


@dataclasses.dataclass(frozen=True)
class _LoseAnswers:
    host: int


@dataclasses.dataclass(frozen=True)
class _StartAnew:
    host: int


_host_numbers = strategies.integers(0, _HOSTS - 1)
_write = strategies.builds(
    _Write,
    strategies.sampled_from(_NAMES),
    strategies.none() | strategies.integers(1, _CONTENTS),
)
_write_again = strategies.builds(_WriteAgain)
_read_store = strategies.builds(_ReadStore, _host_numbers)
_ask_host = strategies.builds(
    _AskHost, _host_numbers, _host_numbers, strategies.booleans()
)
# Repeated where series without enough of them show little.
_steps = strategies.one_of(
    *[_write] * 2,
    *[_write_again] * 2,
    *[_read_store] * 3,
    *[_ask_host] * 3,
    strategies.builds(_CountUp),
    strategies.builds(_DropHistory),
    strategies.builds(_Return, strategies.integers(0, 6)),
    strategies.builds(_AskStore, _host_numbers),
    strategies.builds(_Receive, _host_numbers, strategies.integers(0, 3)),
    strategies.builds(_LoseAnswers, _host_numbers),
    strategies.builds(_StartAnew, _host_numbers),
)


def _run(step: object, store: _Store, hosts: list[_Host]) -> None:
    match step:
        case _Write(name, content):
            store.write(name, content)
        case _WriteAgain():
            store.write_again()
        case _CountUp():
            store.count_up()
        case _DropHistory():
            store.drop_history()
        case _Return(age):
            store.restore(age)
        case _ReadStore(host):
            hosts[host].read_store(store)
        case _AskStore(host):
            hosts[host].ask_store(store)
        case _AskHost(host, source, arrives):
            known = len(hosts[host].answers)
            hosts[host].ask_host(hosts[source])
            if arrives and len(hosts[host].answers) > known:
                hosts[host].receive(-1)
        case _Receive(host, number):
            hosts[host].receive(number)
        case _LoseAnswers(host):
            hosts[host].answers.clear()
        case _StartAnew(host):
            hosts[host] = _Host()


def _settle(store: _Store, hosts: list[_Host]) -> None:
    """Lets the readers read the store, and the others follow in a chain."""
    for number, host in enumerate(hosts):
        host.answers.clear()
        if number < _READERS:
            host.read_store(store)
        else:
            host.ask_host(hosts[number - _READERS])
            host.receive(0)


def _assert_copies_are_of_their_positions(
    store: _Store, hosts: list[_Host]
) -> None:
    for host in hosts:
        position = host.mirror.position
        if position is not None:
            expected = store.contents_by_position[position]
            assert host.content_by_name == expected, str(position)


_HISTORY_IS_DROPPED = (
    _ReadStore(0),
    _Write("a", 1),
    _DropHistory(),
    _ReadStore(2),
    _Write("a", None),
    _ReadStore(0),
    _AskHost(2, 0, arrives=True),
)
_WRITTEN_AGAIN_AFTER_A_RETURN = (
    _Write("a", 1),
    _ReadStore(0),
    _Return(1),
    _ReadStore(2),
    _WriteAgain(),
    # The first answer shows the new era.
    _ReadStore(0),
    _AskHost(2, 0, arrives=True),
)
_TWO_HOSTS_ANSWER_AFTER_A_RETURN = (
    _Write("a", 1),
    _ReadStore(0),
    _ReadStore(1),
    _AskHost(2, 0, arrives=True),
    _Return(1),
    _ReadStore(0),
    _WriteAgain(),
    _ReadStore(1),
    _AskHost(2, 0, arrives=False),
    _AskHost(2, 1, arrives=False),
    _Receive(2, 0),
    _Receive(2, 0),
)


@hypothesis.settings(max_examples=400, deadline=None)
@hypothesis.example(_HISTORY_IS_DROPPED)
@hypothesis.example(_WRITTEN_AGAIN_AFTER_A_RETURN)
@hypothesis.example(_TWO_HOSTS_ANSWER_AFTER_A_RETURN)
@hypothesis.given(strategies.lists(_steps, min_size=30, max_size=60))
def test_every_host_has_what_the_store_has_after_quiet(steps):
    store = _Store()
    hosts = [_Host() for _ in range(_HOSTS)]
    for step in steps:
        _run(step, store, hosts)
        _assert_copies_are_of_their_positions(store, hosts)
    _settle(store, hosts)
    assert [host.content_by_name for host in hosts] == (
        [store.content_by_name] * _HOSTS
    )
    # A follower's revision stays behind if nothing of the topic has changed.
    eras = {host.mirror.position and host.mirror.position.era for host in hosts}
    assert eras == {store.era}
