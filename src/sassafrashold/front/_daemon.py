"""The front daemon: start, readiness, background tasks and drain."""

import asyncio
from collections.abc import Coroutine
import dataclasses
import datetime
import logging
import random
import socket
from typing import Any

from aiohttp import web

from sassafrashold import aggregation
from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import directory as directory_lib
from sassafrashold import relay
from sassafrashold import routing
from sassafrashold import sockets
from sassafrashold import telemetry
from sassafrashold.front import _aggregation
from sassafrashold.front import _client_memory
from sassafrashold.front import _connection_limits
from sassafrashold.front import _connection_server
from sassafrashold.front import _gathering
from sassafrashold.front import _health_sharing
from sassafrashold.front import _interfaces
from sassafrashold.front import _leaf_pool
from sassafrashold.front import _listener
from sassafrashold.front import _metrics
from sassafrashold.front import _peer_http
from sassafrashold.front import _peers
from sassafrashold.front import _reach
from sassafrashold.front import _registry
from sassafrashold.front import _request_bodies
from sassafrashold.front import _request_log
from sassafrashold.front import _requests
from sassafrashold.front import _server
from sassafrashold.front import _settings
from sassafrashold.front import _sourcing
from sassafrashold.front import _view

_LOGGER = logging.getLogger(__name__)
_HOUSEKEEPING_INTERVAL = datetime.timedelta(milliseconds=250)
# The load balancer probes readiness once a second and stops sending callers
# after two failed probes.
_BALANCER_REACTION_TIME = datetime.timedelta(seconds=3)
# Parts of the time between SIGTERM and SIGKILL.
_MAX_ACCEPT_RATIO = 0.55
_MAX_DRAIN_RATIO = 0.92
# Part of a leaf's drain time in which it may get new requests; the rest is
# left for in-flight requests to complete.
_LEAF_DRAIN_RATIO = 0.6
# After the store is back, entries that lapsed during the outage are listed
# again within this time.
_RELISTING_TIME = datetime.timedelta(seconds=2)
# The store removes the entry of a leaf that is silent for this many.
_HEARTBEATS_UNTIL_LAPSE = 3
# Before the first configuration is known.
_UNCONFIGURED_LIMITS = routing.ClientLimits(
    max_header_bytes=2**16,
    max_body_bytes=2**20,
    header_timeout=datetime.timedelta(seconds=30),
    idle_timeout=datetime.timedelta(seconds=30),
)
# On the ports for readiness, metrics and other hosts. Connections to other
# hosts are kept for less than this idle time by those. aiohttp enforces the
# limit on bodies, which is its own default.
_INTERNAL_LIMITS = routing.ClientLimits(
    max_header_bytes=2**14,
    max_body_bytes=2**20,
    header_timeout=datetime.timedelta(seconds=10),
    idle_timeout=datetime.timedelta(seconds=30),
)
# One load balancer and one reader of metrics connect to these ports.
_MAX_PROBE_CONNECTIONS = 32
# Leafs pause often, so the log lines about avoided leafs are rate limited.
_MAX_AVOIDED_LEAF_LINES_PER_SECOND = 5
# A crowd of clients over a limit must not fill the log.
_MAX_CLIENT_LINES_PER_SECOND = 5


