"""Several nodes of one zone in one thread, on a store that can misbehave.

Only the state of the nodes is real. Time, messages and the store are steps of
this module, and `check` judges the nodes by what really happened.
"""

import dataclasses
import datetime
import itertools

from sassafrashold import clock as clock_lib
from sassafrashold import lease
from sassafrashold import settings
from sassafrashold import wire
from sassafrashold.control import _digest
from sassafrashold.control import _entitlement
from sassafrashold.control import _node
from sassafrashold.control import _objects
from sassafrashold.control import _settings

STEP = datetime.timedelta(milliseconds=100)
ZONE = "luzon-a"
_KEY = lease.lease_key(ZONE)
_ADDRESS = settings.Address("127.0.0.1", 1)


@dataclasses.dataclass
class Flight:
    """A write that was sent and whose answer has not arrived."""

    host: "Host"
    node: object
    write: lease.Write
    sent: datetime.timedelta
    arrives: datetime.timedelta
    answered: bool = False


@dataclasses.dataclass
class Exchange:
    """A gossip request under way, then its answer."""

    asker: "Host"
    node: object
    peer: "Host"
    request: object
    asked: datetime.timedelta
    due: datetime.timedelta
    answer: object = None


class Host:
    """One host: a node, and a model of its owner process."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        # Monotonic clocks of hosts have nothing in common.
        self.offset = datetime.timedelta(seconds=1000 * len(world.hosts) + 7)
        self.clock = clock_lib.ManualClock(
            now=clock_lib.from_unix_ms(0) + world.now,
            monotonic=world.now + self.offset,
        )
        self.paused_until = datetime.timedelta()
        self.alone = False
        self.running = True
        self.gone = datetime.timedelta()
        self.start_owner()
        self.start_control()

    def start_owner(self):
        number = next(self.world.numbers)
        self.incarnation = f"{self.name}.{number}"
        self.released_epoch = 0
        self.leaving = False

    def start_control(self):
        values = _settings.ControlSettings(
            host=self.name,
            zone=ZONE,
            listen=_ADDRESS,
            owner=_ADDRESS,
            entry=_ADDRESS,
        )
        self.node = _node.Node(
            values, self.clock, lambda: str(next(self.world.numbers))
        )
        self.node.set_up_to_date("test")

    def is_active(self):
        return self.running and self.world.now >= self.paused_until

    def true(self, local):
        return local - self.offset


class World:
    """All hosts, the store, and what really happened."""

    def __init__(self, names):
        self.now = datetime.timedelta(seconds=10)
        self.numbers = itertools.count(1)
        self.hosts = {}
        for name in names:
            self.hosts[name] = Host(self, name)
        self.history = []  # (version, lease, time of commit)
        self.flights = []
        self.exchanges = []
        self.promised = dict.fromkeys(names, datetime.timedelta())
        self.store = "ok"
        self.read_stale = False

    def committed(self, epoch):
        """Returns the time of commit of the first version of an epoch."""
        for _, document, time in self.history:
            if document.epoch == epoch:
                return time
        return None

    def run(self, steps, chance):
        for _ in range(steps):
            self.step(chance)
            self.check()

    def step(self, chance):
        self.now += STEP
        for host in self.hosts.values():
            host.clock.advance(STEP)
        for host in self.hosts.values():
            if host.is_active():
                self._step_host(host, chance)
        self._move_exchanges(chance)
        self._move_flights(chance)

    def _step_host(self, host, chance):
        reply = _entitlement.answer(
            host.node,
            wire.messages.EntitlementRequest(
                incarnation=host.incarnation,
                released_epoch=host.released_epoch,
                leaving=host.leaving,
            ),
        )
        if chance.random() < 0.3:
            host.released_epoch = max(host.released_epoch, reply.epoch)
        self._note_promise(host)
        self._read(host, chance)
        self._write(host, chance)
        others = [
            other
            for other in self.hosts.values()
            if other is not host and other.running
        ]
        if others and chance.random() < 0.4:
            self._ask(host, chance.choice(others), chance)

    def _note_promise(self, host):
        promise = host.node.refresh().promise
        if promise is not None:
            made = host.true(promise.made_at)
            self.promised[host.name] = max(made, self.promised[host.name])

    def _ask(self, host, peer, chance):
        if host.alone or peer.alone:
            return
        self.exchanges.append(
            Exchange(
                host,
                host.node,
                peer,
                self._request(host.node, peer.name, chance),
                host.node.now(),
                self.now + STEP * chance.choice((0, 0, 1, 3, 10)),
            )
        )

    def _request(self, node, peer, chance):
        kind = chance.randrange(4)
        if kind == 0:
            return _digest.evidence_request(node, all_members=True)
        if kind == 1:
            return _digest.evidence_request(node, below=peer)
        return _digest.request(node, members=True)

    def _move_exchanges(self, chance):
        for exchange in list(self.exchanges):
            if self.now < exchange.due:
                continue
            if exchange.answer is None and exchange.peer.is_active():
                node = exchange.peer.node
                _digest.merge_request(node, exchange.request)
                exchange.answer = _digest.answer(node, exchange.request)
                exchange.due = self.now + STEP * chance.choice((0, 1, 10))
            elif exchange.answer is not None and exchange.asker.is_active():
                self.exchanges.remove(exchange)
                if exchange.asker.node is exchange.node:
                    self._receive(exchange)
            elif not (exchange.asker.running and exchange.peer.running):
                self.exchanges.remove(exchange)

    def _receive(self, exchange):
        node = exchange.node
        _digest.merge_answer(node, exchange.answer, exchange.asked)
        peer = exchange.peer.node
        stored = peer.objects.get(_KEY)
        if stored is not None and exchange.peer.is_active():
            node.put(
                dataclasses.replace(stored, received=node.now()), peer=True
            )

    def _learn(self, host, version, document):
        if host.node.lease.learn(document, version, host.node.now()):
            host.node.objects.put(
                _objects.StoredObject(
                    _KEY, version, document.encode(), host.node.now(), "store"
                )
            )

    def _read(self, host, chance):
        if self.store == "down" or chance.random() > 0.05:
            return
        now = host.node.now()
        if self.history:
            versions = self.history if self.read_stale else self.history[-1:]
            version, document, _ = chance.choice(versions)
            self._learn(host, version, document)
        host.node.lease.store_reached(now)
        running = {
            other.name: False
            for other in self.hosts.values()
            if other.running or self.now < other.gone + 20 * STEP
        }
        host.node.hosts.update(host.clock.now(), running, now, now)

    def _write(self, host, chance):
        node = host.node
        node.refresh()
        now = node.now()
        write = node.lease.next_write(now)
        if write is None and chance.random() < 0.02:
            # Also after a stale answer that there is no lease.
            write = node.lease.first_write(now)
        if write is None:
            return
        if self.store == "down":
            node.lease.finish(
                write, lease.Outcome.NOT_RUN, version=0, sent=now, now=now
            )
            return
        if write.kind is lease.WriteKind.PROPOSE:
            self._check_proposal(host)
        delay = {"ok": 0, "lossy": 5, "slow": 60}[self.store]
        self.flights.append(
            Flight(
                host,
                node,
                write,
                now,
                self.now + STEP * chance.randint(0, delay),
            )
        )

    def _move_flights(self, chance):
        for flight in list(self.flights):
            if self.now >= flight.arrives:
                self.flights.remove(flight)
                self._arrive(flight, chance)
            elif not flight.answered and chance.random() < 0.1:
                # The caller gives up; the write is still under way.
                self._answer(flight, lease.Outcome.UNKNOWN, 0, chance)

    def _arrive(self, flight, chance):
        version = self.history[-1][0] if self.history else 0
        outcome = lease.Outcome.CONFLICT
        if version == flight.write.expected_version:
            version += 1
            self.history.append((version, flight.write.lease, self.now))
            outcome = lease.Outcome.APPLIED
        lost = self.store != "ok" and chance.random() < 0.3
        self._answer(
            flight,
            lease.Outcome.UNKNOWN if lost else outcome,
            version if outcome is lease.Outcome.APPLIED and not lost else 0,
            chance,
        )

    def _answer(self, flight, outcome, version, chance):
        node = flight.node
        if flight.answered or flight.host.node is not node:
            return
        flight.answered = True
        write = flight.write
        if outcome is not lease.Outcome.APPLIED and self.history:
            # Reads back, as the writer does.
            versions = self.history if self.read_stale else self.history[-1:]
            found, document, _ = chance.choice(versions)
            self._learn(flight.host, found, document)
            if document.write_id == write.lease.write_id:
                outcome, version = lease.Outcome.APPLIED, found
        node.lease.finish(
            write,
            outcome,
            version=version,
            sent=flight.sent,
            now=node.now(),
        )
        if outcome is lease.Outcome.APPLIED:
            node.objects.put(
                _objects.StoredObject(
                    _KEY, version, write.lease.encode(), node.now(), "store"
                )
            )

    def check(self):
        """Compares what the hosts believe with what really happened."""
        for host in self.hosts.values():
            if host.is_active():
                self._check_evidence(host)
                self._check_releases(host)
        if self.history:
            earlier = self.history[-1][1].earlier
            assert len(earlier) <= lease.MAX_EARLIER

    def _check_proposal(self, host):
        if host.name in host.node.lease.lease.member_by_host:
            waited = self.now - self.promised[host.name]
            assert waited >= lease.LEASE_TIME, (
                f"{host.name} proposes {waited} after it promised not to"
            )

    def _check_evidence(self, host):
        proof = host.node.lease.evidence(host.node.now())
        if proof is None:
            return
        ended = self.committed(host.node.lease.epoch + 1)
        if ended is not None:
            assert host.true(proof.time) <= ended, (
                f"{host.name}: {proof.source} prove epoch"
                f" {host.node.lease.epoch} at {host.true(proof.time)},"
                f" but the next one was committed at {ended}"
            )

    def _check_releases(self, host):
        situation = host.node.lease.situation(host.node.now())
        if situation is None:
            return
        for earlier in situation.lease.earlier:
            unreleased = situation.unreleased(earlier)
            for member in earlier.members:
                owner = self.hosts[member.host]
                uses = (
                    owner.running
                    and owner.incarnation == member.incarnation
                    and owner.released_epoch <= earlier.epoch
                )
                assert not uses or member in unreleased, (
                    f"{host.name} takes {member.host} for released from"
                    f" epoch {earlier.epoch}, which it still uses"
                )
