"""The entry daemon: sockets, tasks and their life."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import dataclasses
import datetime
import logging
import operator

from aiohttp import web
import reactivex
from reactivex import abc as reactive
from reactivex import operators

from sassafrashold import admission
from sassafrashold import clock as clock_lib
from sassafrashold import dispatch
from sassafrashold import process
from sassafrashold import rpc
from sassafrashold import search
from sassafrashold import settings
from sassafrashold import table as table_lib
from sassafrashold import views
from sassafrashold.entry import _claims
from sassafrashold.entry import _dispatch_handler
from sassafrashold.entry import _http
from sassafrashold.entry import _readiness
from sassafrashold.entry import _recent
from sassafrashold.entry import _search_handler
from sassafrashold.entry import _sender
from sassafrashold.entry import _settings
from sassafrashold.entry import _status
from sassafrashold.telemetry import tracing

_LOGGER = logging.getLogger(__name__)
_TIDY_INTERVAL_S = 5.0
# A request can use an owner until its deadline after the owner left the lease.
_POOL_RETENTION = datetime.timedelta(seconds=65)


@dataclasses.dataclass(frozen=True)
class PlatformParts:
    """What the daemon needs of the platform."""

    dispatcher: dispatch.Dispatcher
    """Runs dispatches under claims."""

    delete_claims: _claims.DeleteBatch
    """Deletes a batch of expired claims."""

    gateway: Mapping[str, rpc.Handler]
    """Methods that the local control calls."""

    close: Callable[[], Awaitable[None]]
    """Called at the end."""


class Daemon:
    """Serves callers until it is told to stop."""

    def __init__(
        self,
        values: _settings.EntrySettings,
        clock: clock_lib.Clock,
        platform: PlatformParts,
    ) -> None:
        self._values = values
        self._clock = clock
        self._platform = platform
        self._metrics = process.metrics_for("entry", values)
        self._tracer = tracing.Tracer("entry", values.host, values.trace_file)
        self._pool = rpc.Pool(clock, self._metrics)
        self._control = rpc.Client(values.control, clock, self._metrics)
        self._owner = rpc.Client(values.owner, clock, self._metrics)
        self.feed = views.Feed(self._control, "entry", clock)
        self.gate = admission.Gate(clock, self._metrics)
        self.searcher = search.Searcher(
            lambda: self.feed.current,
            self._pool,
            clock,
            self._tracer,
            self._metrics,
            by_zone=values.combine == "zone",
            hedging=values.hedging,
        )
        self._recent = _recent.RecentRequests()
        self._readiness = _readiness.Readiness(self.feed, values.zone, clock)
        self._status = _status.Status(
            values.host,
            self.feed,
            self._readiness,
            self.gate,
            self.searcher,
            {"control": self._control, "owner": self._owner},
            clock,
        )
        self._http = self._make_http()
        self._last_use_by_address: dict[
            settings.Address, datetime.timedelta
        ] = {}
        self.http_address: settings.Address | None = None
        self.thrift_address: settings.Address | None = None

    async def run(self, stopping: asyncio.Event) -> None:
        """Runs until `stopping` is set, then drains."""
        subscription = self._follow_view()
        server = rpc.Server(
            {**self._platform.gateway, "status": self._status.handle},
            self._clock,
            self._metrics,
        )
        runner = web.AppRunner(
            self._http.app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.0,
        )
        async with asyncio.TaskGroup() as tasks:
            background = [
                tasks.create_task(self.feed.run()),
                tasks.create_task(self.gate.watch_lag()),
                tasks.create_task(self._tidy()),
                tasks.create_task(
                    _claims.clean_up(
                        lambda: self.feed.current,
                        self._values.host,
                        self._platform.delete_claims,
                    )
                ),
            ]
            try:
                self.thrift_address = await server.start(
                    self._values.listen_thrift
                )
                site = await self._listen(runner)
                await stopping.wait()
                await self._drain(site)
            finally:
                for task in background:
                    task.cancel()
                subscription.dispose()
                await runner.cleanup()
                await server.close()
                await self._close_clients()

    def _make_http(self) -> _http.HttpApp:
        searches = _search_handler.SearchHandler(
            self.feed,
            self.gate,
            self.searcher,
            self._clock,
            self._tracer,
            self._metrics,
            self._recent,
        )
        dispatches = _dispatch_handler.DispatchHandler(
            self.feed,
            self.gate,
            self._platform.dispatcher,
            _sender.Sender(
                self.searcher, self._pool, self._clock, self._tracer
            ),
            self._clock,
            self._tracer,
            self._metrics,
            self._recent,
        )
        return _http.HttpApp(
            searches,
            dispatches,
            self._status,
            self._readiness,
            self._recent,
            self._metrics,
        )

    def _follow_view(self) -> reactive.DisposableBase:
        """Takes over the priority classes of each new table."""
        tables: reactivex.Observable[table_lib.Table | None]
        tables = self.feed.views.pipe(operators.map(_table_of))
        return tables.pipe(
            operators.distinct_until_changed(comparer=operator.is_),
        ).subscribe(on_next=self._take_table)

    def _take_table(self, table: table_lib.Table | None) -> None:
        if table is not None:
            self.gate.configure(table)

    async def _listen(self, runner: web.AppRunner) -> web.TCPSite:
        await runner.setup()
        address = self._values.listen_http
        site = web.TCPSite(runner, address.ip, address.port)
        await site.start()
        ip, port = runner.addresses[0][:2]
        self.http_address = settings.Address(ip, port)
        _LOGGER.info("listening", extra={"address": str(self.http_address)})
        return site

    async def _drain(self, site: web.TCPSite) -> None:
        """Lets the balancer move away and finishes what is under way."""
        self._readiness.is_stopping = True
        _LOGGER.info("draining", extra={"under_way": self._http.under_way})
        await asyncio.sleep(self._values.balancer_ms / 1000)
        await site.stop()
        self._http.is_refusing = True
        drain_time = clock_lib.from_ms(self._values.drain_ms)
        end = self._clock.monotonic() + drain_time
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(drain_time.total_seconds()):
                await self._http.wait_idle()
        left = max(end - self._clock.monotonic(), datetime.timedelta())
        lost = await self._platform.dispatcher.drain(left)
        if lost:
            _LOGGER.warning(
                "results of dispatches were not recorded",
                extra={"records": lost},
            )
        if self._http.under_way:
            _LOGGER.warning(
                "requests are cut off at the end of the drain time",
                extra={"under_way": self._http.under_way},
            )

    async def _tidy(self) -> None:
        """Forgets leafs and connections that are no longer in use."""
        while True:
            await asyncio.sleep(_TIDY_INTERVAL_S)
            view = self.feed.current
            now = self._clock.monotonic()
            self.searcher.tracker.expire(now)
            if view.shardmap_by_service:
                self.searcher.tracker.retain(
                    frozenset(
                        leaf_id
                        for shardmap in view.shardmap_by_service.values()
                        for leaf_id in shardmap.leaf_by_id
                    )
                )
            for zone_lease in view.lease_by_zone.values():
                for member in zone_lease.members:
                    self._last_use_by_address[member.owner] = now
            self._last_use_by_address = {
                address: used
                for address, used in self._last_use_by_address.items()
                if now - used < _POOL_RETENTION
            }
            await self._pool.retain(frozenset(self._last_use_by_address))

    async def _close_clients(self) -> None:
        await self._control.close()
        await self._owner.close()
        await self._pool.close()
        await self._platform.close()
        self._tracer.shutdown()


def _table_of(view: views.View) -> table_lib.Table | None:
    return view.table
