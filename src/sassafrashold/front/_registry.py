"""Which hosts share the limits with this one."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import datetime
import logging

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import relay
from sassafrashold.front import _interfaces

_LOGGER = logging.getLogger(__name__)
_BEAT_INTERVAL = datetime.timedelta(seconds=60)
# Hosts that start together have written their entries after this time.
_BOOTSTRAP_WAIT = datetime.timedelta(seconds=2)
_READ_INTERVAL = datetime.timedelta(seconds=5)
# A host that has not written for three intervals is gone.
_SILENT_AFTER = 3 * _BEAT_INTERVAL
# Nothing expires in the store by itself: entries of hosts that are silent for
# this long are removed by the live host that is first by name.
_REMOVED_AFTER = datetime.timedelta(hours=1)
# Assumed until the list is read, so that a new host takes too little.
_ASSUMED_HOSTS = 16


def assumed_hosts(own_host: str) -> tuple[str, ...]:
    """Returns stand-ins for the hosts that are not known yet."""
    return tuple(
        sorted([own_host, *(f"\uffff{i}" for i in range(1, _ASSUMED_HOSTS))])
    )


class LiveHosts:
    """Tells live hosts by numbers that change; an aggregate without I/O."""

    def __init__(self, own: relay.Peer) -> None:
        """Initializes the aggregate with this host alone."""
        self._own = own
        self._seen_by_host: dict[str, tuple[int, datetime.timedelta]] = {}

    def update(
        self,
        hosts: Iterable[_interfaces.RegisteredHost],
        now: datetime.timedelta,
    ) -> tuple[relay.Peer, ...]:
        """Takes a new reading.

        Args:
            hosts: All entries.
            now: Monotonic time.

        Returns:
            The live hosts, by name, with this one.
        """
        peer_by_host = {self._own.host: self._own}
        seen_by_host = {}
        for host in hosts:
            name = host.peer.host
            seen = self._seen_by_host.get(name)
            if seen is None or seen[0] != host.beat:
                seen = (host.beat, now)
            seen_by_host[name] = seen
            if now - seen[1] < _SILENT_AFTER:
                peer_by_host.setdefault(name, host.peer)
        self._seen_by_host = seen_by_host
        return tuple(peer_by_host[name] for name in sorted(peer_by_host))

    def removable(self, now: datetime.timedelta) -> tuple[str, ...]:
        """Returns the hosts whose entries this host has to remove.

        Args:
            now: Monotonic time.
        """
        first_live = min(
            (
                name
                for name, (_, changed) in self._seen_by_host.items()
                if now - changed < _SILENT_AFTER
            ),
            default=None,
        )
        if first_live != self._own.host:
            return ()
        return tuple(
            name
            for name, (_, changed) in self._seen_by_host.items()
            if now - changed >= _REMOVED_AFTER
        )


class RegistryTask:
    """Writes the entry of this host and reads those of the others."""

    def __init__(
        self,
        registry: _interfaces.HostRegistry,
        own: relay.Peer,
        bootstrap: bool,
        on_hosts: Callable[[tuple[relay.Peer, ...]], None],
        on_no_list: Callable[[], None],
        clock: clock_lib.Clock,
    ) -> None:
        """Initializes the task.

        Args:
            registry: The list of hosts.
            own: This host.
            bootstrap: Whether all hosts start for the first time.
            on_hosts: Gets the live hosts whenever they are read.
            on_no_list: Called when there is no list.
            clock: The clock.
        """
        self._registry = registry
        self._own = own
        self._bootstrap = bootstrap
        self._on_hosts = on_hosts
        self._on_no_list = on_no_list
        self._clock = clock
        self._live = LiveHosts(own)

    async def run(self) -> None:
        """Writes and reads until cancelled."""
        first = await self._hosts()
        # Hosts that start together can't see each other yet.
        alone = all(host.peer.host != self._own.host for host in first)
        if not (self._bootstrap and alone):
            self._bootstrap = False
            self._note(first)
        written: datetime.timedelta | None = None
        while True:
            now = self._clock.monotonic()
            if written is None or now - written >= _BEAT_INTERVAL:
                written = now if await self._write() else written
                await self._remove_old()
            if self._bootstrap:
                await asyncio.sleep(_BOOTSTRAP_WAIT.total_seconds())
                self._bootstrap = False
            else:
                await asyncio.sleep(_READ_INTERVAL.total_seconds())
            self._note(await self._hosts())

    async def _write(self) -> bool:
        try:
            await self._registry.register(
                _interfaces.RegisteredHost(
                    self._own, clock_lib.to_unix_ms(self._clock.now())
                )
            )
        except errors.StoreError as error:
            _LOGGER.info(
                "own entry not written", extra={"cause": error.message}
            )
            return False
        return True

    async def _remove_old(self) -> None:
        for host in self._live.removable(self._clock.monotonic()):
            try:
                await self._registry.remove(host)
            except errors.StoreError as error:
                _LOGGER.info(
                    "old entry not removed",
                    extra={"entry": host, "cause": error.message},
                )
                return
            _LOGGER.info("old entry removed", extra={"entry": host})

    async def _hosts(self) -> tuple[_interfaces.RegisteredHost, ...]:
        """Returns all entries; none if the store does not answer."""
        try:
            return await self._registry.hosts()
        except errors.StoreError as error:
            _LOGGER.info(
                "host list not updated", extra={"cause": error.message}
            )
            return ()

    def _note(self, hosts: tuple[_interfaces.RegisteredHost, ...]) -> None:
        """Passes on who is alive; without a list nothing changes."""
        if hosts:
            self._on_hosts(self._live.update(hosts, self._clock.monotonic()))
        else:
            self._on_no_list()
