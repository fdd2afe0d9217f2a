"""Selects the source of the view: the store or another host."""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import datetime
import logging
import random
from typing import Any

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import relay
from sassafrashold import settings
from sassafrashold import telemetry
from sassafrashold.front import _follower
from sassafrashold.front import _peers
from sassafrashold.front import _view

_LOGGER = logging.getLogger(__name__)
# A host that hears from none of its sources reads the store, and tries them
# again at this interval.
_SOURCE_RETRY_INTERVAL = datetime.timedelta(seconds=6)
# A source that is alive answers a poll for changes within 0.8 s. One that is
# silent for longer is still waited for, but the next one is asked as well, and
# so on at shorter intervals.
_POLL_SILENCE = datetime.timedelta(milliseconds=1000)
_NEXT_SOURCE_DELAY = datetime.timedelta(milliseconds=200)
# After this time without an answer of any source the host reads the store.
# Operators expect a configuration to be in force within 3 s.
_MAX_SILENCE = datetime.timedelta(milliseconds=2000)
# The same for a host without a copy, which is large and may take over a second
# when a whole zone starts.
_MAX_STARTUP_SILENCE = datetime.timedelta(milliseconds=3000)
# Followers whose sources are alive and without the store ask again after this
# time. The store is then likely to fail them as well, so the hosts of a zone
# try it at this rate in all: it may turn away only some of them.
_WITHOUT_STORE_PAUSE = datetime.timedelta(milliseconds=400)
_STORE_TRIES_PER_SECOND = 1.0
# A host without a copy asks its sources, which may be starting as well, this
# many times before it reads the store.
_STARTUP_PAUSE = datetime.timedelta(milliseconds=50)
_MAX_STARTUP_POLLS = 6
# While the store refuses or does not answer this host, it asks another host at
# this interval until it finds one that the store serves.
_PEER_FALLBACK_INTERVAL = datetime.timedelta(milliseconds=400)
# Leaf entries change in bursts. The delay is safe because a draining leaf still
# serves requests for longer than this.
_LEAF_BATCHING_DELAY = datetime.timedelta(milliseconds=400)
# A healthy store answers a starting host in a fraction of this time.
_SEED_COPY_INTERVAL = datetime.timedelta(milliseconds=500)
_NO_WAIT = datetime.timedelta()
_CONFIGURATION_BATCHING_DELAY = datetime.timedelta(milliseconds=50)
# A long poll whose answer is lost looks like one that waits, until it ends and
# the round trip is over. Longer polls would make fewer calls, each of which has
# a cost. Hosts must know of versions and of leafs that drain as soon as the
# store counts as stable, 4 s after its last lost answer.
_LONG_POLL_TIMEOUT = datetime.timedelta(milliseconds=3250)
# They must know of zones out of service 5 s after the operator.
_ZONES_LONG_POLL_TIMEOUT = datetime.timedelta(milliseconds=4200)
# For each kind of line about a new era or missed changes; a store that changes
# its era in a loop must not fill the log.
_MAX_STORE_LINES_PER_SECOND = 5


@dataclasses.dataclass(frozen=True)
class _SourcePoll:
    """Outcome of polling the sources."""

    answered: relay.Peer | None
    """The source that answered; None if none did."""

    error_by_source: Mapping[relay.Peer, errors.StoreError]
    """The sources that did not, and why."""


