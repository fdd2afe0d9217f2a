"""Follows the store: configuration, leafs and zones out of service."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import logging

from sassafrashold import backoff
from sassafrashold import errors
from sassafrashold import relay
from sassafrashold.front import _interfaces

_LOGGER = logging.getLogger(__name__)
# Every call has a price, so a waiting one lasts nearly as long as is allowed.
_WATCH_WAIT = datetime.timedelta(seconds=25)
# Calls that may come seconds old cost a tenth. One that fails shows an outage,
# one that finds no history shows that waiting calls hear nothing.
_PROBE_INTERVAL = datetime.timedelta(seconds=1)
_AWAY_PROBE_INTERVAL = datetime.timedelta(milliseconds=700)
_BACKOFF = backoff.Backoff(
    base=datetime.timedelta(milliseconds=200),
    cap=datetime.timedelta(milliseconds=1000),
)
_FAILURES_UNTIL_LOST = 2


class StoreHealth:
    """Whether the store answers, as all callers of this host have seen."""

    def __init__(
        self,
        probe: Callable[[], Awaitable[bool]],
        on_change: Callable[[bool], None],
    ) -> None:
        """Initializes the task.

        Args:
            probe: Makes a cheap call; raises StoreError while the store is
                away, and returns False if there was nothing to ask.
            on_change: Called with True when the store is lost and False when
                it is back.
        """
        self._probe = probe
        self._on_change = on_change
        self._back = asyncio.Event()
        self._back.set()
        self._away = asyncio.Event()
        self._confirmed = False

    @property
    def is_away(self) -> bool:
        """Whether the last call failed."""
        return not self._back.is_set()

    @property
    def is_confirmed(self) -> bool:
        """Whether the store has answered since it is called, and still does."""
        return self._confirmed and not self.is_away

    async def run(self) -> None:
        """Probes the store until cancelled."""
        while True:
            try:
                answered = await self._probe()
            except errors.StoreError as error:
                self.note_lost(error)
            else:
                self._note_back()
                if answered:
                    self.note_answer()
            interval = _AWAY_PROBE_INTERVAL if self.is_away else _PROBE_INTERVAL
            await asyncio.sleep(interval.total_seconds())

    def note_answer(self) -> None:
        """Notes that the store has answered a call."""
        self._confirmed = True

    async def wait_back(self) -> None:
        """Waits until the store answers."""
        await self._back.wait()

    async def wait_away(self) -> None:
        """Waits until the store is lost."""
        await self._away.wait()

    def note_lost(self, error: errors.StoreError) -> None:
        """Notes a failed call."""
        if self.is_away:
            return
        self._back.clear()
        self._away.set()
        _LOGGER.warning("store lost", extra={"cause": error.message})
        self._on_change(True)

    def reset(self) -> None:
        """Forgets what was seen, as the store is no longer called."""
        self._confirmed = False
        self._away.clear()
        self._back.set()

    def _note_back(self) -> None:
        if not self.is_away:
            return
        self._away.clear()
        self._back.set()
        _LOGGER.info("store is back")
        self._on_change(False)


class Follower:
    """Reads all documents of a topic, then follows the changes."""

    def __init__(
        self,
        topic: _interfaces.Topic[object],
        mirror: relay.Mirror,
        health: StoreHealth,
        take: Callable[[str, relay.Batch], None],
        on_history_gone: Callable[[], None],
        pause: datetime.timedelta,
    ) -> None:
        """Initializes the task.

        Args:
            topic: What to follow.
            mirror: Copy of the topic, which says where to continue.
            health: Knows when the store is away.
            take: Gets the name of the topic and what was read.
            on_history_gone: Called when changes may have been missed; other
                topics may have missed some too.
            pause: Time between two calls, so that changes that come together
                are read together.
        """
        self._topic = topic
        self._mirror = mirror
        self._health = health
        self._take = take
        self._on_history_gone = on_history_gone
        self._pause = pause
        self._call: asyncio.Task[None] | None = None
        self._read_all = False

    def restart(self, *, read_all: bool) -> None:
        """Ends a waiting call, which may never hear anything.

        Args:
            read_all: Whether changes may have been missed.
        """
        self._read_all = self._read_all or read_all
        if self._call is not None:
            self._call.cancel()

    async def run(self) -> None:
        """Follows until cancelled."""
        failures = 0
        while True:
            self._call = asyncio.create_task(self._step())
            try:
                await self._call
            except asyncio.CancelledError:
                current = asyncio.current_task()
                if current is not None and current.cancelling():
                    self._call.cancel()
                    raise
            except errors.HistoryGoneError:
                _LOGGER.warning(
                    "store has dropped its history; reading all",
                    extra={
                        "topic": self._topic.name,
                        "revision": self._mirror.revision,
                    },
                )
                self._call = None
                self._on_history_gone()
            except errors.StoreError as error:
                failures += 1
                await asyncio.sleep(_BACKOFF.delay(failures).total_seconds())
                # A waiting call may be cut while the store is well.
                if failures >= _FAILURES_UNTIL_LOST:
                    self._health.note_lost(error)
                    await self._health.wait_back()
            else:
                failures = 0
                self._health.note_answer()

    async def _step(self) -> None:
        revision = self._mirror.revision
        if revision is None or self._read_all:
            batch = await self._topic.snapshot()
            self._read_all = False
            self._take(self._topic.name, batch)
            return
        batch = await self._topic.changes(revision, _WATCH_WAIT)
        self._take(self._topic.name, batch)
        await asyncio.sleep(self._pause.total_seconds())