class Daemon:
    """Serves callers on one host and runs its background tasks."""

    def __init__(
        self,
        values: _settings.FrontSettings,
        listeners: sockets.Listeners,
        protocol: _interfaces.WireProtocol,
        topics: _view.Topics,
        registry: _interfaces.HostRegistry,
        clock: clock_lib.Clock,
        random_source: random.Random,
    ) -> None:
        """Initializes the daemon.

        Args:
            values: Settings of this host and of its limits.
            listeners: Open sockets for callers and for readiness.
            protocol: Encodes and decodes messages of callers and leafs.
            topics: Topics of the store to follow.
            registry: Lists the hosts of the system.
            clock: Source of monotonic time.
            random_source: Breaks ties between leafs, seeds traffic splits and
                samples leafs to probe.
        """
        self._values = values
        self._listeners = listeners
        self._clock = clock
        self._eras = topics.eras
        self._directory = directory_lib.LeafDirectory(
            directory_lib.GracePeriods(
                draining=values.leaf_drain_time * _LEAF_DRAIN_RATIO,
                store_outage=_RELISTING_TIME,
                older_copy=_HEARTBEATS_UNTIL_LAPSE * values.leaf_heartbeat
                + _RELISTING_TIME,
            )
        )
        self._table = routing.RouteTable(random_source)
        self._state = calls.CallState(
            values.zone,
            self._directory,
            self._table,
            calls.LimitShare(
                hosts=_registry.assumed_hosts(values.host),
                own_host=values.host,
                extra_calls_ratio=values.extra_calls_ratio,
                extra_calls_burst=values.extra_calls_burst,
                extra_calls_window=values.extra_calls_window,
                cold_burst_factor=values.cold_burst_factor,
                cold_slack=values.cold_slack,
            ),
            random_source,
            self._log_avoided_leaf,
            clock.monotonic(),
        )
        self._avoided_leaf_log_budget = telemetry.LineBudget(
            _MAX_AVOIDED_LEAF_LINES_PER_SECOND, clock
        )
        self._client_log_budget = telemetry.LineBudget(
            _MAX_CLIENT_LINES_PER_SECOND, clock
        )
        self._pool = _leaf_pool.LeafPool(
            protocol, clock, values.max_answer_bytes
        )
        self._metrics = _metrics.FrontMetrics()
        self._view = _view.View(
            topics, self._table, self._directory, self._state, self._pool, clock
        )
        self._log = _request_log.RequestLog(clock, self._view.knowledge)
        self._view_complete = asyncio.Event()
        self._client_memory = _client_memory.ClientMemory(
            values.max_client_bytes, clock
        )
        self._requests = _requests.RequestServer(
            self._table,
            self._state,
            self._pool,
            protocol,
            clock,
            self._view_complete,
            self._client_memory,
        )
        # On the ports that callers don't use.
        self._internal_listeners: list[_listener.Listener] = []
        self._server = _server.CallerServer(
            self._requests,
            protocol,
            _request_bodies.RequestBodies(
                values.max_request_bytes,
                lambda: self._client_limits().max_body_bytes,
            ),
            _connection_limits.ConnectionLimits(
                memory=self._client_memory,
                max_header_bytes=lambda: self._client_limits().max_header_bytes,
                max_connections=values.max_caller_connections,
                on_refusal=self._note_caller_refusal,
            ),
            self._metrics,
            self._log,
            clock,
            ends_connections=lambda: self._state.zone_failover.active,
        )
        self._peer_http = _peer_http.PeerHttp()
        self._health = _health_sharing.HealthSharing(
            values.host, self._state, self._peer_http, clock
        )
        self._sourcing = _sourcing.Sourcing(
            self._view,
            topics,
            _peers.PeerClient(self._view, self._peer_http),
            [seed for seed in values.seeds if seed != values.peer_address],
            random_source,
            clock,
        )
        self._peer_server = _peers.PeerServer(
            self._view,
            lambda: self._sourcing.reads_store,
            lambda: self._sourcing.relays_store,
        )
        self._aggregator_choice = aggregation.AggregatorChoice(
            values.host, values.zone, random_source
        )
        self._requests.divided_gather = _gathering.DividedGather(
            self._requests.local_gather,
            _aggregation.AggregationClient(
                self._aggregator_choice, self._state, self._peer_http, clock
            ),
            clock,
        )
        self._aggregation_server = _aggregation.AggregationServer(
            self._requests, lambda: self.is_ready, clock
        )
        self._view.on_change = self._on_view_change
        self._registry = _registry.RegistryTask(
            registry,
            relay.Peer(
                values.host, values.zone, values.peer_address, values.link_mbps
            ),
            values.bootstrap,
            self._update_live_hosts,
            self._sourcing.start_without_peers,
            topics.eras,
            random_source,
            clock,
        )
        self._reach = _reach.ReachTask(
            values.zone,
            self._state,
            self._directory,
            self._pool,
            random_source,
            clock,
            self._health.report_now,
        )
        self._stopping = False

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send callers to this host.

        False while the host drains, until all topics have been read, and while
        hosts of other zones can serve callers better.
        """
        return (
            not self._stopping
            and self._view.is_complete
            and not self._state.zone_failover.active
        )

    async def run(self, stopping: asyncio.Event) -> None:
        """Serves callers until `stopping` is set, then drains.

        Args:
            stopping: Set on SIGTERM.
        """
        now = self._clock.monotonic()
        self._requests.start_queue.started(now, now - self._listeners.opened)
        await self._server.start(self._listeners.clients)
        self._serve_readiness()
        self._serve_peers()
        self._serve_metrics()
        tasks = [
            asyncio.create_task(self._exit_on_failure(task))
            for task in (
                self._sourcing.run(),
                self._registry.run(),
                self._health.run(),
                self._reach.run(),
                self._run_housekeeping(),
            )
        ]
        await stopping.wait()
        drain_deadline = (
            self._clock.monotonic()
            + self._values.shutdown_grace * _MAX_DRAIN_RATIO
        )
        await self._drain(drain_deadline)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._close_internal_ports(drain_deadline)
        await self._peer_http.close()
        self._pool.close()

    async def _exit_on_failure(self, task: Coroutine[Any, Any, None]) -> None:
        """Exits the process if a task fails.

        The daemon can't work with some of its tasks missing.
        """
        try:
            await task
        except Exception:
            _LOGGER.exception("task failed")
            raise SystemExit(1) from None

    async def _drain(self, drain_deadline: datetime.timedelta) -> None:
        drain_start = self._clock.monotonic()
        self._stopping = True
        self._server.drain(drain_deadline)
        accept_deadline = drain_start + min(
            _BALANCER_REACTION_TIME,
            self._values.shutdown_grace * _MAX_ACCEPT_RATIO,
        )
        _LOGGER.info(
            "draining",
            extra={
                "open_requests": self._server.open_requests,
                "connections": self._server.connections,
            },
        )
        await self._sleep_until(accept_deadline)
        await self._server.stop_accepting()
        await self._server.close()
        _LOGGER.info(
            "drained",
            extra={
                "open_requests": self._server.open_requests,
                "connections": self._server.connections,
            },
        )

    async def _close_internal_ports(
        self, drain_deadline: datetime.timedelta
    ) -> None:
        time_left = drain_deadline - self._clock.monotonic()
        end = asyncio.get_running_loop().time() + time_left.total_seconds()
        for listener in self._internal_listeners:
            await listener.stop()
        await asyncio.gather(
            *(
                listener.server.close(end)
                for listener in self._internal_listeners
            )
        )

    def _on_view_change(self) -> None:
        if self._view.is_complete:
            self._view_complete.set()
        self._peer_server.notify_followers()

    async def _sleep_until(self, time: datetime.timedelta) -> None:
        delay = time - self._clock.monotonic()
        await asyncio.sleep(max(delay.total_seconds(), 0))

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(_HOUSEKEEPING_INTERVAL.total_seconds())
            self._view.forget_expired()
            self._pool.close_idle(self._idle_limit)
            self._server.close_overdue(self._client_limits())
            for listener in self._internal_listeners:
                listener.server.close_overdue(_INTERNAL_LIMITS)

    def _log_avoided_leaf(
        self, ref: directory_lib.LeafRef, strikes: int
    ) -> None:
        self._avoided_leaf_log_budget.info(
            _LOGGER,
            "avoided",
            "leaf avoided",
            {"leaf": ref.leaf_id, "strikes": strikes},
        )

    def _idle_limit(self, ref: directory_lib.LeafRef) -> int:
        entry = self._directory.entry(ref.leaf_id)
        if entry is None or entry.ref != ref:
            return 0
        return self._state.connections(entry.service, ref.leaf_id)

    def _client_limits(self) -> routing.ClientLimits:
        current = self._table.current
        return (
            _UNCONFIGURED_LIMITS if current is None else current.client_limits
        )

    def _note_caller_refusal(self, refusal: _connection_limits.Refusal) -> None:
        if refusal is _connection_limits.Refusal.HEAD_TOO_LARGE:
            self._metrics.count_request(
                431,
                _requests.Cause.HEAD_TOO_LARGE.value,
                datetime.timedelta(),
                0,
            )
        self._note_refusal(refusal)

    def _note_refusal(self, refusal: _connection_limits.Refusal) -> None:
        self._metrics.count_refusal(refusal.value)
        self._client_log_budget.info(
            _LOGGER, refusal.value, "client refused", {"cause": refusal.value}
        )

    def _update_live_hosts(self, peers: tuple[relay.Peer, ...]) -> None:
        zone_hosts = [peer for peer in peers if peer.zone == self._values.zone]
        self._sourcing.set_sources(
            relay.sources_for(self._values.host, zone_hosts), len(zone_hosts)
        )
        self._health.set_readers(
            relay.store_readers(zone_hosts), len(zone_hosts)
        )
        self._sourcing.set_other_hosts(
            relay.likely_readers_first(
                self._values.host, self._values.zone, peers
            )
        )
        self._aggregator_choice.set_peers(peers)
        share = self._state.share
        hosts = tuple(sorted(peer.host for peer in peers))
        if hosts == share.hosts:
            return
        _LOGGER.info("live hosts changed", extra={"hosts": len(hosts)})
        self._state.set_share(
            dataclasses.replace(share, hosts=hosts),
            aggregation.weight_by_host(peers),
        )

    def _serve_peers(self) -> None:
        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            if request.path == _health_sharing.HEALTH_PATH:
                return await self._health.handle(request)
            if request.path == _aggregation.AGGREGATE_PATH:
                return await self._aggregation_server.handle(request)
            return await self._peer_server.handle(request)

        self._serve_internal(
            handle,
            sockets.listening_socket(self._values.peer_address),
            self._values.max_peer_connections,
        )

    def _serve_readiness(self) -> None:
        async def handle(request: web.BaseRequest) -> web.Response:
            if request.path != self._values.readiness_path:
                return web.Response(status=404)
            return web.Response(status=200 if self.is_ready else 503)

        self._serve_internal(
            handle, self._listeners.readiness, _MAX_PROBE_CONNECTIONS
        )

    def _serve_metrics(self) -> None:
        if self._values.metrics_address is None:
            return

        async def handle(_request: web.BaseRequest) -> web.Response:
            self._set_gauges()
            return web.Response(
                body=self._metrics.render(),
                headers={"Content-Type": _metrics.CONTENT_TYPE},
            )

        self._serve_internal(
            handle,
            sockets.listening_socket(self._values.metrics_address),
            _MAX_PROBE_CONNECTIONS,
        )

    def _serve_internal(
        self,
        handler: _connection_server.Handler,
        sock: socket.socket,
        max_connections: int,
    ) -> None:
        """Serves a port that callers don't use.

        Args:
            handler: Handles the requests.
            sock: A socket that listens.
            max_connections: Limit on its connections.
        """
        server = _connection_server.ConnectionServer(
            handler,
            _connection_limits.ConnectionLimits(
                memory=self._client_memory,
                max_header_bytes=lambda: _INTERNAL_LIMITS.max_header_bytes,
                max_connections=max_connections,
                on_refusal=self._note_refusal,
            ),
        )
        listener = _listener.Listener(server, sock)
        listener.start()
        self._internal_listeners.append(listener)

    def _set_gauges(self) -> None:
        for status in self._view.statuses():
            self._metrics.set_topic(status)
        current = self._table.current
        for name, value in (
            ("sassafras_configuration_version", current and current.version),
            ("sassafras_leafs", len(self._directory.entries())),
            ("sassafras_hosts", len(self._state.share.hosts)),
            ("sassafras_ready", self.is_ready),
            ("sassafras_store_away", self._sourcing.health.is_unavailable),
            ("sassafras_store_era", self._eras.value),
            (
                "sassafras_zones_out_of_reach",
                len(self._state.reach.unreachable_zones),
            ),
            (
                "sassafras_callers_elsewhere",
                self._state.zone_failover.active,
            ),
            ("sassafras_leaf_connections", self._pool.connections_opened),
            ("sassafras_leafs_in_trouble", len(self._state.avoided_leafs)),
            ("sassafras_log_lines_left_out", self._log.left_out),
        ):
            self._metrics.set_gauge(name, float(value or 0))
