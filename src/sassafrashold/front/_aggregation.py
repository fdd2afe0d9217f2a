"""Client and server for queries that one host gathers for another."""

from collections.abc import Callable
import dataclasses
import datetime
import logging

import aiohttp
from aiohttp import web

from sassafrashold import aggregation
from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import routing
from sassafrashold.front import _peer_http
from sassafrashold.front import _request_log
from sassafrashold.front import _requests

_LOGGER = logging.getLogger(__name__)
AGGREGATE_PATH = "/v1/aggregate"
# Statuses with which a host declines a query before it sends any call.
_OVERLOADED_STATUS = 503
_CONFIGURATIONS_DIFFER_STATUS = 409
# Limit on the queries that a host gathers for others at the same time.
_MAX_OPEN_QUERIES = 48


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
            choice: Chooses the host for each query.
            state: Knows which zones hold the shards.
            http: HTTP client for other hosts.
            clock: Source of monotonic time.
        """
        self._choice = choice
        self._state = state
        self._http = http
        self._clock = clock

    async def gather(
        self,
        gather: routing.Gather,
        message: aggregation.AggregationRequest,
        time_left: datetime.timedelta,
        head_timeout: datetime.timedelta,
    ) -> _requests.Reply | _requests.LocalGather:
        """Returns the reply of another host, if one gathers the query.

        A host accepts a query with the head of its answer. Before that, this
        host gathers the query itself if the other one fails. After that, leafs
        may have run the query as often as allowed, so a failure is final.
        """
        now = self._clock.monotonic()
        peer = self._choice.choose(
            self._state.shards_by_zone(gather.shards, now), now
        )
        if peer is None:
            return _requests.LocalGather(may_have_run=False)
        accepted = False
        failure: Exception | None = None
        finished = False
        self._choice.started(peer.host)
        try:
            async with self._http.stream(
                peer.address,
                AGGREGATE_PATH,
                aggregation.encode_request(message),
                time_left,
                head_timeout,
            ) as response:
                accepted = response.status == 200
                if accepted:
                    reply = aggregation.decode_reply(await response.read())
            finished = True
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            errors.DocumentError,
        ) as error:
            failure = error
            finished = True
        finally:
            if finished:
                self._choice.ended(
                    peer.host,
                    failure is not None or not accepted,
                    self._clock.monotonic(),
                )
            else:
                self._choice.abandoned(peer.host)
        if failure is not None:
            _LOGGER.info(
                "host did not gather the query",
                extra={
                    "request": message.request.request_id,
                    "peer": peer.host,
                    "accepted": accepted,
                    "cause": repr(failure),
                },
            )
            if accepted:
                return _failure_reply(failure, peer.host)
            return _requests.LocalGather(
                may_have_run=not isinstance(
                    failure, aiohttp.ClientConnectorError
                )
            )
        if not accepted or reply.not_run:
            return _requests.LocalGather(may_have_run=False)
        return _requests.Reply(
            reply.status,
            reply.headers,
            reply.body,
            _decode_cause(reply.cause),
            reply.missing,
            {"gathered_by": peer.host},
        )


class AggregationServer:
    """Gathers queries for other hosts."""

    def __init__(
        self,
        requests: _requests.RequestServer,
        log: _request_log.RequestLog,
        is_ready: Callable[[], bool],
        clock: clock_lib.Clock,
    ) -> None:
        """Initializes the server.

        Args:
            requests: Gathers the queries.
            log: Log of the ends of requests.
            is_ready: Returns whether this host takes queries.
            clock: Source of monotonic time.
        """
        self._requests = requests
        self._log = log
        self._is_ready = is_ready
        self._clock = clock
        self.open_queries = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a query; cancelled when the other host closes."""
        arrived_at = self._clock.monotonic()
        data = await request.read()
        try:
            message = aggregation.decode_request(data)
        except errors.DocumentError as error:
            _LOGGER.warning(
                "query of a host unreadable", extra={"cause": error.message}
            )
            return web.Response(status=400)
        if not self._is_ready() or self.open_queries >= _MAX_OPEN_QUERIES:
            return web.Response(status=_OVERLOADED_STATUS)
        pending_reply = self._requests.gather_for_peer(message)
        if pending_reply is None:
            return web.Response(status=_CONFIGURATIONS_DIFFER_STATUS)
        self.open_queries += 1
        reply: _requests.Reply | None = None
        started = False
        try:
            response = web.StreamResponse()
            # The head tells the other host that the query is being gathered.
            await response.prepare(request)
            started = True
            reply = await pending_reply
            await response.write(_encode(reply))
            await response.write_eof()
        finally:
            if not started:
                pending_reply.close()
            self.open_queries -= 1
            self._log.log_end(
                message.request, reply, self._clock.monotonic() - arrived_at
            )
        return response


def _encode(reply: _requests.Reply) -> bytes:
    return aggregation.encode_reply(
        aggregation.AggregationReply(
            reply.status,
            reply.headers,
            reply.missing,
            None if reply.cause is None else reply.cause.value,
            reply.status == 503,
            reply.body,
        )
    )


def _decode_cause(text: str | None) -> _requests.Cause | None:
    if text is None:
        return None
    try:
        return _requests.Cause(text)
    except ValueError:
        # Another build of the program may know more causes.
        return _requests.Cause.AGGREGATOR_FAILED


def _failure_reply(error: Exception, host: str) -> _requests.Reply:
    if isinstance(error, TimeoutError):
        reply = _requests.local_reply(504, _requests.Cause.DEADLINE)
    else:
        reply = _requests.local_reply(502, _requests.Cause.AGGREGATOR_FAILED)
    return dataclasses.replace(reply, log_fields={"gathered_by": host})
