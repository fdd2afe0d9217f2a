"""Which hosts share the limits with this one."""

import asyncio
from collections.abc import Callable
import datetime
import logging

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold.front import _interfaces

_LOGGER = logging.getLogger(__name__)
_BEAT_INTERVAL = datetime.timedelta(seconds=20)
_READ_INTERVAL = datetime.timedelta(seconds=5)
# A host that has not written for three intervals is gone.
_SILENT_AFTER = 3 * _BEAT_INTERVAL
# Assumed until the list is read, so that a new host takes too little.
_ASSUMED_HOSTS = 16


def assumed_hosts(own_host: str) -> tuple[str, ...]:
    """Returns stand-ins for the hosts that are not known yet."""
    return tuple(
        sorted([own_host, *(f"\uffff{i}" for i in range(1, _ASSUMED_HOSTS))])
    )


class LiveHosts:
    """Tells live hosts by numbers that change; an aggregate without I/O."""

    def __init__(self, own_host: str) -> None:
        """Initializes the aggregate with this host alone."""
        self._own_host = own_host
        self._beat_by_host: dict[str, tuple[int, datetime.timedelta]] = {}

    def update(
        self, beat_by_host: dict[str, int], now: datetime.timedelta
    ) -> tuple[str, ...]:
        """Takes a new reading.

        Args:
            beat_by_host: Last number of each host.
            now: Monotonic time.

        Returns:
            Names of the live hosts, sorted, with this one.
        """
        self._beat_by_host = {
            host: self._seen(host, beat, now)
            for host, beat in beat_by_host.items()
        }
        live = {
            host
            for host, (_, changed) in self._beat_by_host.items()
            if now - changed < _SILENT_AFTER
        }
        return tuple(sorted(live | {self._own_host}))

    def _seen(
        self, host: str, beat: int, now: datetime.timedelta
    ) -> tuple[int, datetime.timedelta]:
        known = self._beat_by_host.get(host)
        if known is not None and known[0] == beat:
            return known
        return beat, now


class RegistryTask:
    """Writes the entry of this host and reads those of the others."""

    def __init__(
        self,
        registry: _interfaces.HostRegistry,
        host: str,
        zone: str,
        on_hosts: Callable[[tuple[str, ...]], None],
        clock: clock_lib.Clock,
    ) -> None:
        """Initializes the task.

        Args:
            registry: The list of hosts.
            host: Name of this host.
            zone: Its availability zone.
            on_hosts: Gets the live hosts whenever they are read.
            clock: The clock.
        """
        self._registry = registry
        self._host = host
        self._zone = zone
        self._on_hosts = on_hosts
        self._clock = clock
        self._live = LiveHosts(host)

    async def run(self) -> None:
        """Writes and reads until cancelled."""
        written: datetime.timedelta | None = None
        while True:
            now = self._clock.monotonic()
            try:
                if written is None or now - written >= _BEAT_INTERVAL:
                    await self._registry.register(
                        self._host,
                        self._zone,
                        clock_lib.to_unix_ms(self._clock.now()),
                    )
                    written = now
                beats = await self._registry.beats()
            except errors.StoreError as error:
                _LOGGER.info(
                    "host list not updated", extra={"cause": error.message}
                )
            else:
                self._on_hosts(
                    self._live.update(beats, self._clock.monotonic())
                )
            await asyncio.sleep(_READ_INTERVAL.total_seconds())

    async def leave(self) -> None:
        """Removes the entry of this host, if the store answers."""
        try:
            await self._registry.remove(self._host)
        except errors.StoreError as error:
            _LOGGER.info("entry not removed", extra={"cause": error.message})
