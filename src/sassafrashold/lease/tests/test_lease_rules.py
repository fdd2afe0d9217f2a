import dataclasses
import datetime
import itertools

import pytest

from sassafrashold import clock
from sassafrashold import lease
from sassafrashold import membership
from sassafrashold import settings

_ADDRESS = settings.Address("127.0.1.1", 8003)
_ZONE = "luzon-a"
_L = lease.LEASE_TIME
_HOSTS = membership.rank(_ZONE, "abcd")
"""Host ids in the order in which they renew and propose."""
_FIRST = membership.rank(_ZONE, "abc")[0]


def _s(seconds):
    return datetime.timedelta(seconds=seconds)


def _member(host, incarnation="1"):
    return lease.Member(host, incarnation, _ADDRESS, _ADDRESS, _ADDRESS)


def _lease(hosts, epoch=5, earlier=()):
    members = tuple(_member(host) for host in sorted(hosts))
    return lease.ZoneLease(_ZONE, epoch, members, tuple(earlier), 0, "w")


class _Zone:
    """One host's lease state, with its picture of the others."""

    def __init__(self, own=_FIRST, start=100):
        self.start = start
        self.members = membership.Members(own, _ZONE)
        self.hosts = membership.PlatformHosts()
        ids = itertools.count()
        self.state = lease.LeaseState(
            self.members, self.hosts, _s(start), lambda: f"id{next(ids)}"
        )

    def hear(
        self,
        host,
        now,
        *,
        state=membership.State.SERVING,
        incarnation="1",
        promise=None,
        released=0,
        proven=True,
    ):
        entry = membership.Entry(
            membership.Description(
                host, _ZONE, incarnation, state, *([_ADDRESS] * 3)
            ),
            _s(now),
            _s(now) if proven else None,
            promise,
            released,
            _s(now),
        )
        if host == self.members.host:
            self.members.put_own(entry)
        else:
            self.members.merge([entry])

    def hear_all(self, hosts, now):
        for host in hosts:
            self.hear(host, now)

    def renewed(self, epoch, now):
        self.state.record_renewal(epoch, _s(now))
        self.state.store_reached(_s(now))

    def writes(self, hosts, start, end):
        """Yields the writes of a time in which all `hosts` are heard."""
        for tenth in range(int(start * 10), int(end * 10)):
            now = tenth / 10
            self.hear_all(hosts, now)
            self.state.promise(_s(now))
            write = self.state.next_write(_s(now))
            if write is not None:
                yield now, write

    def promised(self, now):
        """Returns the time of the promise that the host gives at `now`."""
        promise = self.state.promise(_s(now))
        return None if promise is None else promise.made_at

    def finish(self, write, outcome, now, version=0):
        self.state.finish(
            write, outcome, version=version, sent=_s(now), now=_s(now)
        )


def _proposing(zone, newcomer="d", start=104.0):
    """Returns when and what a zone of a, b, c proposes for a newcomer."""
    zone.state.learn(_lease("abc"), 7, _s(start))
    zone.renewed(5, start)
    for now, write in zone.writes("abc" + newcomer, start + 0.1, start + 20):
        if write.kind is lease.WriteKind.PROPOSE:
            return now, write
        zone.finish(write, lease.Outcome.APPLIED, now, zone.state.version + 1)
    return None


def test_it_proposes_only_after_it_promised_nothing_for_the_lease_time():
    zone = _Zone()
    zone.state.learn(_lease("abc"), 7, _s(104))
    zone.renewed(5, 104)
    promised = None
    for now, write in zone.writes("abcd", 104.1, 120):
        if write.kind is lease.WriteKind.PROPOSE:
            break
        zone.finish(write, lease.Outcome.APPLIED, now, zone.state.version + 1)
        promised = zone.promised(now)
    assert _s(now) - promised > _L
    assert [m.host for m in write.lease.members] == ["a", "b", "c", "d"]
    assert write.lease.epoch == 6
    assert [e.epoch for e in write.lease.earlier] == [5]


def test_a_new_process_proposes_nothing_within_the_lease_time_of_its_start():
    zone = _Zone(start=104)
    zone.state.learn(_lease("abc"), 7, _s(104))
    # A renewal from before the start, so this process itself never promises.
    zone.state.record_renewal(5, _s(103))
    for tenth in range(1041, 1100):
        now = tenth / 10
        zone.hear_all("abcd", now)
        zone.state.store_reached(_s(now))
        write = zone.state.next_write(_s(now))
        if write is not None and write.kind is lease.WriteKind.PROPOSE:
            break
        if write is not None:
            zone.finish(write, lease.Outcome.NOT_RUN, now)
    assert zone.promised(now) is None
    assert now - 104 > _L.total_seconds()


def test_changes_that_come_while_it_waits_are_in_one_proposal():
    zone = _Zone()
    zone.state.learn(_lease("abc"), 7, _s(104))
    zone.renewed(5, 104)
    for now, write in itertools.chain(
        zone.writes("abcd", 104.1, 106), zone.writes("abcdef", 106, 120)
    ):
        if write.kind is lease.WriteKind.PROPOSE:
            break
        zone.finish(write, lease.Outcome.APPLIED, now, zone.state.version + 1)
    assert [m.host for m in write.lease.members] == list("abcdef")


