"""Client and server for queries that one host gathers for another."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import logging
from typing import Any

import aiohttp
from aiohttp import http_exceptions
from aiohttp import web

from sassafrashold import aggregation
from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import relay
from sassafrashold import routing
from sassafrashold import telemetry
from sassafrashold.front import _gathering
from sassafrashold.front import _peer_http
from sassafrashold.front import _requests

_LOGGER = logging.getLogger(__name__)
AGGREGATE_PATH = "/v1/aggregate"
# Statuses with which a host declines a query before it sends any call.
_OVERLOADED_STATUS = 503
_CONFIGURATIONS_DIFFER_STATUS = 409
# Limit on the queries that a host gathers for others at the same time.
_MAX_OPEN_QUERIES = 48
# Turns of the event loop until a connection that its peer has closed is
# reported as lost. A host that was frozen must not gather queries that have
# ended meanwhile.
_CLOSE_DETECTION_TURNS = 4
_MAX_LOG_LINES_PER_SECOND = 10
_MAX_SAMPLE_LINES_PER_SECOND = 1
# Failures of a host, its connection or its messages.
_PEER_ERRORS = (
    aiohttp.ClientError,
    asyncio.IncompleteReadError,
    TimeoutError,
    OSError,
    errors.DocumentError,
)


class AggregationClient:
    """Sends queries to the hosts that gather them for this one."""

    def __init__(
        self,
        choice: aggregation.AggregatorChoice,
        state: calls.CallState,
        http: _peer_http.PeerHttp,
        clock: clock_lib.Clock,
    ) -> None:
        """Initializes the client.

        Args:
            choice: Chooses the hosts for each query.
            state: Knows which zones hold the shards.
            http: HTTP client for other hosts.
            clock: Source of monotonic time.
        """
        self._choice = choice
        self._state = state
        self._http = http
        self._clock = clock
        self._log_budget = telemetry.LineBudget(
            _MAX_LOG_LINES_PER_SECOND, clock
        )

    def divide(
        self, gather: routing.Gather
    ) -> Sequence[aggregation.ShardGroup]:
        """Divides the shards of a query among hosts near their leafs."""
        now = self._clock.monotonic()
        return self._choice.divide(
            self._state.zones_by_shard(gather.shards, now), now
        )

    async def gather(
        self,
        peer: relay.Peer,
        message: aggregation.AggregationRequest,
        times: _gathering.RemoteTimes,
        on_parts: _gathering.OnParts,
    ) -> _gathering.RemoteResult:
        """Gathers shards at another host; see `_gathering.RemoteGather`.

        A host accepts a query with the head of its reply. Before that, this
        host gathers the shards itself if the other one fails. After that, leafs
        may have run the query as often as allowed, so a failure is final.
        """
        exchange = _PeerExchange(message, times, on_parts)
        failure: Exception | None = None
        ended = False
        self._choice.started(peer.host)
        try:
            await exchange.run(self._http, peer)
            ended = True
        except _PEER_ERRORS as error:
            failure = error
            ended = True
        finally:
            if ended:
                failed = failure is not None or not exchange.accepted
                self._choice.ended(peer.host, failed, self._clock.monotonic())
            else:
                self._choice.abandoned(peer.host)
        if failure is not None:
            self._log_failure(peer, message, exchange.accepted, failure)
            if exchange.accepted:
                return _gathering.Broken()
            return _gathering.Declined(
                may_have_run=not isinstance(
                    failure, aiohttp.ClientConnectorError
                )
            )
        if not exchange.accepted or not exchange.sent:
            return _gathering.Declined(may_have_run=False)
        return _gathering.Gathered()

    def _log_failure(
        self,
        peer: relay.Peer,
        message: aggregation.AggregationRequest,
        accepted: bool,
        failure: Exception,
    ) -> None:
        self._log_budget.info(
            _LOGGER,
            "failed",
            "host did not gather the query",
            {
                "request": message.request.request_id,
                "peer": peer.host,
                "accepted": accepted,
                "cause": repr(failure),
            },
        )


class _PeerExchange:
    """One query at another host."""

    def __init__(
        self,
        message: aggregation.AggregationRequest,
        times: _gathering.RemoteTimes,
        on_parts: _gathering.OnParts,
    ) -> None:
        self._message = message
        self._times = times
        self._on_parts = on_parts
        self._open_shards = set(message.shards)
        # Whether the other host has accepted the query.
        self.accepted = False
        # Whether it has sent the query to any leaf.
        self.sent = False

    async def run(self, http: _peer_http.PeerHttp, peer: relay.Peer) -> None:
        """Sends the query and reads parts until the last ones.

        Raises:
            Exception: One of `_PEER_ERRORS`.
        """
        loop = asyncio.get_running_loop()
        first_parts_at = loop.time() + self._times.first_parts.total_seconds()
        async with http.stream(
            peer.address,
            AGGREGATE_PATH,
            aggregation.encode_request(self._message),
            self._times.end,
            min(self._times.accept, self._times.first_parts),
        ) as response:
            self.accepted = response.status == 200
            if not self.accepted:
                return
            async with asyncio.timeout_at(first_parts_at):
                parts = await self._read_parts(response.content)
            while not parts.final:
                await self._pass_on(parts)
                parts = await self._read_parts(response.content)
            await self._pass_on(parts)
            # Reads the end of the body, so that the connection is kept.
            await response.read()

    async def _pass_on(self, parts: aggregation.MergedParts) -> None:
        self.sent = self.sent or parts.sent
        if parts.sent:
            await self._on_parts(parts)

    async def _read_parts(
        self, stream: aiohttp.StreamReader
    ) -> aggregation.MergedParts:
        try:
            line = await stream.readline()
        except (ValueError, http_exceptions.HttpProcessingError) as error:
            raise errors.DocumentError(
                errors.ErrorCode.BAD_DOCUMENT, f"merged parts: {error}"
            ) from error
        parts, size = aggregation.decode_parts_head(line)
        shards = parts.signature_by_shard.keys()
        if not shards <= self._open_shards:
            raise errors.DocumentError(
                errors.ErrorCode.BAD_DOCUMENT,
                f"parts of shards {sorted(shards)} not asked for",
            )
        self._open_shards -= shards
        return dataclasses.replace(
            parts, records=await stream.readexactly(size)
        )


class AggregationServer:
    """Gathers queries for other hosts."""

    def __init__(
        self,
        requests: _requests.RequestServer,
        is_ready: Callable[[], bool],
        clock: clock_lib.Clock,
    ) -> None:
        """Initializes the server.

        Args:
            requests: Gathers the queries.
            is_ready: Returns whether this host takes queries.
            clock: Source of monotonic time.
        """
        self._requests = requests
        self._is_ready = is_ready
        self._clock = clock
        self._failure_budget = telemetry.LineBudget(
            _MAX_LOG_LINES_PER_SECOND, clock
        )
        self._sample_budget = telemetry.LineBudget(
            _MAX_SAMPLE_LINES_PER_SECOND, clock
        )
        self.open_queries = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a query; cancelled when the other host closes."""
        data = await request.read()
        for _ in range(_CLOSE_DETECTION_TURNS):
            await asyncio.sleep(0)
        try:
            message = aggregation.decode_request(data)
        except errors.DocumentError as error:
            _LOGGER.warning(
                "query of a host unreadable", extra={"cause": error.message}
            )
            return web.Response(status=400)
        if not self._is_ready() or self.open_queries >= _MAX_OPEN_QUERIES:
            return web.Response(status=_OVERLOADED_STATUS)
        query = self._requests.query_of_peer(message)
        if query is None:
            return web.Response(status=_CONFIGURATIONS_DIFFER_STATUS)
        response = web.StreamResponse()
        log_fields: dict[str, Any] | None = None

        async def on_parts(parts: aggregation.MergedParts) -> None:
            await response.write(aggregation.encode_parts(parts))

        self.open_queries += 1
        try:
            # The head tells the other host that the query is being gathered.
            await response.prepare(request)
            log_fields = await self._requests.local_gather.gather(
                query, message.shards, message.max_missing, on_parts
            )
            await response.write_eof()
        finally:
            self.open_queries -= 1
            self._log_end(query, message, log_fields)
        return response

    def _log_end(
        self,
        query: _gathering.Query,
        message: aggregation.AggregationRequest,
        log_fields: dict[str, Any] | None,
    ) -> None:
        """Logs how a query ended, with a rate limit for each outcome."""
        if log_fields is None:
            outcome = "given_up"
        elif log_fields["missing"]:
            outcome = "parts_missing"
        else:
            outcome = "gathered"
        budget = (
            self._sample_budget
            if outcome == "gathered"
            else self._failure_budget
        )
        duration = self._clock.monotonic() - query.arrived_at
        budget.info(
            _LOGGER,
            outcome,
            "query of a host ended",
            {
                "request": message.request.request_id,
                "outcome": outcome,
                "duration_ms": clock_lib.to_ms(duration),
                "shards": len(message.shards),
                **(log_fields or {}),
            },
        )
