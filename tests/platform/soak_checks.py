"""Invariants of the soak test on configurations, leavings and zones.

They hold for hosts in touch as RULES.md defines it. What a rule excuses is in
one function or condition that names the rule.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import datetime

from sassafrashold.standins import records_leaf

STORE = "store"
_STABLE_WINDOW_S = 4.0
_CONFIG_APPLY_S = 3.0
_DOWNGRADE_SLACK_S = 0.25
_DRAIN_S = 3.0
_EVACUATION_S = 5.0


class Disruptions:
    """What is disrupted, and what was lately."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Initializes without disruptions.

        Args:
            clock: Returns monotonic seconds.
        """
        self._clock = clock
        self._count_by_target: collections.Counter[str] = collections.Counter()
        self._end_by_target: dict[str, float] = {}

    @contextlib.contextmanager
    def disrupting(self, target: str) -> Iterator[None]:
        """Counts a store, host or leaf as disrupted in the block."""
        self._count_by_target[target] += 1
        try:
            yield
        finally:
            self._count_by_target[target] -= 1
            self._end_by_target[target] = self._clock()

    def is_calm(self, target: str) -> bool:
        """Returns whether there was no disruption in the stable window."""
        end = self._end_by_target.get(target, float("-inf"))
        return (
            not self._count_by_target[target]
            and self._clock() - end >= _STABLE_WINDOW_S
        )

    def is_in_touch(self, host: str) -> bool:
        """Returns whether a host is in touch (rule In touch, 1 to 3)."""
        return self.is_calm(host) and self.is_calm(STORE)


@dataclasses.dataclass(frozen=True)
class _Version:
    """A version of the configuration that was sent to the store."""

    number: int
    paths: frozenset[str]
    acknowledgement_s: float | None


@dataclasses.dataclass(frozen=True)
class _Probe:
    """A request on a path that only some versions serve."""

    host: str
    path: str
    incarnation: int
    due_version: int
    served_version: int


@dataclasses.dataclass(frozen=True)
class _Leaving:
    """An acknowledged leaving of a leaf."""

    acknowledgement_s: float
    was_stable: bool


class _ObservedRuns(list[records_leaf.Run]):
    """Runs of a leaf that are reported when they begin."""

    def __init__(self, observe: Callable[[records_leaf.Run], None]) -> None:
        super().__init__()
        self._observe = observe

    def append(self, run: records_leaf.Run) -> None:
        super().append(run)
        self._observe(run)


class Checks:
    """Compares what hosts do with what the store has acknowledged."""

    def __init__(
        self,
        clock: Callable[[], float],
        disruptions: Disruptions,
        leafs: list[records_leaf.RecordsLeaf],
    ) -> None:
        """Initializes the checks and begins to observe the leafs.

        Args:
            clock: Returns monotonic seconds.
            disruptions: What is disrupted.
            leafs: All leafs.
        """
        self.violations: list[str] = []
        self.events: list[str] = []
        self._clock = clock
        self._disruptions = disruptions
        self._leaf_by_id = {leaf.leaf_id: leaf for leaf in leafs}
        self._version_by_number: dict[int, _Version] = {}
        self._host_by_request: dict[str, str] = {}
        self._probe_by_request: dict[str, _Probe] = {}
        self._incarnation_by_host: collections.Counter[str] = (
            collections.Counter()
        )
        self._served_by_host: collections.defaultdict[
            str, list[tuple[float, int]]
        ] = collections.defaultdict(list)
        self._leaving_by_leaf: dict[str, _Leaving] = {}
        self._evacuated_s_by_zone: dict[str, float] = {}
        for leaf in leafs:
            leaf.runs = _ObservedRuns(self._check_run)

    def note(self, event: str) -> None:
        """Notes an event under the time that logs of hosts show."""
        now = datetime.datetime.now(datetime.UTC)
        self.events.append(f"{now:%H:%M:%S.%f} {event}")

    def note_version_sent(self, number: int, paths: frozenset[str]) -> None:
        """Notes the paths that a version serves, before it is written."""
        self._version_by_number[number] = _Version(number, paths, None)

    def note_version_acknowledged(self, number: int) -> None:
        """Notes that the store holds a version."""
        known = self._version_by_number[number]
        self.note(f"version {number} written: {sorted(known.paths)}")
        if known.acknowledgement_s is None:
            self._version_by_number[number] = dataclasses.replace(
                known, acknowledgement_s=self._clock()
            )

    def note_leaving(self, leaf_id: str) -> None:
        """Notes that the store holds a leaf as draining or gone."""
        self.note(f"{leaf_id} leaves")
        known = self._leaving_by_leaf.get(leaf_id)
        # DRAIN: the acknowledgement is one given while the store is stable.
        if known is None or not known.was_stable:
            self._leaving_by_leaf[leaf_id] = _Leaving(
                self._clock(), self._disruptions.is_calm(STORE)
            )

    def note_readiness(self, leaf_id: str) -> None:
        """Notes that a leaf is about to report that it is ready."""
        self.note(f"{leaf_id} is ready")
        self._leaving_by_leaf.pop(leaf_id, None)

    def note_evacuation(self, zone: str) -> None:
        """Notes that the store holds a zone as out of service."""
        self.note(f"{zone} out of service")
        self._evacuated_s_by_zone.setdefault(zone, self._clock())

    def note_evacuation_end(self, zone: str) -> None:
        """Notes that an evacuation is about to be taken back."""
        self.note(f"{zone} in service")
        self._evacuated_s_by_zone.pop(zone, None)

    def note_start(self, host: str) -> None:
        """Notes that a host starts again."""
        self.note(f"{host} starts")
        self._incarnation_by_host[host] += 1
        self._served_by_host.pop(host, None)

    def note_request(self, request_id: str, host: str) -> None:
        """Notes which host a caller sends a request to."""
        self._host_by_request[request_id] = host

    def note_probe(self, request_id: str, host: str, path: str) -> None:
        """Notes a request, before it is sent, on a path of some versions."""
        self.note_request(request_id, host)
        now = self._clock()
        due = 0
        if self._disruptions.is_in_touch(host):
            due = max(
                (
                    version.number
                    for version in self._version_by_number.values()
                    if version.acknowledgement_s is not None
                    and now - version.acknowledgement_s > _CONFIG_APPLY_S
                ),
                default=0,
            )
        served = max(
            (
                number
                for time_s, number in self._served_by_host[host]
                if now - time_s > _DOWNGRADE_SLACK_S
            ),
            default=0,
        )
        self._probe_by_request[request_id] = _Probe(
            host, path, self._incarnation_by_host[host], due, served
        )

    def _report(self, violation: str) -> None:
        self.note(violation)
        self.violations.append(violation)

    def check_refusal(self, request_id: str) -> None:
        """Checks a 404 to a probe against the versions in force."""
        self._check_probe(self._probe_by_request[request_id], request_id, False)

    def _check_probe(self, probe: _Probe, request_id: str, ran: bool) -> None:
        # In touch (1): the process ran all the while.
        if probe.incarnation != self._incarnation_by_host[probe.host]:
            return
        numbers = [
            version.number
            for version in self._version_by_number.values()
            if (probe.path in version.paths) == ran
        ]
        newest = max(numbers, default=0)
        outcome = "run" if ran else "refused with 404"
        if newest < probe.due_version:
            self._report(
                f"CONFIG: {request_id} {probe.path} {outcome} as only version "
                f"{newest} or older allows; {probe.due_version} is due"
            )
        if newest < probe.served_version:
            self._report(
                f"CONFIG (regress): {request_id} {probe.path} {outcome} as "
                f"only version {newest} or older allows; {probe.host} has "
                f"served {probe.served_version}"
            )
        if ran and numbers:
            self._served_by_host[probe.host].append(
                (self._clock(), min(numbers))
            )

    def _check_run(self, run: records_leaf.Run) -> None:
        probe = self._probe_by_request.get(run.request_id)
        if probe is not None:
            self._check_probe(probe, run.request_id, True)
        host = self._host_by_request.get(run.request_id)
        if (
            host is None
            or not self._disruptions.is_in_touch(host)
            or self._was_held_up(run.leaf_id)
        ):
            return
        now = self._clock()
        leaving = self._leaving_by_leaf.get(run.leaf_id)
        if leaving and now - leaving.acknowledgement_s > _DRAIN_S:
            self._report(
                f"DRAIN: {run.request_id} from {host} at {run.leaf_id} "
                f"{now - leaving.acknowledgement_s:.2f} s after its leaving"
            )
        zone = self._leaf_by_id[run.leaf_id].zone
        evacuated_s = self._evacuated_s_by_zone.get(zone)
        if evacuated_s is not None and now - evacuated_s > _EVACUATION_S:
            self._report(
                f"EVAC: {run.request_id} from {host} at {run.leaf_id} "
                f"{now - evacuated_s:.2f} s after its zone's evacuation"
            )

    def _was_held_up(self, leaf_id: str) -> bool:
        """Returns whether the link to a leaf was harmed (rule Held up)."""
        return not self._disruptions.is_calm(leaf_id)
