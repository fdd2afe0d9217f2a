"""Tracks the live hosts, among which the limits are shared."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import datetime
import logging
import random

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import relay
from sassafrashold.front import _interfaces

_LOGGER = logging.getLogger(__name__)
_ZERO = datetime.timedelta()
_HEARTBEAT_INTERVAL = datetime.timedelta(seconds=60)
# Hosts that start at the same time have written their entries by then.
_BOOTSTRAP_WAIT = datetime.timedelta(seconds=2)
_READ_INTERVAL = datetime.timedelta(seconds=5)
# After the store came back from an older copy, hosts write their entries again
# within this time, so that hundreds do not write at once.
_REWRITE_SPREAD = datetime.timedelta(seconds=5)
# Hosts that the copy lacks count as live for this long: they notice the return
# with a read, write their entries, and the list may be seconds old.
_UNLISTED_HOST_RETENTION = 2 * _READ_INTERVAL + _REWRITE_SPREAD
# A host whose heartbeat has not changed for three intervals is not live.
_HOST_TIMEOUT = 3 * _HEARTBEAT_INTERVAL
# The store does not expire entries. The live host that is first in name order
# removes entries whose heartbeat has not changed for this long.
_ENTRY_RETENTION = datetime.timedelta(hours=1)
# Number of hosts assumed until the registry is read. It is high, so that a new
# host uses less than its share of the limits rather than more.
_ASSUMED_HOST_COUNT = 16


def assumed_hosts(own_host: str) -> tuple[str, ...]:
    """Returns this host and placeholder names for hosts not known yet.

    Args:
        own_host: Name of this host.
    """
    return tuple(
        sorted(
            [own_host, *(f"\uffff{i}" for i in range(1, _ASSUMED_HOST_COUNT))]
        )
    )


@dataclasses.dataclass(frozen=True)
class _SeenHost:
    entry: _interfaces.RegisteredHost
    # Monotonic time at which its heartbeat changed last.
    changed_at: datetime.timedelta


class LiveHosts:
    """Detects live hosts by their changing heartbeats; does no I/O."""

    def __init__(self, local_peer: relay.Peer) -> None:
        """Initializes the detector; no entries are known yet.

        Args:
            local_peer: This host.
        """
        self._local_peer = local_peer
        self._seen_by_host: dict[str, _SeenHost] = {}
        self._unlisted_until = _ZERO

    def keep_unlisted(self, until: datetime.timedelta) -> None:
        """Keeps hosts whose entries the store has lost.

        Args:
            until: Monotonic time until which hosts that are no longer listed
                stay live as if they were.
        """
        self._unlisted_until = until

    def update(
        self,
        hosts: Iterable[_interfaces.RegisteredHost],
        now: datetime.timedelta,
    ) -> tuple[relay.Peer, ...]:
        """Updates the heartbeats from the entries in the registry.

        Args:
            hosts: All entries in the registry.
            now: Monotonic time.

        Returns:
            The live hosts, sorted by name; always includes this host.
        """
        seen_by_host = (
            dict(self._seen_by_host) if now < self._unlisted_until else {}
        )
        for host in hosts:
            seen = self._seen_by_host.get(host.peer.host)
            heartbeat_changed = (
                seen is None or seen.entry.heartbeat != host.heartbeat
            )
            seen_by_host[host.peer.host] = _SeenHost(
                host,
                now if seen is None or heartbeat_changed else seen.changed_at,
            )
        self._seen_by_host = seen_by_host
        peer_by_host = {self._local_peer.host: self._local_peer}
        for name, seen in seen_by_host.items():
            if now - seen.changed_at < _HOST_TIMEOUT:
                peer_by_host.setdefault(name, seen.entry.peer)
        return tuple(peer_by_host[name] for name in sorted(peer_by_host))

    def hosts_to_remove(self, now: datetime.timedelta) -> tuple[str, ...]:
        """Returns the hosts whose entries this host has to remove.

        Args:
            now: Monotonic time.
        """
        first_live = min(
            (
                name
                for name, seen in self._seen_by_host.items()
                if now - seen.changed_at < _HOST_TIMEOUT
            ),
            default=None,
        )
        if first_live != self._local_peer.host:
            return ()
        return tuple(
            name
            for name, seen in self._seen_by_host.items()
            if now - seen.changed_at >= _ENTRY_RETENTION
        )


class RegistryTask:
    """Writes the entry of this host and reads the entries of all hosts."""

    def __init__(
        self,
        registry: _interfaces.HostRegistry,
        local_peer: relay.Peer,
        bootstrap: bool,
        on_hosts: Callable[[tuple[relay.Peer, ...]], None],
        on_list_unavailable: Callable[[], None],
        eras: relay.LatestEra,
        random_source: random.Random,
        clock: clock_lib.Clock,
    ) -> None:
        """Initializes the task.

        Args:
            registry: Entries of all hosts.
            local_peer: This host.
            bootstrap: Whether all hosts of the system start for the first
                time.
            on_hosts: Called with the live hosts after each successful read.
            on_list_unavailable: Called when a read fails or returns no entry.
            eras: Tells when the store came back from an older copy, which may
                lack entries.
            random_source: Spreads the writes of the hosts after such a return.
            clock: The clock.
        """
        self._eras = eras
        self._random = random_source
        self._registry = registry
        self._local_peer = local_peer
        self._bootstrap = bootstrap
        self._on_hosts = on_hosts
        self._on_list_unavailable = on_list_unavailable
        self._clock = clock
        self._live_hosts = LiveHosts(local_peer)

    async def run(self) -> None:
        """Writes the heartbeat and reads the registry until cancelled."""
        initial_hosts = await self._read_hosts()
        # Hosts that start at the same time are not in the registry yet.
        unregistered = all(
            host.peer.host != self._local_peer.host for host in initial_hosts
        )
        if not (self._bootstrap and unregistered):
            self._bootstrap = False
            self._publish(initial_hosts)
        last_write = self._last_write_of_previous_process(initial_hosts)
        era = self._eras.value
        while True:
            if self._has_returned_since(era):
                last_write = None
                spread = _REWRITE_SPREAD * self._random.random()
                await asyncio.sleep(spread.total_seconds())
            era = self._eras.value
            now = self._clock.monotonic()
            if last_write is None or now - last_write >= _HEARTBEAT_INTERVAL:
                last_write = now if await self._write_entry() else last_write
                await self._remove_expired()
            if self._bootstrap:
                await asyncio.sleep(_BOOTSTRAP_WAIT.total_seconds())
                self._bootstrap = False
            else:
                await asyncio.sleep(_READ_INTERVAL.total_seconds())
            hosts = await self._read_hosts()
            if self._has_returned_since(era):
                self._live_hosts.keep_unlisted(
                    self._clock.monotonic() + _UNLISTED_HOST_RETENTION
                )
            self._publish(hosts)

    def _has_returned_since(self, era: int) -> bool:
        """Returns whether the store came back from a copy since an era."""
        return 0 < era < self._eras.value

    def _last_write_of_previous_process(
        self, hosts: Iterable[_interfaces.RegisteredHost]
    ) -> datetime.timedelta | None:
        """Returns when the entry of this host was written; None if unusable.

        A process that is restarted goes on with the entry of the previous one:
        hundreds of hosts may restart at the same time.
        """
        for host in hosts:
            if host.peer == self._local_peer:
                age = self._clock.now() - clock_lib.from_unix_ms(host.heartbeat)
                if _ZERO <= age < _HEARTBEAT_INTERVAL:
                    return self._clock.monotonic() - age
        return None

    async def _write_entry(self) -> bool:
        try:
            await self._registry.register(
                _interfaces.RegisteredHost(
                    self._local_peer, clock_lib.to_unix_ms(self._clock.now())
                )
            )
        except errors.StoreError as error:
            _LOGGER.info(
                "own entry not written", extra={"cause": error.message}
            )
            return False
        return True

    async def _remove_expired(self) -> None:
        for host in self._live_hosts.hosts_to_remove(self._clock.monotonic()):
            try:
                await self._registry.remove(host)
            except errors.StoreError as error:
                _LOGGER.info(
                    "old entry not removed",
                    extra={"entry": host, "cause": error.message},
                )
                return
            _LOGGER.info("old entry removed", extra={"entry": host})

    async def _read_hosts(self) -> tuple[_interfaces.RegisteredHost, ...]:
        """Returns all entries; an empty tuple if the store fails."""
        try:
            return await self._registry.hosts()
        except errors.StoreError as error:
            _LOGGER.info(
                "host list not updated", extra={"cause": error.message}
            )
            return ()

    def _publish(self, hosts: tuple[_interfaces.RegisteredHost, ...]) -> None:
        """Reports the live hosts, or that there is no list of hosts."""
        if hosts:
            self._on_hosts(
                self._live_hosts.update(hosts, self._clock.monotonic())
            )
        else:
            self._on_list_unavailable()
