"""The HTTP application of the entry."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging

from aiohttp import web

from sassafrashold import errors
from sassafrashold import telemetry
from sassafrashold.entry import _dispatch_handler
from sassafrashold.entry import _inputs
from sassafrashold.entry import _readiness
from sassafrashold.entry import _recent
from sassafrashold.entry import _responses
from sassafrashold.entry import _search_handler
from sassafrashold.entry import _status

_LOGGER = logging.getLogger(__name__)
_NOT_READY_STATUS = 503

_HttpHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class HttpApp:
    """Routes, and what holds for all of them."""

    def __init__(
        self,
        searches: _search_handler.SearchHandler,
        dispatches: _dispatch_handler.DispatchHandler,
        status: _status.Status,
        readiness: _readiness.Readiness,
        recent: _recent.RecentRequests,
        metrics: telemetry.Metrics,
    ) -> None:
        self._dispatches = dispatches
        self._status = status
        self._readiness = readiness
        self._recent = recent
        self._metrics = metrics
        self._under_way = 0
        self._finished = asyncio.Event()
        self.is_refusing = False
        self.app = web.Application(
            client_max_size=_inputs.MAX_BODY_BYTES,
            middlewares=[self._guard],
        )
        service = "/v1/services/{service}"
        self.app.router.add_post(f"{service}/search", searches.handle)
        self.app.router.add_post(f"{service}/dispatch", dispatches.handle)
        self.app.router.add_get("/healthz", self._healthz)
        self.app.router.add_get("/readyz", self._readyz)
        self.app.router.add_get("/v1/status", self._status_page)
        self.app.router.add_get("/v1/explain/{request_id}", self._explain)

    @property
    def under_way(self) -> int:
        """Requests that are not finished."""
        return self._under_way + self._dispatches.under_way

    async def wait_idle(self) -> None:
        """Returns when no request is under way."""
        while self._under_way:
            self._finished.clear()
            await self._finished.wait()
        await self._dispatches.wait_idle()

    @web.middleware
    async def _guard(
        self, request: web.Request, handler: _HttpHandler
    ) -> web.StreamResponse:
        """Counts requests, and turns every failure into a refusal."""
        self._under_way += 1
        try:
            response = await self._answer(request, handler)
        finally:
            self._under_way -= 1
            self._finished.set()
        if self._readiness.is_stopping and not response.prepared:
            # The caller opens its next connection at another host.
            response.force_close()
        return response

    async def _answer(
        self, request: web.Request, handler: _HttpHandler
    ) -> web.StreamResponse:
        if self.is_refusing and request.method == "POST":
            if request.path.endswith("/dispatch"):
                return self._dispatches.draining(request)
            error = errors.SearchError(
                errors.ErrorCode.DRAINING, "this host is shutting down"
            )
            return _responses.refusal(error, "")
        try:
            return await handler(request)
        except web.HTTPException as caught:
            return _responses.refusal(
                _of_http(request, caught), "", caught.status
            )
        except (asyncio.CancelledError, ConnectionError):
            self._metrics.count("entry.callers_left")
            raise
        except Exception:
            _LOGGER.exception("handler failed", extra={"path": request.path})
            self._metrics.count("entry.handler_failures")
            return _responses.refusal(
                errors.SassafrasError(
                    errors.ErrorCode.INTERNAL,
                    "the request failed unexpectedly",
                    ran=errors.Ran.OUTCOME_UNKNOWN,
                ),
                "",
            )

    async def _healthz(self, request: web.Request) -> web.Response:
        return _responses.document({"status": "ok"})

    async def _readyz(self, request: web.Request) -> web.Response:
        reasons = self._readiness.reasons()
        if not reasons:
            return _responses.document({"status": "ready"})
        return _responses.document(
            {"status": "not ready", "reasons": reasons}, _NOT_READY_STATUS
        )

    async def _status_page(self, request: web.Request) -> web.Response:
        facts = await self._status.facts()
        if "text/plain" in request.headers.get("Accept", ""):
            return _responses.text(_status.lines(facts))
        return _responses.document(facts)

    async def _explain(self, request: web.Request) -> web.Response:
        request_id = request.match_info["request_id"]
        record = self._recent.get(request_id)
        if record is None:
            error = errors.SassafrasError(
                errors.ErrorCode.UNKNOWN_REQUEST,
                f"no request {request_id!r} among the last "
                f"{len(self._recent)} of this host",
                field="request_id",
            )
            return _responses.refusal(error, request_id)
        return _responses.document(record.document())


def _of_http(
    request: web.Request, error: web.HTTPException
) -> errors.SassafrasError:
    """Returns the error for a path, method or body that aiohttp refused."""
    match error.status:
        case 404 | 405:
            code = errors.ErrorCode.UNKNOWN_METHOD
        case 413:
            code = errors.ErrorCode.BODY_TOO_LARGE
        case _:
            code = errors.ErrorCode.BAD_REQUEST
    return errors.SassafrasError(
        code, f"{request.method} {request.path}: {error.reason}"
    )
