"""Exchanges with the control processes of other hosts."""

import asyncio
import collections
from collections.abc import Iterable
import dataclasses
import datetime
import logging
import random
from typing import Any

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import lease
from sassafrashold import membership
from sassafrashold import rpc
from sassafrashold import settings
from sassafrashold import wire
from sassafrashold.control import _digest
from sassafrashold.control import _node
from sassafrashold.control import _objects

_LOGGER = logging.getLogger(__name__)
_TIMEOUT = datetime.timedelta(seconds=1)
_FETCH_TIMEOUT = datetime.timedelta(seconds=2)

# Idle connections cost keepalive probes, so only the most recent are kept.
_MAX_CONNECTIONS = 12

# Peers that are told at once about a changed object, per zone.
_FANOUT = 3

_MAX_OUTSIDERS = 8


@dataclasses.dataclass
class Traffic:
    """Counters of the exchanges that this process starts or answers."""

    started: int = 0
    """Exchanges started."""

    answered: int = 0
    """Exchanges answered."""

    failed: int = 0
    """Exchanges started that failed."""

    sent_bytes: int = 0
    """Bytes of message bodies sent."""

    received_bytes: int = 0
    """Bytes of message bodies received."""


class Peers:
    """The client side of gossip."""

    def __init__(
        self,
        node: _node.Node,
        clock: clock_lib.Clock,
        chance: random.Random,
    ) -> None:
        """Initializes the client side.

        Args:
            node: The state of this process.
            clock: The clock.
            chance: Chooses the peers.
        """
        self._node = node
        self._clock = clock
        self._random = chance
        self._pool = rpc.Pool(clock)
        self._recent: collections.OrderedDict[settings.Address, None] = (
            collections.OrderedDict()
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._fetching: set[settings.Address] = set()
        self._probe_suspect = False
        self._all_members = False
        self._announced: membership.Description | None = None
        self._controls_by_key: dict[
            str, tuple[int, list[settings.Address]]
        ] = {}
        self.traffic = Traffic()
        """Counters for `status`."""

    def start(self, coroutine: Any) -> None:
        """Runs an exchange in its own task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Ends all exchanges and connections."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._pool.close()

    def zone_peer(self) -> settings.Address | None:
        """Chooses a random live host of the own zone.

        The first members choose a suspect host on every other turn: it is
        removed only after it did not answer them directly.
        """
        node = self._node
        now = node.now()
        fresh: list[settings.Address] = []
        suspect: list[settings.Address] = []
        for host, address in self._zone_controls().items():
            is_fresh = node.members.is_fresh(host, now)
            (fresh if is_fresh else suspect).append(address)
        self._probe_suspect = not self._probe_suspect
        if not fresh or (self._probe_suspect and node.is_reader()):
            fresh = suspect or fresh
        return self._random.choice(fresh) if fresh else None

    def pull_on_tree(self) -> None:
        """Asks the neighbours in the tree for proofs and members.

        Freshness and promises travel up the tree; proofs and all members
        travel down. Random exchanges alone bring them from 61 hosts too late
        for L and for failure detection. The root also asks the newcomers, and
        a newcomer exchanges with the root.
        """
        node = self._node
        place = node.tree()
        self._all_members = not self._all_members
        controls = self._zone_controls()
        known = node.lease.lease
        if known is None or place.parent is None:
            below: tuple[str, ...] = ()
        elif node.settings.host not in known.member_by_host:
            self.start(self.exchange(controls[place.parent]))
            return
        else:
            below = place.children
            request = _digest.evidence_request(
                node, all_members=self._all_members
            )
            self.start(self._ask_parent(controls, place.parent, request))
        if node.is_reader(1):
            outsiders = node.outsiders()
            count = min(_MAX_OUTSIDERS, len(outsiders))
            below += tuple(self._random.sample(outsiders, count))
        for host in below:
            request = _digest.evidence_request(node, below=host)
            self._start_pull(controls, host, request)

    async def _ask_parent(
        self, controls: dict[str, settings.Address], host: str, request: Any
    ) -> None:
        """Asks the parent, and a first member if that one does not answer."""
        others = [h for h in self._node.first_members() if h != host]
        for candidate in (host, *others):
            address = controls.get(candidate)
            if address is not None and await self._gossip(address, request):
                return

    def _start_pull(
        self, controls: dict[str, settings.Address], host: str, request: Any
    ) -> None:
        if host in controls:
            self.start(self._gossip(controls[host], request))

    def other_zone_peer(
        self, zone: str | None = None
    ) -> settings.Address | None:
        """Chooses a random member of another zone, or else a seed.

        Args:
            zone: The zone; any other zone if it is None.
        """
        members = self._other_zone_controls(zone)
        if not members and zone is None:
            own = self._node.settings.listen
            members = [a for a in self._node.settings.seeds if a != own]
        return self._random.choice(members) if members else None

    def announce_own(self) -> None:
        """Tells some peers at once when this host's description changes.

        They ask back, because only an answer proves the change. The first
        members are among them, since one of them proposes the next epoch.
        """
        description = self._node.refresh().description
        if description == self._announced:
            return
        self._announced = description
        controls = self._zone_controls()
        chosen = self._random.sample(
            list(controls), min(_FANOUT, len(controls))
        )
        for host in {*self._node.first_members(), *chosen} & controls.keys():
            self.start(self.exchange(controls[host]))

    def announce(self, keys: Iterable[str]) -> None:
        """Tells some peers at once about changed objects."""
        keys = list(keys)
        own_zone = list(self._zone_controls().values())
        chosen = self._random.sample(own_zone, min(_FANOUT, len(own_zone)))
        if self._node.is_reader():
            for zone in self._other_zones():
                peer = self.other_zone_peer(zone)
                if peer is not None:
                    chosen.append(peer)
        for address in chosen:
            self.start(self.exchange(address, changed_keys=keys))

    async def exchange(
        self,
        address: settings.Address,
        *,
        members: bool = True,
        changed_keys: Iterable[str] = (),
    ) -> None:
        """Exchanges digests and fetches what the peer has newer."""
        request = _digest.request(
            self._node, members=members, changed_keys=changed_keys
        )
        message = await self._gossip(address, request)
        if message is None:
            return
        complete = await self.fetch_newer(address, message)
        if complete and _is_up_to_date(message):
            self._node.complete_peer = message.sender

    async def fetch_newer(
        self, address: settings.Address, message: Any
    ) -> bool:
        """Fetches the objects that a message names in a newer version.

        Returns:
            Whether this host now has all of them.
        """
        newer = self._newer(message)
        if not newer:
            return True
        if address in self._fetching:
            return False
        self._fetching.add(address)
        try:
            while newer:
                if not await self._fetch(address, message.sender, newer):
                    return False
                remaining = self._newer(message)
                if len(remaining) == len(newer):
                    return False
                newer = remaining
            return True
        finally:
            self._fetching.discard(address)

    def _newer(self, message: Any) -> list[str]:
        versions = self._node.objects
        return [
            item.key
            for item in message.objects
            if item.version > versions.version(item.key)
        ]

    async def _fetch(
        self, address: settings.Address, peer: str, keys: list[str]
    ) -> bool:
        request = wire.messages.FetchRequest(
            newer_than=[
                wire.messages.ObjectVersion(
                    key=key, version=self._node.objects.version(key)
                )
                for key in keys
            ]
        )
        body = await self._call(address, "fetch", request, _FETCH_TIMEOUT)
        if body is None:
            return False
        try:
            reply = wire.decode(wire.messages.FetchReply, body)
        except wire.CodecError as error:
            _LOGGER.error("bad fetch reply", extra={"error": str(error)})
            return False
        for item in reply.objects:
            self._node.put(
                _objects.StoredObject(
                    item.key, item.version, item.value, self._node.now(), peer
                ),
                peer=True,
            )
        return True

    async def _gossip(self, address: settings.Address, request: Any) -> Any:
        asked = self._node.now()
        body = await self._call(address, "gossip", request, _TIMEOUT)
        if body is None:
            return None
        try:
            message = wire.decode(wire.messages.GossipMessage, body)
            _digest.merge_answer(self._node, message, asked)
        except (wire.CodecError, _digest.DigestError) as error:
            _LOGGER.error(
                "ignored a malformed gossip answer",
                extra={"peer": str(address), "error": str(error)},
            )
            return None
        return message

    async def _call(
        self,
        address: settings.Address,
        method: str,
        request: Any,
        timeout: datetime.timedelta,
    ) -> bytes | None:
        """Calls a peer; None if it did not answer."""
        body = wire.encode(request)
        client = await self._client(address)
        self.traffic.started += 1
        self.traffic.sent_bytes += len(body)
        try:
            reply = await client.call(
                method, body, deadline=self._clock.now() + timeout
            )
        except errors.RpcError as error:
            self.traffic.failed += 1
            _LOGGER.debug(
                "peer did not answer",
                extra={"peer": str(address), "code": error.code.value},
            )
            return None
        self.traffic.received_bytes += len(reply)
        return reply

    async def _client(self, address: settings.Address) -> rpc.Client:
        self._recent[address] = None
        self._recent.move_to_end(address)
        if len(self._recent) > _MAX_CONNECTIONS:
            self._recent.popitem(last=False)
            await self._pool.retain(frozenset(self._recent))
        return self._pool.get(address)

    def _zone_controls(self) -> dict[str, settings.Address]:
        """Returns the control addresses of the other hosts of the zone."""
        node = self._node
        controls = {}
        known = node.lease.lease
        if known is not None:
            for member in known.members:
                controls[member.host] = member.control
        now = node.now()
        for entry in node.members.entries():
            description = entry.description
            if node.members.age(description.host, now) < (
                membership.FORGET_AFTER
            ):
                controls[description.host] = description.control
        controls.pop(node.settings.host, None)
        return controls

    def _other_zones(self) -> list[str]:
        prefix = lease.KEY_PREFIX
        return [
            stored.key.removeprefix(prefix)
            for stored in self._node.objects
            if stored.key.startswith(prefix)
            and stored.key != self._node.lease_key
        ]

    def _other_zone_controls(self, zone: str | None) -> list[settings.Address]:
        zones = self._other_zones() if zone is None else [zone]
        return [address for name in zones for address in self._controls(name)]

    def _controls(self, zone: str) -> list[settings.Address]:
        """Returns the control addresses of a zone; parses a lease once."""
        key = lease.lease_key(zone)
        stored = self._node.objects.get(key)
        if stored is None:
            return []
        cached = self._controls_by_key.get(key)
        if cached is not None and cached[0] == stored.version:
            return cached[1]
        try:
            document = lease.ZoneLease.decode(stored.value)
        except errors.DocumentError:
            return []
        controls = [member.control for member in document.members]
        self._controls_by_key[key] = (stored.version, controls)
        return controls


def _is_up_to_date(message: Any) -> bool:
    """Returns whether the sender itself had all objects."""
    starting = wire.messages.MemberState.STARTING
    return any(
        member.host == message.sender and member.state != starting
        for member in message.members
    )