class Sourcing:
    """Keeps the view up to date, from the store or from another host."""

    def __init__(
        self,
        view: _view.View,
        topics: _view.Topics,
        client: _peers.PeerClient,
        seeds: Sequence[settings.Address],
        random_source: random.Random,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        """Initializes the task.

        Args:
            view: All batches that were read are applied to it.
            topics: Topics to read from the store.
            client: Reads from other hosts.
            seeds: Hosts to copy from if the store is unavailable at the start.
            random_source: Selects the followers that try the store.
            clock: Limits log lines; the clock of the operating system if None.
        """
        self._log_budget = telemetry.LineBudget(
            _MAX_STORE_LINES_PER_SECOND, clock or clock_lib.SystemClock()
        )
        self._random = random_source
        self._zone_hosts = 1
        self._follows_reader = False
        self._seeds = tuple(seeds)
        self._source_decided = asyncio.Event()
        self._view = view
        self._client = client
        self._sources: tuple[relay.Peer, ...] = ()
        # Name of the source that answered last; it is asked first.
        self._last_source = ""
        self._other_hosts: tuple[relay.Peer, ...] = ()
        self._sources_changed = asyncio.Event()
        self._configuration = topics.configuration
        self._configuration_mirror = view.mirror_by_topic[
            topics.configuration.name
        ]
        topics.eras.on_rise = self._on_new_era
        self._reading_store = False
        self.health = _follower.StoreHealth(
            self._probe, self._on_store_health_change
        )
        self._followers = tuple(
            _follower.Follower(
                topic,
                view.mirror_by_topic[topic.name],
                self.health,
                view.apply_batch,
                self._restart_from_snapshots,
                long_poll_timeout,
                batching_delay,
                topics.eras,
            )
            for topic, long_poll_timeout, batching_delay in (
                (
                    topics.configuration,
                    _LONG_POLL_TIMEOUT,
                    _CONFIGURATION_BATCHING_DELAY,
                ),
                (topics.leafs, _LONG_POLL_TIMEOUT, _LEAF_BATCHING_DELAY),
                (
                    topics.zones_out,
                    _ZONES_LONG_POLL_TIMEOUT,
                    _CONFIGURATION_BATCHING_DELAY,
                ),
            )
        )

        self._configuration_follower = self._followers[0]

    @property
    def has_lost_store(self) -> bool:
        """Whether this host reads the store and the store does not answer."""
        return self._reading_store and self.health.is_unavailable

    @property
    def reads_store(self) -> bool:
        """Whether this host reads the store, so that other hosts may follow.

        False until the store has answered and every topic has been read.
        """
        return (
            self._reading_store
            and self.health.is_confirmed
            and self._view.is_complete
        )

    @property
    def relays_store(self) -> bool:
        """Whether this host reads the store or follows a host that does."""
        return self.reads_store or (
            self._follows_reader and self._view.is_complete
        )

    def set_sources(
        self, sources: Sequence[relay.Peer], zone_hosts: int
    ) -> None:
        """Sets the hosts to follow, in order of preference.

        Args:
            sources: Hosts to follow; empty makes this host read the store.
            zone_hosts: Number of hosts in the zone.
        """
        self._source_decided.set()
        self._zone_hosts = max(zone_hosts, 1)
        if tuple(sources) != self._sources:
            self._sources = tuple(sources)
            self._sources_changed.set()

    def set_other_hosts(self, hosts: Sequence[relay.Peer]) -> None:
        """Sets the hosts to follow while the store is unavailable to this host.

        Args:
            hosts: All other live hosts of the system.
        """
        self._other_hosts = tuple(hosts)

    def start_without_peers(self) -> None:
        """Starts with reading the store, as other hosts are not known yet."""
        self._source_decided.set()

    async def run(self) -> None:
        """Keeps the view up to date until cancelled."""
        await self._source_decided.wait()
        while True:
            self._sources_changed.clear()
            if self._sources:
                await self._follow_hosts()
                await self._read_store(until_source_answers=True)
            else:
                await self._read_store(until_source_answers=False)

    async def _follow_hosts(self) -> None:
        """Follows the sources until this host should read the store itself.

        That is when none of them answers. If the readers among them are alive
        and without the store, it is for a few hosts of the zone only.
        """
        following = ""
        startup_polls = 0
        # The latest failures in a row, by source.
        error_by_source: dict[relay.Peer, errors.StoreError] = {}
        while self._sources:
            # Once all have failed, each poll asks the one that failed first.
            untried = [s for s in self._sources if s not in error_by_source]
            oldest = [s for s in error_by_source if s in self._sources][:1]
            poll = await self._poll_sources(
                sorted(untried, key=lambda s: s.host != self._last_source)
                or oldest
            )
            for source, error in poll.error_by_source.items():
                if source not in error_by_source:
                    _LOGGER.info(
                        "host not followed",
                        extra={"peer": source.host, "cause": error.message},
                    )
                error_by_source.pop(source, None)
                error_by_source[source] = error
            if poll.answered is not None:
                error_by_source.clear()
                self._last_source = poll.answered.host
                if poll.answered.host != following:
                    following = poll.answered.host
                    _LOGGER.info("following host", extra={"peer": following})
                    # The other host knows the store's state.
                    self._view.set_store_unavailable(False)
                continue
            if not any(
                isinstance(
                    error_by_source.get(reader), errors.SourceWithoutStoreError
                )
                for reader in self._sources[: relay.READER_COUNT]
            ):
                return
            if self._view.is_complete:
                if self._is_chosen_to_try_store():
                    return
                await asyncio.sleep(_WITHOUT_STORE_PAUSE.total_seconds())
            else:
                startup_polls += 1
                if startup_polls > _MAX_STARTUP_POLLS:
                    return
                await asyncio.sleep(_STARTUP_PAUSE.total_seconds())

    async def _poll_sources(self, sources: Sequence[relay.Peer]) -> _SourcePoll:
        """Polls hosts until one answers.

        The next host is asked as well when one fails or is silent, as it may
        have no power or be behind a partition. All silent ones together are
        waited for no longer than `_MAX_SILENCE`: a host that hears from nobody
        acts on an old configuration, or on none.

        Args:
            sources: The hosts, in order of preference.
        """
        waiting = list(sources)
        error_by_source: dict[relay.Peer, errors.StoreError] = {}
        source_by_task: dict[asyncio.Task[None], relay.Peer] = {}
        # A first copy is large: it takes longer than a poll for changes, and
        # must not be sent by several hosts at the same time.
        overlaps = self._view.is_complete
        loop = asyncio.get_running_loop()
        max_silence = _MAX_SILENCE if overlaps else _MAX_STARTUP_SILENCE
        deadline = loop.time() + max_silence.total_seconds()
        patience = _POLL_SILENCE
        answered = None
        try:
            while answered is None and (waiting or source_by_task):
                if waiting:
                    source = waiting.pop(0)
                    task = loop.create_task(
                        self._client.follow_once(source.address)
                    )
                    source_by_task[task] = source
                time_left = deadline - loop.time()
                if waiting and overlaps:
                    time_left = min(patience.total_seconds(), time_left)
                done, _ = await asyncio.wait(
                    source_by_task,
                    timeout=max(time_left, 0),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    patience = _NEXT_SOURCE_DELAY
                    if loop.time() >= deadline:
                        break
                for task in done:
                    source = source_by_task.pop(task)
                    try:
                        task.result()
                    except errors.StoreError as error:
                        error_by_source[source] = error
                    else:
                        answered = source
        finally:
            for task in source_by_task:
                task.cancel()
            await asyncio.gather(*source_by_task, return_exceptions=True)
        if answered is None:
            for source in (*source_by_task.values(), *waiting):
                error_by_source[source] = _silent_error(source)
        return _SourcePoll(answered, error_by_source)

    async def _wait_for_source(self) -> None:
        """Returns when a source answers or the store is lost as well."""
        while True:
            await asyncio.sleep(_SOURCE_RETRY_INTERVAL.total_seconds())
            if not self.health.is_confirmed:
                return
            if self._sources:
                poll = await self._poll_sources(self._sources)
                if poll.answered is not None:
                    self._last_source = poll.answered.host
                    return

    def _is_chosen_to_try_store(self) -> bool:
        tries = _STORE_TRIES_PER_SECOND * _WITHOUT_STORE_PAUSE.total_seconds()
        return self._random.random() * self._zone_hosts < tries

    async def _read_store(self, *, until_source_answers: bool) -> None:
        """Reads the store until the hosts to follow change.

        Args:
            until_source_answers: Whether to stop also when this host can
                follow another one again.
        """
        _LOGGER.info("reading the store")
        self._reading_store = True
        self._view.set_store_unavailable(self.health.is_unavailable)
        tasks = [
            asyncio.create_task(task)
            for task in (
                *(follower.run() for follower in self._followers),
                self.health.run(),
                self._copy_from_seeds(),
                self._follow_while_store_unavailable(),
            )
        ]
        waiters: list[asyncio.Task[Any]] = [
            asyncio.create_task(self._sources_changed.wait())
        ]
        if until_source_answers:
            waiters.append(asyncio.create_task(self._wait_for_source()))
        try:
            done, _ = await asyncio.wait(
                (*tasks, *waiters), return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                # Raises the exception of a failed task; outages are handled
                # within the tasks.
                task.result()
        finally:
            self._reading_store = False
            self._follows_reader = False
            for task in (*tasks, *waiters):
                task.cancel()
            await asyncio.gather(*tasks, *waiters, return_exceptions=True)
            self.health.reset()

    async def _follow_while_store_unavailable(self) -> None:
        """Follows other hosts that the store serves while it fails this one."""
        position = 0
        while True:
            await self.health.wait_until_unavailable()
            await asyncio.sleep(_PEER_FALLBACK_INTERVAL.total_seconds())
            if not self._other_hosts or not self.health.is_unavailable:
                continue
            source = self._other_hosts[position % len(self._other_hosts)]
            if not await self._follow_until_failure(source):
                position += 1

    async def _follow_until_failure(self, source: relay.Peer) -> bool:
        """Follows a host until it fails or the store is back.

        Returns:
            Whether the host answered at least once.
        """
        followed = False
        while self.health.is_unavailable:
            try:
                await self._client.follow_once(source.address, direct=True)
            except errors.StoreError as error:
                self._follows_reader = False
                if followed:
                    _LOGGER.info(
                        "host no longer followed",
                        extra={"peer": source.host, "cause": error.message},
                    )
                    self._view.set_store_unavailable(self.health.is_unavailable)
                return followed
            if not followed:
                followed = True
                self._follows_reader = True
                _LOGGER.info(
                    "following host while the store is unavailable to this one",
                    extra={"peer": source.host},
                )
                self._view.set_store_unavailable(False)
        self._follows_reader = False
        return followed

    async def _copy_from_seeds(self) -> None:
        """Copies from seed hosts until the view is complete.

        Lets a host start while the store is unavailable.
        """
        while True:
            await asyncio.sleep(_SEED_COPY_INTERVAL.total_seconds())
            for address in self._seeds:
                if self._view.is_complete:
                    break
                try:
                    await self._client.copy_once(address)
                except errors.StoreError as error:
                    _LOGGER.info(
                        "copying from seed host failed",
                        extra={"cause": error.message},
                    )

    async def _probe(self) -> bool:
        """Makes a cheap call for changes of the configuration.

        Reads the configuration again if there are any, and all topics if the
        store has dropped its history: the long polls have lost an answer, or
        will not get one. What a stale read shows is not applied, as it may come
        from before the store's present era.

        Returns:
            Whether a call was made; False while no position is known.
        """
        mirror = self._configuration_mirror
        position = mirror.position
        if position is None:
            return False
        try:
            batch = await self._configuration.stale_changes(position)
        except errors.HistoryGoneError:
            if position == mirror.position and await self._is_history_gone(
                position
            ):
                self._restart_from_snapshots()
            return True
        if batch.documents and position == mirror.position:
            self._log_budget.info(
                _LOGGER,
                "missed changes",
                "long poll has missed changes",
                {
                    "topic": self._configuration.name,
                    "position": str(position),
                    "shown": str(batch.position),
                },
            )
            self._configuration_follower.restart(from_snapshot=True)
        return True

    async def _is_history_gone(self, position: relay.Position) -> bool:
        """Asks whether current reads lack the changes since a position too.

        A stale read may lag behind a position that the host has reached.
        """
        try:
            await self._configuration.changes(position, _NO_WAIT)
        except errors.HistoryGoneError:
            return position == self._configuration_mirror.position
        return False

    def _on_new_era(self, era: int) -> None:
        """Reads all topics again after the store came back from a copy."""
        positions = {
            name: mirror.position
            for name, mirror in self._view.mirror_by_topic.items()
        }
        if not any(
            position is not None and position.era < era
            for position in positions.values()
        ):
            return
        left_out = self._log_budget.admit("new era")
        if left_out is not None:
            _LOGGER.warning(
                "store has returned from an older copy; reading all",
                extra={
                    "era": era,
                    "positions": {
                        name: _view.position_text(position)
                        for name, position in positions.items()
                    },
                    "lines_left_out": left_out,
                },
            )
        for follower in self._followers:
            follower.restart(from_snapshot=False)

    def _on_store_health_change(self, unavailable: bool) -> None:
        self._view.set_store_unavailable(unavailable)
        if not unavailable:
            for follower in self._followers:
                follower.restart(from_snapshot=False)

    def _restart_from_snapshots(self) -> None:
        """Reads all topics again, as changes may have been missed."""
        _LOGGER.info("reading all topics again")
        for follower in self._followers:
            follower.restart(from_snapshot=True)


def _silent_error(source: relay.Peer) -> errors.StoreError:
    return errors.StoreError(
        errors.ErrorCode.UNAVAILABLE, f"host {source.address}: no answer"
    )
