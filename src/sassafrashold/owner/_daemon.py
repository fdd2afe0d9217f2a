"""Wires the owner daemon together and runs it."""

import asyncio
from collections.abc import Callable
import contextlib
import datetime
import itertools
import logging
from typing import Any
import uuid

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import process
from sassafrashold import rpc
from sassafrashold import views
from sassafrashold import wire
from sassafrashold.owner import _messages
from sassafrashold.owner import _registry
from sassafrashold.owner import _rights
from sassafrashold.owner import _service
from sassafrashold.owner import _settings
from sassafrashold.owner import _status
from sassafrashold.telemetry import tracing

_LOGGER = logging.getLogger(__name__)
_POLL_INTERVAL_S = 0.25
_POLL_TIMEOUT = datetime.timedelta(seconds=1)
_GAUGE_INTERVAL = datetime.timedelta(seconds=2)
_DRAIN_CHECK_S = 0.02
_FINISH_TIME = datetime.timedelta(seconds=3)
# Callers close their connections within a round trip of the announcement.
_FAREWELL_TIME = datetime.timedelta(seconds=1)
_QUIET_TIME = datetime.timedelta(milliseconds=500)


class Daemon:
    """The parts of one owner process."""

    def __init__(
        self,
        settings: _settings.OwnerSettings,
        clock: clock_lib.Clock,
    ) -> None:
        self._settings = settings
        self.address = settings.listen
        self._clock = clock
        self._metrics = process.metrics_for("owner", settings)
        self._tracer = tracing.Tracer(
            "owner", settings.host, settings.trace_file
        )
        self.rights = _rights.Rights(
            settings.host,
            settings.zone,
            clock,
            settings.static_share_slots,
        )
        self._control = rpc.Client(settings.control, clock, self._metrics)
        self._feed = views.Feed(
            rpc.Client(settings.control, clock, self._metrics), "owner", clock
        )
        self._pool = rpc.Pool(clock, self._metrics)
        self.registry = _registry.Registry(
            _messages.Context(
                clock,
                self.rights,
                lambda: self._feed.current,
                self._metrics,
                self._tracer,
                itertools.count(1),
                settings.trace_file is not None,
            )
        )
        self._service = _service.Service(
            clock,
            self.rights,
            lambda: self._feed.current,
            self.registry,
            self._pool,
            self._tracer,
            self._metrics,
        )
        self._server = rpc.Server(
            {
                "scatter": self._service.scatter,
                "dispatch": self._service.dispatch,
                "status": self._status,
            },
            clock,
            self._metrics,
        )
        self._poll_now = asyncio.Event()
        self._leaving = False
        self._released_epoch = -1
        self._reported_epoch = -1
        self._next_gauges = datetime.timedelta()

    async def run(self, stopping: asyncio.Event) -> None:
        """Serves until `stopping` is set, then drains."""
        self.address = await self._server.start(self._settings.listen)
        # Drawn after the bind: a new incarnation on this address proves that
        # the previous process has ended.
        self.rights.incarnation = uuid.uuid4().hex
        _LOGGER.info(
            "listening",
            extra={
                "address": str(self.address),
                "incarnation": self.rights.incarnation,
            },
        )
        subscription = self._feed.views.subscribe(self._on_view)
        tasks = [
            asyncio.create_task(self._feed.run()),
            asyncio.create_task(self._poll()),
        ]
        try:
            await self._until_stopped(stopping)
            await self._drain()
        finally:
            subscription.dispose()
            await self._close(tasks)

    async def _until_stopped(self, stopping: asyncio.Event) -> None:
        """Waits for the signal.

        Raises:
            LeaseError: A leaf task failed. Its calls are not counted any more,
                so the process ends and starts again with a new incarnation.
        """
        waits = [
            asyncio.create_task(event.wait())
            for event in (stopping, self.registry.failed)
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        if self.registry.failed.is_set():
            raise errors.LeaseError(
                errors.ErrorCode.INTERNAL, "the state of a leaf is lost"
            )

    def _on_view(self, view: views.View) -> None:
        zone_lease = view.lease_by_zone.get(self._settings.zone)
        if zone_lease is not None:
            known = self.rights.entitlement.epoch
            self.rights.on_lease(zone_lease)
            if self.rights.entitlement.epoch > known:
                self._log_epoch()
                self._poll_now.set()
        self.registry.sync()

    async def _poll(self) -> None:
        """Asks control for the entitlement, at once after a change."""
        while True:
            self._poll_now.clear()
            try:
                await self._ask_control()
            except (errors.RpcError, wire.CodecError) as error:
                self._metrics.count("owner.entitlement_failures")
                _LOGGER.debug("no entitlement", extra={"error": str(error)})
            if self._clock.monotonic() >= self._next_gauges:
                self._next_gauges = self._clock.monotonic() + _GAUGE_INTERVAL
                self._report_metrics()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_POLL_INTERVAL_S):
                    await self._poll_now.wait()

    async def _ask_control(self) -> None:
        self._update_released()
        released = self._released_epoch
        sent = self._clock.monotonic()
        answer = await self._control.call(
            "entitlement",
            wire.encode(
                wire.messages.EntitlementRequest(
                    incarnation=self.rights.incarnation,
                    released_epoch=released,
                    leaving=self._leaving,
                )
            ),
            deadline=self._clock.now() + _POLL_TIMEOUT,
        )
        reply = wire.decode(wire.messages.EntitlementReply, answer)
        self._reported_epoch = released
        before = self.rights.entitlement
        self.rights.on_report(reply, sent)
        if self.rights.entitlement.epoch != before.epoch:
            self._log_epoch()
            self._poll_now.set()
        self.registry.sync()

    def _log_epoch(self) -> None:
        known = self.rights.entitlement
        _LOGGER.info(
            "adopted epoch",
            extra={"epoch": known.epoch, "members": list(known.members)},
        )

    def _update_released(self) -> None:
        """Notes the epoch if nothing is in flight on leafs of others."""
        self.registry.reap()
        if self.registry.released():
            self._released_epoch = self.rights.entitlement.epoch

    def _report_metrics(self) -> None:
        for leaf_id, task in self.registry.task_by_leaf.items():
            state = task.aggregate.state
            name = f"leaf.{leaf_id.replace('.', '_')}"
            self._metrics.gauge(f"{name}.in_use", state.in_use())
            self._metrics.gauge(f"{name}.window", state.window)
            self._metrics.gauge(f"{name}.queued", len(task.aggregate.queue))

    async def _status(self, context: rpc.RequestContext, body: bytes) -> bytes:
        del context, body
        return _status.encode(
            self._feed.current,
            self.rights,
            self.registry,
            self._clock.monotonic(),
            leaving=self._leaving,
            released_epoch=self._released_epoch,
        )

    async def _drain(self) -> None:
        """Hands the leafs over and finishes what was accepted."""
        _LOGGER.info("leaving")
        self._leaving = True
        self._poll_now.set()
        drain = clock_lib.from_ms(self._settings.drain_ms)
        end = self._clock.monotonic() + drain
        await self._wait(self._handed_over, end)
        # Entries that have not seen the new epoch yet are still forwarded.
        await self._wait(self._quiet, end)
        self._service.refusing = True
        await self._wait(self._finished, self._clock.monotonic() + _FINISH_TIME)
        await self._server.drain(_FAREWELL_TIME)

    async def _wait(
        self, condition: Callable[[], bool], end: datetime.timedelta
    ) -> None:
        """Waits for a condition, at most until a monotonic time."""
        # The conditions depend on time and on many tasks, so there is no
        # single event to wait for.
        while not condition() and self._clock.monotonic() < end:  # noqa: ASYNC110
            await asyncio.sleep(_DRAIN_CHECK_S)

    def _handed_over(self) -> bool:
        """Returns whether the lease names this process no longer."""
        known = self.rights.entitlement
        return self.rights.static or (known.epoch >= 0 and not known.member)

    def _quiet(self) -> bool:
        idle_for = self._clock.monotonic() - self._service.last_arrival
        return idle_for >= _QUIET_TIME

    def _finished(self) -> bool:
        if self._service.open_requests or not self.registry.idle():
            return False
        reported = self._reported_epoch >= self.rights.entitlement.epoch
        if not reported:
            self._poll_now.set()
        return reported

    async def _close(self, tasks: list[asyncio.Task[Any]]) -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._server.close()
        await self.registry.close()
        await self._pool.close()
        await self._control.close()
        self._tracer.shutdown()


async def run(
    settings: _settings.OwnerSettings, stopping: asyncio.Event
) -> None:
    """Runs the daemon until it has drained."""
    await Daemon(settings, clock_lib.SystemClock()).run(stopping)
