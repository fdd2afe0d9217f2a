"""The daemon: its tasks, its readiness and its end."""

import asyncio
from collections.abc import Coroutine
import datetime
import logging
import random
from typing import Any

from aiohttp import web

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import directory as directory_lib
from sassafrashold import errors
from sassafrashold import routing
from sassafrashold.front import _follower
from sassafrashold.front import _interfaces
from sassafrashold.front import _leaf_pool
from sassafrashold.front import _metrics
from sassafrashold.front import _registry
from sassafrashold.front import _request_log
from sassafrashold.front import _requests
from sassafrashold.front import _server
from sassafrashold.front import _settings

_LOGGER = logging.getLogger(__name__)
_HOUSEKEEPING_INTERVAL = datetime.timedelta(milliseconds=250)
# Changes of leafs come in bursts; a leaf that drains may be called for longer.
_LEAF_PAUSE = datetime.timedelta(milliseconds=250)
_CONFIGURATION_PAUSE = datetime.timedelta(milliseconds=50)
# The balancer asks once a second and sends callers until two refusals.
_BALANCER_DELAY = datetime.timedelta(seconds=3)
# Shares of the time between SIGTERM and SIGKILL.
_MAX_ACCEPT_SHARE = 0.55
_MAX_DRAIN_SHARE = 0.92
# The last share of a leaf's drain time is left to requests on their way.
_LEAF_DRAIN_SHARE = 0.6
# Entries are listed again within this time after the store is back.
_RELISTED_AFTER = datetime.timedelta(seconds=2)
_BACKLOG = 64