@pytest.mark.parametrize(
    ("outcome", "second"),
    [
        (lease.Outcome.UNKNOWN, lease.Outcome.CONFLICT),
        (lease.Outcome.UNKNOWN, lease.Outcome.NOT_RUN),
        (lease.Outcome.CONFLICT, lease.Outcome.UNKNOWN),
    ],
)
def test_no_promise_while_a_proposal_may_have_taken_effect(outcome, second):
    zone = _Zone()
    now, write = _proposing(zone)
    last = zone.state.promise(_s(now))
    assert zone.state.promise(_s(now)) == last
    zone.finish(write, outcome, now)
    # Not after a stale read either.
    zone.state.learn(_lease("abc"), write.expected_version, _s(now + 1))
    assert zone.state.promise(_s(now + 1)) == last
    # The same update is repeated, which settles its outcome.
    assert zone.state.next_write(_s(now + 1)) == write
    zone.finish(write, second, now + 1)
    assert zone.state.promise(_s(now + 1)) == last
    version = write.expected_version + 1
    zone.state.learn(_lease("abc"), version, _s(now + 2))
    # The host that was to be added has gone meanwhile.
    zone.hear("d", now + 2, state=membership.State.STARTING)
    zone.state.next_write(_s(now + 2))
    assert zone.promised(now + 2) == _s(now + 2)


def test_a_first_attempt_that_took_effect_gives_evidence_from_its_own_time():
    zone = _Zone()
    now, write = _proposing(zone)
    zone.finish(write, lease.Outcome.UNKNOWN, now)
    again = zone.state.next_write(_s(now + 60))
    zone.finish(again, lease.Outcome.APPLIED, now + 60, 99)
    assert zone.state.renewal_time() == _s(now)


@pytest.mark.parametrize(
    ("previous", "incarnation", "renewed", "promises"),
    [
        # A lease that was updated after the start.
        (None, "1", 100.5, True),
        (None, "1", 99.5, False),
        # The previous process promised within L before the start.
        (membership.Promise(5, _s(98)), "1", None, True),
        (membership.Promise(5, _s(96.9)), "1", None, False),
        (membership.Promise(4, _s(98)), "1", None, False),
        # The host may have been away: its owner is not the one in the epoch.
        (membership.Promise(5, _s(98)), "2", None, False),
    ],
)
def test_a_new_process_promises_only_if_its_predecessor_left_nothing_open(
    previous, incarnation, renewed, promises
):
    zone = _Zone(start=100)
    zone.hear(zone.members.host, 101, incarnation=incarnation)
    zone.state.learn(_lease("abc"), 7, _s(101))
    if renewed is not None:
        zone.state.record_renewal(5, _s(renewed))
    if previous is not None:
        zone.state.record_predecessor(previous)
    assert (zone.state.promise(_s(102)) is not None) == promises


@pytest.mark.parametrize(
    ("promises", "expected"),
    [
        ({"b": (5, 101), "c": (5, 99)}, 99),
        # All members count, and only promises for the epoch itself.
        ({"b": (5, 101)}, None),
        ({"b": (5, 101), "c": (4, 103)}, None),
    ],
)
def test_promises_prove_the_epoch_at_the_earliest_of_them(promises, expected):
    zone = _Zone(own="a", start=90)
    zone.hear("a", 104)
    zone.state.learn(_lease("abc"), 7, _s(95))
    zone.state.record_renewal(5, _s(95))
    for host, (epoch, made) in promises.items():
        promise = membership.Promise(epoch, _s(made))
        zone.hear(host, 104, promise=promise)
    proof = zone.state.evidence(_s(104))
    if expected is None:
        assert proof == lease.Proof(_s(95), "renewal")
    else:
        assert proof == lease.Proof(_s(expected), "promises")


@pytest.mark.parametrize(
    ("position", "age", "renews"),
    [
        (0, 0.9, False),
        (0, 1.0, True),
        (1, 1.5, False),
        (1, 1.6, True),
        (2, 2.5, False),
        (2, 2.6, True),
        (3, 2.6, False),
        (3, 2.7, True),
    ],
)
def test_few_members_renew(position, age, renews):
    zone = _Zone(own=_HOSTS[position])
    zone.hear_all("abcd", 110)
    zone.state.learn(_lease("abcd"), 7, _s(109))
    zone.state.record_renewal(5, _s(110 - age))
    assert (zone.state.next_write(_s(110)) is not None) == renews


def _unreleased(zone, now=200, hosts="bc"):
    """Earlier epochs with unreleased owners after `a` is told the lease."""
    earlier = [lease.EarlierEpoch(4, tuple(map(_member, hosts)))]
    zone.state.learn(_lease("ab", earlier=earlier), 7, _s(150))
    situation = zone.state.situation(_s(now))
    return [m.host for m in situation.unreleased(situation.lease.earlier[0])]


