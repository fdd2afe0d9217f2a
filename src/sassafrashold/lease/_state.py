"""The rules of the zone lease at one host, without any I/O."""

from collections.abc import Callable
import dataclasses
import datetime

from sassafrashold import errors
from sassafrashold import membership
from sassafrashold.lease import _document
from sassafrashold.lease import _evidence
from sassafrashold.lease import _proposal
from sassafrashold.lease import _release
from sassafrashold.lease import _write

MAX_EARLIER = 8

RENEW_INTERVAL = datetime.timedelta(seconds=1)
# The second member renews when it has seen no renewal for 1 s, the others after
# 2 s. A renewal reaches them after one or two pulls of about 600 ms each, and
# its age includes that delay. Without it they would renew on every turn.
_SECOND_RENEWS_AFTER = datetime.timedelta(milliseconds=1600)
_OTHERS_RENEW_AFTER = datetime.timedelta(milliseconds=2600)
_RENEW_STAGGER = datetime.timedelta(milliseconds=100)
_RENEW_MAX_STAGGER_RANK = 5

# The member that proposes is the first of the zone's ranking. Each later one
# waits longer, by about the time that a proposal takes.
_PROPOSER_STAGGER = datetime.timedelta(seconds=4)
_PROPOSER_MAX_RANK = 3
_RETRY_DELAY = datetime.timedelta(milliseconds=500)
_PROPOSAL_BACKOFF = datetime.timedelta(seconds=5)
_STORE_REACHED_WITHIN = datetime.timedelta(milliseconds=2500)