class Daemon:
    """Runs the tasks of one host until it is told to stop."""

    def __init__(
        self,
        values: _settings.FrontSettings,
        protocol: _interfaces.Protocol,
        topics: "Topics",
        registry: _interfaces.HostRegistry,
        clock: clock_lib.Clock,
        random_source: random.Random,
    ) -> None:
        """Initializes the daemon.

        Args:
            values: Settings.
            protocol: How callers and leafs spell messages.
            topics: What is followed in the store.
            registry: The hosts of the system.
            clock: The clock.
            random_source: Ties and splits.
        """
        self._values = values
        self._clock = clock
        self._directory = directory_lib.LeafDirectory(
            directory_lib.ReleaseTimes(
                draining=values.leaf_drain * _LEAF_DRAIN_SHARE,
                lapsed=_RELISTED_AFTER,
            )
        )
        self._table = routing.RouteTable(random_source)
        self._state = calls.CallState(
            values.zone,
            self._directory,
            self._table,
            calls.ShareOfLimits(
                hosts=_registry.assumed_hosts(values.host),
                own_host=values.host,
                extra_calls_ratio=values.extra_calls_ratio,
                extra_calls_burst=values.extra_calls_burst,
                cold_burst_factor=values.cold_burst_factor,
                cold_slack=values.cold_slack,
            ),
            random_source,
        )
        self._pool = _leaf_pool.LeafPool(protocol, clock)
        self._metrics = _metrics.FrontMetrics()
        self._log = _request_log.RequestLog(clock)
        self._server = _server.CallerServer(
            _requests.RequestServer(
                self._table, self._state, self._pool, protocol, clock
            ),
            protocol,
            self._metrics,
            self._log,
            clock,
        )
        self._health = _follower.StoreHealth(self._probe, self._store_changed)
        self._configuration_topic = topics.configuration
        self._configuration = _follower.Follower(
            topics.configuration,
            self._health,
            self._adopt,
            self._adopt,
            self._read_all,
            _CONFIGURATION_PAUSE,
        )
        self._followers = (
            self._configuration,
            _follower.Follower(
                topics.leafs,
                self._health,
                self._list_leafs,
                self._change_leafs,
                self._read_all,
                _LEAF_PAUSE,
            ),
            _follower.Follower(
                topics.zones_out,
                self._health,
                self._list_zones_out,
                self._change_zones_out,
                self._read_all,
                _CONFIGURATION_PAUSE,
            ),
        )
        self._registry = _registry.RegistryTask(
            registry, values.host, values.zone, self._set_hosts, clock
        )
        self._zones_known = False
        self._stopping = False

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return (
            not self._stopping
            and self._table.current is not None
            and self._directory.loaded
            and self._zones_known
        )

    async def run(self, stopping: asyncio.Event) -> None:
        """Serves until the event is set, then drains.

        Args:
            stopping: Set on SIGTERM.
        """
        await self._server.start(self._values.clients)
        runners = [await self._serve_readiness()]
        if self._values.metrics is not None:
            runners.append(await self._serve_metrics())
        tasks = [
            asyncio.create_task(self._guard(task))
            for task in (
                *(follower.run() for follower in self._followers),
                self._health.run(),
                self._registry.run(),
                self._keep_house(),
            )
        ]
        await stopping.wait()
        await self._drain()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for runner in runners:
            await runner.cleanup()
        self._pool.close()

    async def _guard(self, task: Coroutine[Any, Any, None]) -> None:
        """Ends the process if a task fails, as it would be half a daemon."""
        try:
            await task
        except Exception:
            _LOGGER.exception("task failed")
            raise SystemExit(1) from None

    async def _drain(self) -> None:
        began = self._clock.monotonic()
        self._stopping = True
        self._server.drain()
        accept_until = began + min(
            _BALANCER_DELAY, self._values.grace * _MAX_ACCEPT_SHARE
        )
        end = began + self._values.grace * _MAX_DRAIN_SHARE
        _LOGGER.info(
            "draining",
            extra={
                "open_requests": self._server.open_requests,
                "connections": self._server.connections,
            },
        )
        await self._sleep_until(accept_until)
        await self._server.stop_accepting()
        left = end - self._clock.monotonic()
        await self._server.close(max(left.total_seconds(), 0.1))
        _LOGGER.info(
            "drained", extra={"open_requests": self._server.open_requests}
        )

    async def _sleep_until(self, time: datetime.timedelta) -> None:
        delay = time - self._clock.monotonic()
        await asyncio.sleep(max(delay.total_seconds(), 0))

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(_HOUSEKEEPING_INTERVAL.total_seconds())
            now = self._clock.monotonic()
            self._forget(self._directory.forget_expired(now))
            self._pool.close_idle(self._idle_limit)

    def _idle_limit(self, ref: directory_lib.LeafRef) -> int:
        entry = self._directory.entry(ref.leaf_id)
        if entry is None or entry.ref != ref:
            return 0
        return self._state.connections(entry.service, ref.leaf_id)

    def _forget(self, ended: list[directory_lib.LeafRef]) -> None:
        for ref in ended:
            self._pool.forget(ref)
            self._state.forget(ref)

    def _store_changed(self, away: bool) -> None:
        self._directory.set_store_away(away, self._clock.monotonic())
        if not away:
            for follower in self._followers:
                follower.restart(read_all=False)

    async def _probe(self) -> None:
        """Makes a cheap call, which may find a version or a lost history."""
        revision = self._configuration.revision
        if revision is None:
            return
        try:
            found = await self._configuration_topic.peek(revision)
        except errors.HistoryGoneError:
            if revision == self._configuration.revision:
                self._read_all()
            return
        self._adopt(found.items)

    def _read_all(self) -> None:
        """Reads all topics anew, as changes may have been missed."""
        _LOGGER.info("reading all of the store")
        for follower in self._followers:
            follower.restart(read_all=True)

    def _adopt(self, versions: tuple[routing.Configuration, ...]) -> None:
        for configuration in versions:
            before = self._table.current
            if self._table.adopt(configuration):
                _LOGGER.info(
                    "configuration in force",
                    extra={
                        "configuration": configuration.version,
                        "before": before.version if before else None,
                    },
                )

    def _list_leafs(
        self, changes: tuple[directory_lib.LeafChange, ...]
    ) -> None:
        entries = [
            change.entry
            for change in changes
            if isinstance(change, directory_lib.LeafSeen)
        ]
        now = self._clock.monotonic()
        self._forget(self._directory.replace_all(entries, now))
        _LOGGER.info("leafs listed", extra={"leafs": len(entries)})

    def _change_leafs(
        self, changes: tuple[directory_lib.LeafChange, ...]
    ) -> None:
        now = self._clock.monotonic()
        for change in changes:
            self._log_leaf(change)
            self._forget(self._directory.apply(change, now))

    def _log_leaf(self, change: directory_lib.LeafChange) -> None:
        match change:
            case directory_lib.LeafSeen(entry):
                known = self._directory.entry(entry.ref.leaf_id)
                if (
                    known is not None
                    and known.ref == entry.ref
                    and known.draining == entry.draining
                ):
                    return
                _LOGGER.info(
                    "leaf listed",
                    extra={
                        "leaf": entry.ref.leaf_id,
                        "service": entry.service,
                        "leaf_zone": entry.zone,
                        "draining": entry.draining,
                    },
                )
            case directory_lib.LeafRemoved(leaf_id):
                _LOGGER.info("leaf no longer listed", extra={"leaf": leaf_id})

    def _list_zones_out(
        self, changes: tuple[_interfaces.ZoneChange, ...]
    ) -> None:
        self._zones_known = True
        self._set_zones_out({c.zone for c in changes if c.out})

    def _change_zones_out(
        self, changes: tuple[_interfaces.ZoneChange, ...]
    ) -> None:
        zones = set(self._directory.zones_out)
        for change in changes:
            if change.out:
                zones.add(change.zone)
            else:
                zones.discard(change.zone)
        self._set_zones_out(zones)

    def _set_zones_out(self, zones: set[str]) -> None:
        if zones != self._directory.zones_out:
            _LOGGER.info(
                "zones out of service changed", extra={"zones": sorted(zones)}
            )
        self._directory.set_zones_out(zones)

    def _set_hosts(self, hosts: tuple[str, ...]) -> None:
        share = self._state.share
        if hosts == share.hosts:
            return
        _LOGGER.info("live hosts changed", extra={"hosts": len(hosts)})
        self._state.set_share(
            calls.ShareOfLimits(
                hosts=hosts,
                own_host=share.own_host,
                extra_calls_ratio=share.extra_calls_ratio,
                extra_calls_burst=share.extra_calls_burst,
                cold_burst_factor=share.cold_burst_factor,
                cold_slack=share.cold_slack,
            )
        )

    async def _serve_readiness(self) -> web.ServerRunner:
        async def handle(request: web.BaseRequest) -> web.Response:
            if request.path != self._values.readiness_path:
                return web.Response(status=404)
            return web.Response(status=200 if self.is_ready else 503)

        return await _listen(
            handle, self._values.readiness.ip, self._values.readiness.port
        )

    async def _serve_metrics(self) -> web.ServerRunner:
        async def handle(_request: web.BaseRequest) -> web.Response:
            self._set_gauges()
            return web.Response(
                body=self._metrics.text(),
                headers={"Content-Type": _metrics.CONTENT_TYPE},
            )

        address = self._values.metrics
        assert address is not None
        return await _listen(handle, address.ip, address.port)

    def _set_gauges(self) -> None:
        current = self._table.current
        for name, value in (
            ("sassafras_configuration_version", current and current.version),
            ("sassafras_leafs", len(self._directory.entries())),
            ("sassafras_hosts", len(self._state.share.hosts)),
            ("sassafras_ready", self.is_ready),
            ("sassafras_store_away", self._health.is_away),
            ("sassafras_leaf_connections", self._pool.opened),
            ("sassafras_log_lines_left_out", self._log.left_out),
        ):
            self._metrics.gauge(name, float(value or 0))


class Topics:
    """The topics that a daemon follows."""

    def __init__(
        self,
        configuration: _interfaces.PeekableTopic[routing.Configuration],
        leafs: _interfaces.Topic[directory_lib.LeafChange],
        zones_out: _interfaces.Topic[_interfaces.ZoneChange],
    ) -> None:
        """Initializes the set.

        Args:
            configuration: Versions of the configuration.
            leafs: Entries of leafs.
            zones_out: Zones out of service.
        """
        self.configuration = configuration
        self.leafs = leafs
        self.zones_out = zones_out


async def _listen(handler: Any, ip: str, port: int) -> web.ServerRunner:
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, ip, port, backlog=_BACKLOG).start()
    return runner
