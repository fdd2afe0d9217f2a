"""Follows topics of the store and tracks whether the store is available."""

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
# Probes accept answers that are seconds old and cost a tenth of a normal call.
# A failed probe shows an outage; a probe that finds the history dropped shows
# that pending long polls will not get any changes.
_PROBE_INTERVAL = datetime.timedelta(seconds=1)
_UNAVAILABLE_PROBE_INTERVAL = datetime.timedelta(milliseconds=700)
_BACKOFF = backoff.Backoff(
    base=datetime.timedelta(milliseconds=200),
    cap=datetime.timedelta(milliseconds=1000),
)
_FAILURES_UNTIL_UNAVAILABLE = 2


class StoreHealth:
    """Whether the store is available, from the outcomes of all calls to it."""

    def __init__(
        self,
        probe: Callable[[], Awaitable[bool]],
        on_change: Callable[[bool], None],
    ) -> None:
        """Initializes the tracker; the store counts as available.

        Args:
            probe: Makes a cheap call; raises StoreError while the store is
                unavailable, and returns False if it made no call because no
                revision is known yet.
            on_change: Called with True when the store becomes unavailable and
                with False when it is back.
        """
        self._probe = probe
        self._on_change = on_change
        self._available = asyncio.Event()
        self._available.set()
        self._unavailable = asyncio.Event()
        self._confirmed = False

    @property
    def is_unavailable(self) -> bool:
        """Whether the store is considered unavailable."""
        return not self._available.is_set()

    @property
    def is_confirmed(self) -> bool:
        """Whether the store has answered since the last reset and is available.

        Differs from `not is_unavailable` until the first answer: a host that
        begins to read the store does not know yet whether it answers.
        """
        return self._confirmed and not self.is_unavailable

    async def run(self) -> None:
        """Probes the store until cancelled."""
        while True:
            try:
                answered = await self._probe()
            except errors.EarlierEraError as error:
                # Stale reads may lag behind the store's return.
                _LOGGER.info("probe ignored", extra={"cause": error.message})
                self._mark_available()
            except errors.StoreError as error:
                self.mark_unavailable(error)
            else:
                self._mark_available()
                if answered:
                    self.record_answer()
            interval = (
                _UNAVAILABLE_PROBE_INTERVAL
                if self.is_unavailable
                else _PROBE_INTERVAL
            )
            await asyncio.sleep(interval.total_seconds())

    def record_answer(self) -> None:
        """Records that the store has answered a call."""
        self._confirmed = True

    async def wait_until_available(self) -> None:
        """Waits until the store is available; returns at once if it is."""
        await self._available.wait()

    async def wait_until_unavailable(self) -> None:
        """Waits until the store is unavailable; returns at once if it is."""
        await self._unavailable.wait()

    def mark_unavailable(self, error: errors.StoreError) -> None:
        """Marks the store as unavailable after a failed call.

        Args:
            error: Why the call failed; logged.
        """
        if self.is_unavailable:
            return
        self._available.clear()
        self._unavailable.set()
        _LOGGER.warning("store lost", extra={"cause": error.message})
        self._on_change(True)

    def reset(self) -> None:
        """Ends the confirmation, as this host stops using the store.

        Whether the store is available stays as it was seen last.
        """
        self._confirmed = False

    def _mark_available(self) -> None:
        if not self.is_unavailable:
            return
        self._unavailable.clear()
        self._available.set()
        _LOGGER.info("store is back")
        self._on_change(False)


