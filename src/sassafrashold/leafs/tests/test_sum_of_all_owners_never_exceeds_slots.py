"""Guards against two owners that together use more slots than a leaf has."""

import dataclasses
import datetime

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from sassafrashold import leafs

HOSTS = ("a", "b", "c")
LEAF = "leaf-1"
LONGEST = datetime.timedelta(seconds=2.5)


def _seconds(value):
    return datetime.timedelta(seconds=value)


@dataclasses.dataclass(frozen=True)
class _Snapshot:
    """What a control may know: true at `at`, possibly told much later."""

    at: datetime.timedelta
    epoch: int
    members: tuple[str, ...]
    earlier: tuple[leafs.EarlierOwners, ...]


class Handover(stateful.RuleBasedStateMachine):
    """Owners that poll late, pause anywhere and keep calls to the longest."""

    @stateful.initialize(slots=st.integers(1, 4))
    def begin(self, slots):
        self.slots = slots
        self.now = _seconds(1000)
        self.known = {host: leafs.Entitlement(host) for host in HOSTS}
        self.calls: dict[str, list[datetime.timedelta]] = {
            host: [] for host in HOSTS
        }
        self.epoch = 1
        self.members: tuple[str, ...] = ("a",)
        self.earlier: tuple[leafs.EarlierOwners, ...] = ()
        self.history: list[_Snapshot] = []
        self._remember()

    def _remember(self):
        self.earlier = tuple(
            dataclasses.replace(
                owners,
                unreleased=frozenset(
                    host
                    for host in owners.unreleased
                    if not self._released(host)
                ),
            )
            for owners in self.earlier
        )
        self.earlier = tuple(o for o in self.earlier if o.unreleased)
        self.history.append(
            _Snapshot(self.now, self.epoch, self.members, self.earlier)
        )

    def _released(self, host):
        known = self.known[host]
        return known.epoch == self.epoch and (
            known.owns(LEAF) or not self.calls[host]
        )

    @stateful.rule(ms=st.sampled_from([1, 100, 499, 1000, 2500, 2999, 3001]))
    def wait(self, ms):
        self.now += datetime.timedelta(milliseconds=ms)
        for host, ends in self.calls.items():
            self.calls[host] = [end for end in ends if end > self.now]
        self._remember()

    @stateful.rule(owner=st.sampled_from(HOSTS))
    def commit(self, owner):
        """Moves the leaf to `owner`, here the only member."""
        self._remember()
        self.earlier = (
            leafs.EarlierOwners(
                self.epoch, self.members, frozenset(self.members)
            ),
            *self.earlier,
        )
        self.epoch += 1
        self.members = (owner,)
        self._remember()

    @stateful.rule(
        host=st.sampled_from(HOSTS),
        back=st.sampled_from([1, 1, 1, 2, 3, 5]),
        evidence=st.booleans(),
    )
    def report(self, host, back, evidence):
        self._remember()
        told = self.history[-min(back, len(self.history))]
        self.known[host] = self.known[host].with_report(
            leafs.Report(
                told.epoch,
                told.members,
                host in told.members,
                told.at if evidence else None,
                told.earlier,
            ),
            self.now,
        )

    @stateful.rule(host=st.sampled_from(HOSTS), ends_early=st.booleans())
    def use_all(self, host, ends_early):
        grant = self.known[host].grant(LEAF, self.slots, self.now)
        hypothesis.event(grant.basis.value)
        if ends_early:
            self.calls[host] = []
        while len(self.calls[host]) < grant.slots:
            self.calls[host].append(self.now + LONGEST)

    @stateful.rule(
        running=st.sets(st.sampled_from(HOSTS), min_size=1),
        seconds=st.sampled_from([1, 3, 6]),
    )
    def serve(self, running, seconds):
        """Some hosts work as usual, the others are paused and then go on."""
        for _ in range(2 * seconds):
            self.wait(500)
            for host in sorted(running):
                self.report(host, 1, True)
                self.use_all(host, False)
                self.within_slots()
        for host in HOSTS:
            self.use_all(host, False)

    @stateful.invariant()
    def within_slots(self):
        if hasattr(self, "slots"):
            in_use = sum(len(calls) for calls in self.calls.values())
            assert in_use <= self.slots, self.calls


TestHandover = Handover.TestCase
TestHandover.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=25, deadline=None
)
