"""Decides whether to read the store or to follow another host, and does so."""

import asyncio
from collections.abc import Sequence
import datetime
import logging

from sassafrashold import errors
from sassafrashold import relay
from sassafrashold import settings
from sassafrashold.front import _follower
from sassafrashold.front import _peers
from sassafrashold.front import _view

_LOGGER = logging.getLogger(__name__)
# After all hosts to follow have failed, the store is read for this long.
_DIRECT_TIME = datetime.timedelta(seconds=6)
# A host that the store turns away asks another one this often until it finds
# one that the store serves.
_DETOUR_INTERVAL = datetime.timedelta(milliseconds=400)
# Changes of leafs come in bursts; a leaf that drains may be called for longer.
_LEAF_PAUSE = datetime.timedelta(milliseconds=400)
# The store answers a host that starts in a fraction of this.
_COPY_INTERVAL = datetime.timedelta(milliseconds=500)
_CONFIGURATION_PAUSE = datetime.timedelta(milliseconds=50)


class Sourcing:
    """Keeps the view up to date, from the store or from another host."""

    def __init__(
        self,
        view: _view.View,
        topics: _view.Topics,
        client: _peers.PeerClient,
        seeds: Sequence[settings.Address],
    ) -> None:
        """Initializes the task.

        Args:
            view: Gets all news.
            topics: Read from the store.
            client: Asks other hosts.
            seeds: Hosts that may know something while the store is away.
        """
        self._seeds = tuple(seeds)
        self._decided = asyncio.Event()
        self._view = view
        self._client = client
        self._sources: tuple[relay.Peer, ...] = ()
        self._others: tuple[relay.Peer, ...] = ()
        self._sources_changed = asyncio.Event()
        self._configuration = topics.configuration
        self._reading = False
        self.health = _follower.StoreHealth(self._probe, self._store_changed)
        self._followers = tuple(
            _follower.Follower(
                topic,
                view.mirror_by_topic[topic.name],
                self.health,
                view.take,
                self._read_all,
                pause,
            )
            for topic, pause in (
                (topics.configuration, _CONFIGURATION_PAUSE),
                (topics.leafs, _LEAF_PAUSE),
                (topics.zones_out, _CONFIGURATION_PAUSE),
            )
        )

    @property
    def reads_store(self) -> bool:
        """Whether this host reads the store, and the store answers."""
        return (
            self._reading
            and self.health.is_confirmed
            and self._view.is_complete
        )

    def set_sources(self, sources: Sequence[relay.Peer]) -> None:
        """Changes whom this host follows; nobody makes it read the store."""
        self._decided.set()
        if tuple(sources) != self._sources:
            self._sources = tuple(sources)
            self._sources_changed.set()

    def set_others(self, others: Sequence[relay.Peer]) -> None:
        """Changes whom this host may ask while the store turns it away.

        Args:
            others: All other live hosts.
        """
        self._others = tuple(others)

    def start_alone(self) -> None:
        """Reads the store, as other hosts are not known."""
        self._decided.set()

    async def run(self) -> None:
        """Keeps the view up to date until cancelled."""
        await self._decided.wait()
        while True:
            self._sources_changed.clear()
            if self._sources:
                await self._follow_hosts()
                await self._read_store(_DIRECT_TIME)
            else:
                await self._read_store(None)

    async def _follow_hosts(self) -> None:
        """Follows hosts until each of them has failed in a row."""
        failures = 0
        position = 0
        following = ""
        while failures < len(self._sources):
            source = self._sources[position % len(self._sources)]
            try:
                await self._client.follow_once(source.address)
            except errors.StoreError as error:
                failures += 1
                position += 1
                _LOGGER.info(
                    "host not followed",
                    extra={"peer": source.host, "cause": error.message},
                )
            else:
                failures = 0
                if source.host != following:
                    following = source.host
                    _LOGGER.info("following host", extra={"peer": following})

    async def _read_store(self, at_most: datetime.timedelta | None) -> None:
        """Reads the store for a time, or until there are hosts to follow."""
        _LOGGER.info("reading the store")
        self._reading = True
        tasks = [
            asyncio.create_task(task)
            for task in (
                *(follower.run() for follower in self._followers),
                self.health.run(),
                self._copy_from_seeds(),
                self._follow_while_away(),
            )
        ]
        waiter = asyncio.create_task(self._sources_changed.wait())
        try:
            done, _ = await asyncio.wait(
                (*tasks, waiter),
                timeout=at_most.total_seconds() if at_most else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                # Ends of these tasks are faults, not outages.
                task.result()
        finally:
            self._reading = False
            for task in (*tasks, waiter):
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.health.reset()

    async def _follow_while_away(self) -> None:
        """Follows other hosts while the store turns only this one away."""
        position = 0
        while True:
            await self.health.wait_away()
            await asyncio.sleep(_DETOUR_INTERVAL.total_seconds())
            if not self._others or not self.health.is_away:
                continue
            source = self._others[position % len(self._others)]
            if not await self._follow_until_lost(source):
                position += 1

    async def _follow_until_lost(self, source: relay.Peer) -> bool:
        """Follows a host until it fails or the store is back.

        Returns:
            Whether the host was followed at all.
        """
        followed = False
        while self.health.is_away:
            try:
                await self._client.follow_once(source.address)
            except errors.StoreError as error:
                if followed:
                    _LOGGER.info(
                        "host no longer followed",
                        extra={"peer": source.host, "cause": error.message},
                    )
                    self._view.set_store_away(self.health.is_away)
                return followed
            if not followed:
                followed = True
                _LOGGER.info(
                    "following host while the store turns this one away",
                    extra={"peer": source.host},
                )
                self._view.set_store_away(False)
        return followed

    async def _copy_from_seeds(self) -> None:
        """Takes what another host knows if the store does not answer."""
        while True:
            await asyncio.sleep(_COPY_INTERVAL.total_seconds())
            for address in self._seeds:
                if self._view.is_complete:
                    break
                try:
                    await self._client.copy_once(address)
                except errors.StoreError as error:
                    _LOGGER.info(
                        "no copy taken", extra={"cause": error.message}
                    )

    async def _probe(self) -> bool:
        """Makes a cheap call, which may find a version or a lost history."""
        name = self._configuration.name
        revision = self._view.mirror_by_topic[name].revision
        if revision is None:
            return False
        try:
            batch = await self._configuration.peek(revision)
        except errors.HistoryGoneError:
            if revision == self._view.mirror_by_topic[name].revision:
                self._read_all()
            return True
        if batch.documents:
            self._view.take(name, batch)
        return True

    def _store_changed(self, away: bool) -> None:
        self._view.set_store_away(away)
        if not away:
            for follower in self._followers:
                follower.restart(read_all=False)

    def _read_all(self) -> None:
        """Reads all topics anew, as changes may have been missed."""
        _LOGGER.info("reading all of the store")
        for follower in self._followers:
            follower.restart(read_all=True)
