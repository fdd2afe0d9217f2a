"""Checks that all owners of a leaf together never use more than its slots."""

import dataclasses
import datetime

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from sassafrashold import leafs

HOSTS = ("a", "b", "c")
LEAF = "leaf-1"
MAX_CALL_DURATION = datetime.timedelta(seconds=2.5)


def _seconds(value):
    return datetime.timedelta(seconds=value)


@dataclasses.dataclass(frozen=True)
class _Snapshot:
    """Lease state at time `at`, which a host may be told of much later."""

    at: datetime.timedelta
    epoch: int
    members: tuple[str, ...]
    earlier: tuple[leafs.EarlierOwners, ...]


class OwnershipMachine(stateful.RuleBasedStateMachine):
    """Hosts that poll late, pause at any time and make calls of full length."""

    @stateful.initialize(slots=st.integers(1, 4))
    def set_up(self, slots):
        self.slots = slots
        self.now = _seconds(1000)
        self.entitlements = {host: leafs.Entitlement(host) for host in HOSTS}
        self.calls: dict[str, list[datetime.timedelta]] = {
            host: [] for host in HOSTS
        }
        self.epoch = 1
        self.members: tuple[str, ...] = ("a",)
        self.earlier: tuple[leafs.EarlierOwners, ...] = ()
        self.history: list[_Snapshot] = []
        self._record_snapshot()

    def _record_snapshot(self):
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
        entitlement = self.entitlements[host]
        return entitlement.epoch == self.epoch and (
            entitlement.owns(LEAF) or not self.calls[host]
        )

    @stateful.rule(ms=st.sampled_from([1, 100, 499, 1000, 2500, 2999, 3001]))
    def advance_time(self, ms):
        self.now += datetime.timedelta(milliseconds=ms)
        for host, ends in self.calls.items():
            self.calls[host] = [end for end in ends if end > self.now]
        self._record_snapshot()

    @stateful.rule(owner=st.sampled_from(HOSTS))
    def commit(self, owner):
        """Commits an epoch with `owner` as the only member."""
        self._record_snapshot()
        self.earlier = (
            leafs.EarlierOwners(
                self.epoch, self.members, frozenset(self.members)
            ),
            *self.earlier,
        )
        self.epoch += 1
        self.members = (owner,)
        self._record_snapshot()

    @stateful.rule(
        host=st.sampled_from(HOSTS),
        snapshots_back=st.sampled_from([1, 1, 1, 2, 3, 5]),
        evidence=st.booleans(),
    )
    def report(self, host, snapshots_back, evidence):
        self._record_snapshot()
        snapshot = self.history[-min(snapshots_back, len(self.history))]
        self.entitlements[host] = self.entitlements[host].with_report(
            leafs.Report(
                snapshot.epoch,
                snapshot.members,
                host in snapshot.members,
                snapshot.at if evidence else None,
                snapshot.earlier,
            ),
            self.now,
        )

    @stateful.rule(host=st.sampled_from(HOSTS), ends_early=st.booleans())
    def use_all_slots(self, host, ends_early):
        grant = self.entitlements[host].grant(LEAF, self.slots, self.now)
        hypothesis.event(grant.basis.value)
        if ends_early:
            self.calls[host] = []
        while len(self.calls[host]) < grant.slots:
            self.calls[host].append(self.now + MAX_CALL_DURATION)

    @stateful.rule(
        running=st.sets(st.sampled_from(HOSTS), min_size=1),
        seconds=st.sampled_from([1, 3, 6]),
    )
    def run_some_hosts(self, running, seconds):
        """Lets some hosts poll and make calls; pauses the others meanwhile."""
        for _ in range(2 * seconds):
            self.advance_time(500)
            for host in sorted(running):
                self.report(host, 1, True)
                self.use_all_slots(host, False)
                self.calls_fit_into_slots()
        for host in HOSTS:
            self.use_all_slots(host, False)

    @stateful.invariant()
    def calls_fit_into_slots(self):
        if hasattr(self, "slots"):
            in_use = sum(len(calls) for calls in self.calls.values())
            assert in_use <= self.slots, self.calls


TestOwnership = OwnershipMachine.TestCase
TestOwnership.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=25, deadline=None
)
