"""The entry daemon: sockets, tasks and their life."""

import asyncio
import logging

from aiohttp import web

from sassafrashold import clock as clock_lib
from sassafrashold import process
from sassafrashold import rpc
from sassafrashold import search
from sassafrashold import settings
from sassafrashold import views
from sassafrashold.entry import _inputs
from sassafrashold.entry import _recent
from sassafrashold.entry import _responses
from sassafrashold.entry import _search_handler
from sassafrashold.entry import _settings
from sassafrashold.telemetry import tracing

_LOGGER = logging.getLogger(__name__)


class Daemon:
    """Serves callers until it is told to stop."""

    def __init__(
        self, values: _settings.EntrySettings, clock: clock_lib.Clock
    ) -> None:
        self._values = values
        self._clock = clock
        self._metrics = process.metrics_for("entry", values)
        self._tracer = tracing.Tracer("entry", values.host, values.trace_file)
        self._pool = rpc.Pool(clock, self._metrics)
        self._control = rpc.Client(values.control, clock, self._metrics)
        self.feed = views.Feed(self._control, "entry", clock)
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
        self.http_address: settings.Address | None = None

    async def run(self, stopping: asyncio.Event) -> None:
        """Runs until `stopping` is set."""
        handler = _search_handler.SearchHandler(
            self.feed,
            self.searcher,
            self._clock,
            self._tracer,
            self._metrics,
            self._recent,
        )
        app = web.Application(client_max_size=_inputs.MAX_BODY_BYTES)
        app.router.add_post("/v1/services/{service}/search", handler.handle)
        app.router.add_get("/healthz", self._healthz)
        runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await runner.setup()
        site = web.TCPSite(
            runner, self._values.listen_http.ip, self._values.listen_http.port
        )
        await site.start()
        ip, port = runner.addresses[0][:2]
        self.http_address = settings.Address(ip, port)
        feed_task = asyncio.create_task(self.feed.run())
        try:
            await stopping.wait()
        finally:
            await runner.cleanup()
            feed_task.cancel()
            await self._control.close()
            await self._pool.close()
            self._tracer.shutdown()

    async def _healthz(self, request: web.Request) -> web.Response:
        return _responses.document({"status": "ok"})
