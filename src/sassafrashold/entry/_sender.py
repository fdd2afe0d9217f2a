"""Sends a claimed dispatch to one leaf, through the owner of the leaf."""

import asyncio
import dataclasses
import datetime
import random
from typing import Any

from opentelemetry import trace

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import rpc
from sassafrashold import search
from sassafrashold import table as table_lib
from sassafrashold import wire
from sassafrashold.telemetry import tracing

# No further try is made in the last part of the time: once the deadline passes
# during a try, it is unknown whether the dispatch has run. Tries take a few
# milliseconds, and some tens on a busy host.
_REPEAT_RESERVE = datetime.timedelta(milliseconds=100)


@dataclasses.dataclass(frozen=True)
class DispatchCall:
    """One checked dispatch."""

    request_id: str
    """Id that the caller sees."""

    service: str
    """Name of the service."""

    key: str
    """Idempotency key."""

    is_first_attempt: bool
    """Whether the caller states that the key was never sent before."""

    body: bytes
    """JSON for the leaf."""

    deadline: datetime.datetime
    """Wall time at which the caller stops waiting."""


class Sender:
    """Sends dispatches; never hedges, and repeats only what did not run."""

    def __init__(
        self,
        searcher: search.Searcher,
        pool: rpc.Pool,
        clock: clock_lib.Clock,
        tracer: tracing.Tracer,
        random_source: random.Random | None = None,
    ) -> None:
        self._tracer = tracer
        self._searcher = searcher
        self._pool = pool
        self._clock = clock
        self._random = random_source or random.Random()

    async def send(
        self,
        call: DispatchCall,
        row: table_lib.ServiceRow,
        claim_id: str,
        log: list[dict[str, Any]],
        traceparent: str,
    ) -> bytes:
        """Sends the call to a usable leaf of the newest version.

        An owner or leaf that states "not run" because ownership moves, or
        because the leaf takes no work, is followed by another try until the
        deadline; other refusals cost a token of the extra-load budget.

        Args:
            call: The dispatch.
            row: Row of its service.
            claim_id: Id of the claim.
            log: Gets an entry for each try.
            traceparent: W3C trace context.

        Raises:
            SassafrasError: With `ran` as the last try states it.
        """
        self._searcher.budget(row).earn(1)
        sent = 0
        excluded: set[str] = set()
        tried: set[str] = set()
        while True:
            replica = self._choose(call, row, excluded, tried)
            tried.add(replica.leaf_id)
            sent += 1
            entry: dict[str, Any] = {"leaf": replica.leaf_id, "outcome": "OK"}
            log.append(entry)
            try:
                return await self._call(call, replica, claim_id, traceparent)
            except errors.SassafrasError as error:
                entry["outcome"] = error.code.value
                await self._before_repeat(
                    call, row, error, replica, sent, excluded
                )

    def _choose(
        self,
        call: DispatchCall,
        row: table_lib.ServiceRow,
        excluded: set[str],
        tried: set[str],
    ) -> search.Replica:
        replicas = self._searcher.dispatch_replicas(row)
        replica = self._searcher.chooser(call.request_id).retry(
            replicas, self._clock.monotonic(), excluded, tried
        )
        if replica is None:
            raise errors.DispatchError(
                errors.ErrorCode.UNAVAILABLE,
                f"no leaf of {row.service!r} can take a dispatch",
            )
        return replica

    async def _call(
        self,
        call: DispatchCall,
        replica: search.Replica,
        claim_id: str,
        traceparent: str,
    ) -> bytes:
        owner = self._searcher.owner_of(replica)
        if owner is None:
            raise errors.DispatchError(
                errors.ErrorCode.UNAVAILABLE,
                f"no owner is known for leaf {replica.leaf_id}",
            )
        margin = search.hop_margin(call.deadline - self._clock.now())
        with self._tracer.span(
            "dispatch.send", traceparent, trace.SpanKind.CLIENT
        ) as span:
            span.set_attribute("peer", str(owner))
            reply = await self._pool.get(owner).call(
                "dispatch",
                _encode(call, replica, claim_id),
                deadline=call.deadline - margin,
                traceparent=tracing.header_of(span),
            )
        try:
            result: bytes = wire.decode(
                wire.messages.DispatchReply, reply
            ).result
        except wire.CodecError as error:
            raise errors.DispatchError(
                errors.ErrorCode.OUTCOME_UNKNOWN,
                f"owner {owner} sent an unreadable reply",
                ran=errors.Ran.OUTCOME_UNKNOWN,
            ) from error
        return result

    async def _before_repeat(
        self,
        call: DispatchCall,
        row: table_lib.ServiceRow,
        error: errors.SassafrasError,
        replica: search.Replica,
        sent: int,
        excluded: set[str],
    ) -> None:
        """Waits before another try, or raises the error again."""
        if error.ran is not errors.Ran.NOT_RUN:
            raise error
        last_repeat = call.deadline - _REPEAT_RESERVE
        if self._clock.now() >= last_repeat:
            raise error
        action = search.retry_action_for(error)
        now = self._clock.monotonic()
        match action:
            case search.RetryAction.GIVE_UP:
                raise error
            case search.RetryAction.EXCLUDE:
                excluded.add(replica.leaf_id)
                return
            case search.RetryAction.RETRY_PAID:
                if not self._searcher.budget(row).try_spend():
                    raise error
                self._searcher.tracker.leaf_failed(replica.leaf_id, now)
            case search.RetryAction.RETRY_FREE:
                self._searcher.tracker.leaf_moving(replica.leaf_id, now)
        delay = search.retry_delay(sent - 1, self._random)
        if self._clock.now() + delay >= last_repeat:
            raise error
        await asyncio.sleep(delay.total_seconds())


def _encode(
    call: DispatchCall, replica: search.Replica, claim_id: str
) -> bytes:
    return wire.encode(
        wire.messages.DispatchRequest(
            request_id=call.request_id,
            service_name=call.service,
            idempotency_key=call.key,
            claim_id=claim_id,
            leaf=replica.leaf_id,
            body=call.body,
        )
    )