@pytest.mark.parametrize(
    ("heard", "unreleased"),
    [
        ({"released": 5}, []),
        ({"released": 4}, ["c"]),
        ({"incarnation": "2"}, []),
        # Word from before the epoch may be older than the epoch's own.
        ({"incarnation": "2", "now": 149}, ["c"]),
        ({"incarnation": "2", "proven": False}, ["c"]),
        ({"incarnation": ""}, ["c"]),
        ({"incarnation": "2", "released": 5, "proven": False}, ["c"]),
    ],
)
def test_an_earlier_owner_counts_until_it_is_certainly_gone(heard, unreleased):
    zone = _Zone(own="a")
    zone.hear("b", 160, released=5)
    zone.hear("c", **{"now": 160, **heard})
    assert _unreleased(zone) == unreleased


@pytest.mark.parametrize(
    ("absent_s", "heard_at", "unreleased"),
    [(60, 130, []), (59, 130, ["c"]), (60, 198, ["c"])],
)
def test_an_absent_host_is_released_unless_gossip_hears_it(
    absent_s, heard_at, unreleased
):
    zone = _Zone(own="a")
    zone.hear("b", 160, released=5)
    zone.hear("c", heard_at)
    for second, named in ((0, {"c": False}), (absent_s, {})):
        zone.hosts.update(
            clock.from_unix_ms(second * 1000), named, _s(120 + second)
        )
    assert _unreleased(zone) == unreleased


def test_a_renewal_prunes_released_epochs():
    zone = _Zone()
    epochs = [
        lease.EarlierEpoch(4, (_member("b"),)),
        lease.EarlierEpoch(3, (_member("c"),)),
    ]
    zone.hear_all("abc", 150)
    zone.hear("b", 151, released=5)
    zone.state.learn(_lease("abc", earlier=epochs), 7, _s(150))
    write = zone.state.next_write(_s(152))
    assert write is not None
    assert [e.epoch for e in write.lease.earlier] == [3]


def test_beyond_eight_earlier_epochs_it_only_renews():
    earlier = [
        lease.EarlierEpoch(i, (_member("x", "0"),)) for i in range(50, 42, -1)
    ]
    zone = _Zone()
    zone.state.learn(_lease("abc", 51, earlier), 7, _s(104))
    zone.renewed(51, 104)
    kinds = set()
    for now, write in zone.writes("abcd", 104.1, 120):
        kinds.add(write.kind)
        zone.finish(write, lease.Outcome.APPLIED, now, zone.state.version + 1)
    assert kinds == {lease.WriteKind.RENEW}


@pytest.mark.parametrize(
    ("listed", "read", "proposes"),
    [
        ("d", 112, True),
        # The list names a member, or does not even name this host.
        ("ad", 112, False),
        ("", 112, False),
        # A list from before the version was known, or from a peer.
        ("d", 104, False),
        ("d", None, False),
    ],
)
def test_a_host_outside_the_epoch_takes_over_only_from_hosts_that_are_gone(
    listed, read, proposes
):
    zone = _Zone(own="d")
    zone.state.learn(_lease("abc"), 7, _s(104))
    zone.hosts.update(
        clock.from_unix_ms(0),
        dict.fromkeys(listed, False),
        _s(112),
        None if read is None else _s(read),
    )
    found = []
    for tenth in range(1130, 1180):
        now = _s(tenth / 10)
        zone.state.store_reached(now)
        zone.hear("d", tenth / 10)
        write = zone.state.next_write(now)
        if write is not None:
            found.append([m.host for m in write.lease.members])
            break
    assert found == ([["d"]] if proposes else [])


def test_the_smaller_part_of_a_divided_zone_lets_the_larger_one_go_first():
    zone = _Zone(own=_HOSTS[0])
    zone.hear_all("abcd", 104)
    zone.state.learn(_lease("abcd"), 7, _s(104))
    zone.renewed(5, 104)
    times = []
    for now, write in zone.writes(_HOSTS[0], 104.1, 140):
        if write.kind is lease.WriteKind.PROPOSE:
            times.append(now)
            break
        zone.finish(write, lease.Outcome.APPLIED, now, zone.state.version + 1)
    assert times[0] >= 104 + 20


def test_without_the_store_it_keeps_its_promise():
    zone = _Zone()
    zone.state.learn(_lease("abc"), 7, _s(104))
    zone.renewed(5, 104)
    for now, write in zone.writes("abcd", 104.1, 120):
        assert write.kind is lease.WriteKind.RENEW
        zone.finish(write, lease.Outcome.NOT_RUN, now)
    assert zone.promised(120) == _s(120)


def test_a_newer_version_with_a_lower_epoch_is_refused():
    zone = _Zone()
    zone.state.learn(_lease("abc", 5), 7, _s(104))
    with pytest.raises(Exception, match="below the known epoch"):
        zone.state.learn(_lease("abc", 4), 8, _s(105))
    older = dataclasses.replace(_lease("abc", 6), renewal=1)
    assert not zone.state.learn(older, 6, _s(106))