class LeaseState:
    """What one host knows and has promised about its zone's lease.

    At most one write is in flight at a time: `next_write` returns none until
    `finish` was called for the previous one.
    """

    def __init__(
        self,
        members: membership.Members,
        hosts: membership.PlatformHosts,
        start: datetime.timedelta,
        new_write_id: Callable[[], str],
    ) -> None:
        """Initializes the state of a process that knows no lease.

        Args:
            members: The hosts of the zone, kept up to date by the caller.
            hosts: The platform's list, kept up to date by the caller.
            start: Monotonic time at which the process had bound its port, so
                that no previous process of the host was running any more.
            new_write_id: Returns a new unique id.
        """
        self._members = members
        self._hosts = hosts
        self._start = start
        self._new_write_id = new_write_id
        self._lease: _document.ZoneLease | None = None
        self._version = 0
        self._epoch_learned_at = start
        self._version_learned_at = start
        self._renewal_times = _evidence.ProofTimes()
        self._promise_times = _evidence.ProofTimes()
        self._last_promise: membership.Promise | None = None
        self._predecessor_promise: membership.Promise | None = None
        self._predecessor_resolved = False
        self._change_required_since: datetime.timedelta | None = None
        self._promises_suspended = False
        self._retry_at = start
        self._propose_not_before = start
        self._in_flight_write: _write.Write | None = None
        self._unresolved_proposal: _write.Write | None = None
        self._unresolved_sent = start
        self._store_last_reached: datetime.timedelta | None = None

    @property
    def lease(self) -> _document.ZoneLease | None:
        """The newest known lease."""
        return self._lease

    @property
    def version(self) -> int:
        """Store version of the newest known lease; 0 without one."""
        return self._version

    @property
    def epoch(self) -> int:
        """The newest known epoch; 0 without one."""
        return 0 if self._lease is None else self._lease.epoch

    @property
    def unresolved(self) -> _write.Write | None:
        """A proposal whose outcome is not known yet."""
        return self._unresolved_proposal

    @property
    def store_reached_at(self) -> datetime.timedelta | None:
        """When the store last answered this host; None if it never did."""
        return self._store_last_reached

    def learn(
        self,
        lease: _document.ZoneLease,
        version: int,
        now: datetime.timedelta,
    ) -> bool:
        """Adopts a lease if its version is newer than the known one.

        Args:
            lease: A committed lease, from a read, a peer or an own update.
            version: Its version in the store.
            now: Local monotonic time after the commit.

        Returns:
            Whether the lease is newer.

        Raises:
            LeaseError: A newer version has a lower epoch.
        """
        if version <= self._version:
            return False
        if lease.epoch < self.epoch:
            raise errors.LeaseError(
                errors.ErrorCode.BAD_DOCUMENT,
                f"lease version {version} has epoch {lease.epoch}, below"
                f" the known epoch {self.epoch}",
            )
        if lease.epoch > self.epoch:
            self._epoch_learned_at = now
            self._renewal_times.prune(lease.epoch)
            self._promise_times.prune(lease.epoch)
            self._resume_promises()
        self._lease = lease
        self._version = version
        self._version_learned_at = now
        if (
            self._unresolved_proposal is not None
            and version > self._unresolved_proposal.expected_version
        ):
            # The object has moved past the version that the proposal was
            # conditional on: it took effect or never will.
            self._unresolved_proposal = None
        return True

    def record_renewal(self, epoch: int, sent: datetime.timedelta) -> None:
        """Records a successful update of the lease by any member.

        Args:
            epoch: Epoch of the updated lease.
            sent: Local time that is not after the update was sent.
        """
        if epoch >= self.epoch:
            self._renewal_times.record(epoch, sent)

    def record_promised(self, epoch: int, time: datetime.timedelta) -> None:
        """Records a peer's proof by the promises of all members.

        Args:
            epoch: Epoch that the members promised for.
            time: Local time that is not after the earliest of the promises.
        """
        if epoch >= self.epoch:
            self._promise_times.record(epoch, time)

    def record_predecessor(self, promise: membership.Promise) -> None:
        """Records what a peer's answer says about promises of this host.

        Args:
            promise: The promise, at a local time that is not after it was made.
        """
        if (
            self._predecessor_promise is None
            or self._predecessor_promise < promise
        ):
            self._predecessor_promise = promise

    def store_reached(self, now: datetime.timedelta) -> None:
        """Records that the store answered this host."""
        self._store_last_reached = now

    def situation(self, now: datetime.timedelta) -> _release.Situation | None:
        """Returns the facts that the rules use; None without a lease."""
        if self._lease is None:
            return None
        return _release.Situation(
            self._lease,
            self._epoch_learned_at,
            self._version_learned_at,
            self._members,
            self._hosts,
            now,
        )

    def promise(self, now: datetime.timedelta) -> membership.Promise | None:
        """Makes a promise, unless this host must not promise now.

        Returns:
            The newest promise for the known epoch, which is an old one while
            this host does not promise; None if there is none.
        """
        if self._may_promise():
            self._last_promise = membership.Promise(self.epoch, now)
        promise = self._last_promise
        if promise is None or promise.epoch != self.epoch:
            return None
        return promise

    def renewal_time(self) -> datetime.timedelta | None:
        """Returns the proven time of the last renewal of the known epoch."""
        return self._renewal_times.time(self.epoch)

    def promised_time(
        self, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns the time that the promises of all members prove."""
        if self._lease is None:
            return None
        promise_by_host = {
            member.host: entry.promise
            for member in self._lease.members
            if (entry := self._members.get(member.host)) is not None
        }
        promise_by_host[self._members.host] = self.promise(now)
        promised = _evidence.earliest_promise(self._lease, promise_by_host)
        if promised is not None:
            self._promise_times.record(self.epoch, promised)
        return self._promise_times.time(self.epoch)

    def evidence(self, now: datetime.timedelta) -> _evidence.Proof | None:
        """Returns the latest proof that the known epoch was current."""
        renewed = self.renewal_time()
        promised = self.promised_time(now)
        return _evidence.latest_proof(
            None if renewed is None else _evidence.Proof(renewed, "renewal"),
            None if promised is None else _evidence.Proof(promised, "promises"),
        )

    def next_write(self, now: datetime.timedelta) -> _write.Write | None:
        """Returns the update to send now, if there is one.

        The caller sends it at once and reports its end with `finish`.
        """
        if (
            self._in_flight_write is not None
            or self._lease is None
            or now < self._retry_at
        ):
            return None
        write = self._next_proposal(now) or self._next_renewal(now)
        self._in_flight_write = write
        return write

    def first_write(self, now: datetime.timedelta) -> _write.Write | None:
        """Returns the update that creates the lease of a new zone.

        To be called when the store has said that there is no lease. Creation is
        conditional on absence, so a stale answer does no harm.
        """
        members = _proposal.serving_members(self._members, now)
        hosts = [member.host for member in members]
        if (
            self._lease is not None
            or self._in_flight_write is not None
            or self._members.host not in hosts
        ):
            return None
        lease = _document.ZoneLease(
            self._members.zone, 1, members, (), 0, self._new_write_id()
        )
        self._in_flight_write = _write.Write(_write.WriteKind.CREATE, 0, lease)
        return self._in_flight_write

    def finish(
        self,
        write: _write.Write,
        outcome: _write.Outcome,
        *,
        version: int,
        sent: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Records the end of a write.

        Args:
            write: The write that `next_write` or `first_write` returned.
            outcome: What is known about it.
            version: Version of the object after an applied write, else 0.
            sent: Local time before the write was sent.
            now: Local monotonic time.
        """
        self._in_flight_write = None
        if write is self._unresolved_proposal:
            # The first attempt may be the one that took effect.
            sent = self._unresolved_sent
        if outcome in (_write.Outcome.UNKNOWN, _write.Outcome.CONFLICT):
            self._record_unresolved(write, sent)
        if outcome is _write.Outcome.APPLIED:
            self.store_reached(now)
            self.record_renewal(write.lease.epoch, sent)
            self.learn(write.lease, version, now)
            return
        self._retry_at = now + _RETRY_DELAY
        if (
            outcome is _write.Outcome.NOT_RUN
            and write.kind is _write.WriteKind.PROPOSE
        ):
            # This host cannot reach the store. It promises again, and the
            # next member of the ranking proposes.
            self._propose_not_before = now + _PROPOSAL_BACKOFF
            self._resume_promises()

    def _record_unresolved(
        self, write: _write.Write, sent: datetime.timedelta
    ) -> None:
        """Remembers a proposal until a later version of the lease is known.

        A conflict ends it no more than a lost answer does: an earlier attempt
        of the same proposal may be what it conflicts with.
        """
        if (
            write.kind is _write.WriteKind.PROPOSE
            and write.expected_version >= self._version
        ):
            self._unresolved_proposal = write
            self._unresolved_sent = sent

    def _may_promise(self) -> bool:
        lease = self._lease
        return (
            lease is not None
            and self._members.host in lease.member_by_host
            and not self._promises_suspended
            and not self._is_proposal_pending()
            and self._is_predecessor_resolved()
        )

    def _is_proposal_pending(self) -> bool:
        in_flight = self._in_flight_write
        return self._unresolved_proposal is not None or (
            in_flight is not None and in_flight.kind is _write.WriteKind.PROPOSE
        )

    def _is_predecessor_resolved(self) -> bool:
        """Returns whether no proposal of a previous process can take effect.

        That holds once the lease was updated after the start of this process,
        because the proposal was conditional on an earlier version.
        """
        if not self._predecessor_resolved:
            renewed = self.renewal_time()
            self._predecessor_resolved = (
                renewed is not None and renewed >= self._start
            ) or self._continues_predecessor()
        return self._predecessor_resolved

    def _continues_predecessor(self) -> bool:
        """Returns whether this process continues the promises of another.

        A previous process that had promised within L before the start had no
        open proposal then and had to wait L before the next one. The owner
        process must be the one that the epoch names: it shows that the host
        has run ever since, so that no host outside the epoch can have found
        it missing in the platform's list.
        """
        previous = self._predecessor_promise
        own = self._members.own
        if previous is None or own is None or self._lease is None:
            return False
        member = self._lease.member_by_host.get(self._members.host)
        return (
            member is not None
            and member.incarnation == own.description.incarnation
            and previous.epoch == self.epoch
            and previous.made_at > self._start - _evidence.LEASE_TIME
        )

    def _next_renewal(self, now: datetime.timedelta) -> _write.Write | None:
        lease = self._lease
        situation = self.situation(now)
        if lease is None or situation is None:
            return None
        if self._members.host not in lease.member_by_host:
            return None
        renewed = self.renewal_time()
        if renewed is None:
            renewed = self._epoch_learned_at
        if now - renewed < self._renews_after(lease):
            return None
        update = dataclasses.replace(
            lease.with_renewal(self._new_write_id()),
            earlier=situation.pruned_earlier(),
        )
        return _write.Write(_write.WriteKind.RENEW, self._version, update)

    def _renews_after(self, lease: _document.ZoneLease) -> datetime.timedelta:
        """Returns the age of the last renewal at which this host renews."""
        position = membership.rank(lease.zone, lease.member_by_host).index(
            self._members.host
        )
        if position == 0:
            return RENEW_INTERVAL
        if position == 1:
            return _SECOND_RENEWS_AFTER
        stagger = min(position - 2, _RENEW_MAX_STAGGER_RANK)
        return _OTHERS_RENEW_AFTER + stagger * _RENEW_STAGGER

    def _next_proposal(self, now: datetime.timedelta) -> _write.Write | None:
        if self._unresolved_proposal is not None:
            # Repeats the same update, which settles its outcome.
            return self._unresolved_proposal
        situation = self.situation(now)
        if situation is None:
            return None
        if self._members.host in situation.lease.member_by_host:
            change = _proposal.required_change(situation)
            delay = self._proposal_delay(situation)
        else:
            change = _proposal.takeover_change(situation)
            delay = _evidence.LEASE_TIME
        if change is None or not self._can_propose(now):
            self._resume_promises(keep_required_since=change is not None)
            return None
        if self._change_required_since is None:
            self._change_required_since = now
        if now - self._change_required_since < delay:
            return None
        self._promises_suspended = True
        if not change.certain or not self._have_promises_expired(now):
            return None
        return self._proposal(situation, change)

    def _proposal(
        self, situation: _release.Situation, change: _proposal.MemberChange
    ) -> _write.Write | None:
        lease = situation.lease
        earlier = situation.pruned_earlier()
        if len(earlier) >= MAX_EARLIER:
            return None
        previous = _document.EarlierEpoch(lease.epoch, lease.members)
        update = dataclasses.replace(
            lease.with_renewal(self._new_write_id()),
            epoch=lease.epoch + 1,
            members=change.members,
            earlier=(previous, *earlier),
        )
        return _write.Write(_write.WriteKind.PROPOSE, self._version, update)

    def _can_propose(self, now: datetime.timedelta) -> bool:
        """Returns whether this host may suspend its promises to propose.

        Without the store a proposal fails, and only the promises then prove
        that the epoch is current.
        """
        times = [self._store_last_reached, self.renewal_time()]
        recent = any(
            time is not None and now - time < _STORE_REACHED_WITHIN
            for time in times
        )
        return recent and now >= self._propose_not_before

    def _have_promises_expired(self, now: datetime.timedelta) -> bool:
        """Returns whether all promises of this host have expired.

        The previous process of this host may have promised up to the start.
        """
        times = [self._start]
        if self._last_promise is not None:
            times.append(self._last_promise.made_at)
        return now - max(times) > _evidence.LEASE_TIME

    def _proposal_delay(
        self, situation: _release.Situation
    ) -> datetime.timedelta:
        """Returns how long a change must be required before this host acts.

        A leaving host comes last: its entry, through which it reaches the
        store, ends before its owner does.
        """
        staying = [
            member.host
            for member in situation.lease.members
            if self._members.is_fresh(member.host, situation.now)
            and not self._is_leaving(member.host)
        ]
        ranking = membership.rank(situation.lease.zone, staying)
        own = self._members.host
        position = ranking.index(own) if own in ranking else len(ranking)
        return min(position, _PROPOSER_MAX_RANK) * _PROPOSER_STAGGER

    def _is_leaving(self, host: str) -> bool:
        entry = self._members.get(host)
        return (
            entry is not None
            and entry.description.state is membership.State.LEAVING
        )

    def _resume_promises(self, keep_required_since: bool = False) -> None:
        """Resumes promises after a change was committed or given up."""
        self._promises_suspended = False
        if not keep_required_since:
            self._change_required_since = None
