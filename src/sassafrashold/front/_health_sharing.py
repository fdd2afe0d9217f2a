"""Shares the health of leafs and zones between the hosts of one zone."""

import asyncio
from collections.abc import Sequence
import datetime
import logging

from aiohttp import web

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import leaf_health
from sassafrashold import relay
from sassafrashold import telemetry
from sassafrashold.front import _peer_http

_LOGGER = logging.getLogger(__name__)
HEALTH_PATH = "/v1/leaf-health"
# A leaf is slow for seconds at a time; at this interval the observations of one
# host reach all hosts of the zone within about half a second.
_BASE_REPORT_INTERVAL = datetime.timedelta(milliseconds=400)
# In larger zones the interval grows with the number of hosts, so that the rate
# of reports to the reader stays the same.
_MAX_HOSTS_AT_BASE_INTERVAL = 25
# A host with nothing to report sends an empty report this often to learn which
# leafs are in trouble.
_EMPTY_REPORT_INTERVAL = datetime.timedelta(milliseconds=800)
# After a failed report, reports go to the other reader for this long.
_FAILOVER_DURATION = datetime.timedelta(seconds=5)
_MAX_LOG_LINES_PER_SECOND = 5


class HealthSharing:
    """Sends the observations of this host, or aggregates those of other hosts.

    The first reader of the zone aggregates the reports; a host that can't
    reach it reports to the second reader. Zones without readers are so small
    that each host observes enough on its own.
    """

    def __init__(
        self,
        own_host: str,
        state: calls.CallState,
        http: _peer_http.PeerHttp,
        clock: clock_lib.Clock,
    ) -> None:
        """Initializes the task; nothing is shared until readers are set.

        Args:
            own_host: Name of this host.
            state: Source of the tallies and of unreachable zones; gets the
                findings of the zone.
            http: HTTP client for other hosts.
            clock: Source of monotonic time.
        """
        self._own_host = own_host
        self._state = state
        self._http = http
        self._clock = clock
        self._verdicts = leaf_health.OutlierDetector()
        self._silent_zones = leaf_health.UnreachableZones()
        self._report_requested = asyncio.Event()
        self._readers: tuple[relay.Peer, ...] = ()
        self._report_interval = _BASE_REPORT_INTERVAL
        self._failover_until = datetime.timedelta()
        self._log_budget = telemetry.LineBudget(
            _MAX_LOG_LINES_PER_SECOND, clock
        )

    def set_readers(self, readers: Sequence[relay.Peer], hosts: int) -> None:
        """Sets the hosts to report to.

        Args:
            readers: Readers of the zone in order of preference; empty turns
                sharing off.
            hosts: Number of hosts in the zone.
        """
        self._readers = tuple(readers)
        self._report_interval = _BASE_REPORT_INTERVAL * max(
            1.0, hosts / _MAX_HOSTS_AT_BASE_INTERVAL
        )

    def report_now(self) -> None:
        """Requests a report at once, as the reach of zones has changed."""
        self._report_requested.set()

    async def run(self) -> None:
        """Sends reports until cancelled."""
        last_shared = self._clock.monotonic()
        while True:
            requested = await self._wait_for_report_time()
            now = self._clock.monotonic()
            tallies = self._state.tallies.pop_all(now)
            if not self._readers:
                continue
            if (
                requested
                or tallies
                or now - last_shared >= _EMPTY_REPORT_INTERVAL
            ):
                last_shared = now
                await self._share(
                    leaf_health.Report(
                        self._own_host,
                        tallies,
                        tuple(sorted(self._state.reach.unreachable_zones)),
                    )
                )

    async def _wait_for_report_time(self) -> bool:
        """Waits for the interval or a request; returns whether requested."""
        try:
            async with asyncio.timeout(self._report_interval.total_seconds()):
                await self._report_requested.wait()
        except TimeoutError:
            return False
        self._report_requested.clear()
        return True

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Merges the report of another host; answers with the merged health."""
        try:
            report = leaf_health.decode_report(await request.read())
        except errors.DocumentError as error:
            _LOGGER.warning(
                "leaf health report unreadable", extra={"cause": error.message}
            )
            return web.Response(status=400)
        text = leaf_health.encode_zone_health(self._merge_report(report))
        return _peer_http.response(_peer_http.compress(text))

    async def _share(self, report: leaf_health.Report) -> None:
        reader = self._current_reader()
        if reader.host == self._own_host:
            zone_health = self._merge_report(report)
        else:
            try:
                data = await self._http.post(
                    reader.address,
                    HEALTH_PATH,
                    leaf_health.encode_report(report),
                )
                zone_health = leaf_health.decode_zone_health(data)
            except (errors.StoreError, errors.DocumentError) as error:
                self._failover_until = (
                    self._clock.monotonic() + _FAILOVER_DURATION
                )
                _LOGGER.info(
                    "sending leaf health report failed",
                    extra={"peer": reader.host, "cause": error.message},
                )
                return
        self._state.avoided_leafs.update(
            zone_health.outliers, self._clock.monotonic()
        )
        self._state.reach.add_suspects(zone_health.unreachable_zones)

    def _current_reader(self) -> relay.Peer:
        """Returns the reader to report to, considering failed reports."""
        failed_over = self._clock.monotonic() < self._failover_until
        return self._readers[-1 if failed_over else 0]

    def _merge_report(
        self, report: leaf_health.Report
    ) -> leaf_health.ZoneHealth:
        now = self._clock.monotonic()
        for leaf in self._verdicts.add(report.host, report.tallies, now):
            self._log_budget.info(
                _LOGGER,
                "trouble",
                "leaf in trouble in the zone",
                {"leaf": leaf.leaf_id},
            )
        self._silent_zones.report(report.host, report.unreachable_zones, now)
        return leaf_health.ZoneHealth(
            self._verdicts.outliers(now), self._silent_zones.zones(now)
        )