class Follower:
    """Reads a snapshot of a topic, then follows its changes by long polls."""

    def __init__(
        self,
        topic: _interfaces.Topic[object],
        mirror: relay.Mirror,
        health: StoreHealth,
        on_batch: Callable[[str, relay.Batch], None],
        on_history_gone: Callable[[], None],
        long_poll_timeout: datetime.timedelta,
        batching_delay: datetime.timedelta,
        eras: relay.LatestEra,
    ) -> None:
        """Initializes the task.

        Args:
            topic: Topic to follow.
            mirror: Local copy of the topic; its position is where to continue.
            health: Tracks whether the store is available.
            on_batch: Called with the name of the topic and each batch read.
            on_history_gone: Called when the store has dropped changes that
                this follower has not read; other topics may have missed
                changes too.
            long_poll_timeout: How long the store holds a call for changes.
            batching_delay: Time between two calls, so that one call returns
                several changes that are written in a burst.
            eras: Tells when the copy is of an earlier era of the store.
        """
        self._topic = topic
        self._mirror = mirror
        self._health = health
        self._on_batch = on_batch
        self._on_history_gone = on_history_gone
        self._long_poll_timeout = long_poll_timeout
        self._batching_delay = batching_delay
        self._eras = eras
        self._read_task: asyncio.Task[bool] | None = None
        self._needs_snapshot = False

    def restart(self, *, from_snapshot: bool) -> None:
        """Cancels the pending call and makes a new one.

        A long poll from before an outage may never return a change.

        Args:
            from_snapshot: Whether to read a snapshot first, as changes may
                have been missed.
        """
        self._needs_snapshot = self._needs_snapshot or from_snapshot
        if self._read_task is not None:
            self._read_task.cancel()

    async def run(self) -> None:
        """Follows the topic until cancelled."""
        failures = 0
        # Without a successful long poll in between.
        histories_gone = 0
        while True:
            began_at = asyncio.get_running_loop().time()
            self._read_task = asyncio.create_task(self._read_once())
            try:
                polled_changes = await self._read_task
            except asyncio.CancelledError:
                current = asyncio.current_task()
                if current is not None and current.cancelling():
                    self._read_task.cancel()
                    raise
            except errors.HistoryGoneError:
                _LOGGER.warning(
                    "store has dropped its history; reading all",
                    extra={
                        "topic": self._topic.name,
                        "position": str(self._mirror.position),
                    },
                )
                self._read_task = None
                histories_gone += 1
                if histories_gone > 1:
                    # A snapshot has not helped.
                    await asyncio.sleep(
                        _BACKOFF.delay(histories_gone).total_seconds()
                    )
                self._on_history_gone()
            except errors.EarlierEraError as error:
                _LOGGER.info(
                    "answer from before the store's return ignored",
                    extra={"topic": self._topic.name, "cause": error.message},
                )
                await asyncio.sleep(_BACKOFF.delay(1).total_seconds())
            except errors.StoreError as error:
                failures += 1
                if failures == 1:
                    _LOGGER.info(
                        "call to the store failed",
                        extra={
                            "topic": self._topic.name,
                            "position": str(self._mirror.position),
                            "cause": error.message,
                        },
                    )
                # Counted from the start of the call: one that was given up
                # after seconds is made again at once.
                call_s = asyncio.get_running_loop().time() - began_at
                delay_s = _BACKOFF.delay(failures).total_seconds()
                await asyncio.sleep(max(delay_s - call_s, 0.0))
                # A single failure may be a long poll that was cut off while the
                # store is available.
                if failures >= _FAILURES_UNTIL_UNAVAILABLE:
                    self._health.mark_unavailable(error)
                    await self._health.wait_until_available()
            else:
                failures = 0
                self._health.record_answer()
                if polled_changes:
                    histories_gone = 0

    def _snapshot_is_due(self) -> bool:
        position = self._mirror.position
        return (
            position is None
            or self._needs_snapshot
            or position.era < self._eras.value
        )

    async def _read_once(self) -> bool:
        """Reads a snapshot if one is due, or else polls for changes.

        Returns:
            Whether it polled for changes.
        """
        position = self._mirror.position
        if position is None or self._snapshot_is_due():
            batch = await self._topic.snapshot()
            self._needs_snapshot = False
            self._on_batch(self._topic.name, batch)
            return False
        batch = await self._topic.changes(position, self._long_poll_timeout)
        self._on_batch(self._topic.name, batch)
        await asyncio.sleep(self._batching_delay.total_seconds())
        return True
