"""Sends the leaf calls of one request and collects their results."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import datetime
import functools

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold.front import _leaf_pool

# A call whose answer is no longer needed is cancelled after this time. If it
# ends before, its connection can be reused and its latency is recorded.
_RELEASED_CALL_TIMEOUT = datetime.timedelta(milliseconds=250)
_ZERO = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)
# Bounds the trail of one request in the log.
_MAX_TRAIL_STEPS = 24


class Exchange:
    """The leaf calls of one request and their results."""

    def __init__(
        self,
        pool: _leaf_pool.LeafPool,
        clock: clock_lib.Clock,
        request: calls.ClientRequest,
        deadline: datetime.timedelta,
        at_most_once: bool,
        on_sent: Callable[[], None] = lambda: None,
    ) -> None:
        """Initializes the exchange.

        Args:
            pool: Connections to leafs.
            clock: The clock.
            request: Request of the caller.
            deadline: Monotonic time at which leafs stop working on it.
            at_most_once: Whether the request must not run more than once.
            on_sent: Called before the first call to a leaf.
        """
        self._on_sent = on_sent
        self._pool = pool
        self._clock = clock
        self._request = request
        self._deadline = deadline
        self._at_most_once = at_most_once
        self._call_by_send: dict[calls.Send, _leaf_pool.LeafCall] = {}
        self._results: list[tuple[calls.Send, calls.CallResult]] = []
        self._service_call_by_released_send: dict[
            calls.Send, calls.ServiceCall
        ] = {}
        self._wake = asyncio.Event()
        self._was_sent = False
        self._started_at = clock.monotonic()
        self._trail: list[str] = []

    def dispatch(self, sends: Iterable[calls.Send]) -> None:
        """Sends calls."""
        now = self._clock.monotonic()
        time_left = self._deadline - now
        for send in sends:
            if not self._was_sent:
                self._was_sent = True
                self._on_sent()
            if send.extra or self._trail:
                self._record_step(now, "extra call to", send, "")
            self._call_by_send[send] = self._pool.call(
                send.leaf,
                self._request,
                time_left,
                self._at_most_once,
                functools.partial(self._on_call_ended, send),
            )

    def trail(self) -> list[str]:
        """Returns the steps so far and the calls that are still open."""
        now = self._clock.monotonic()
        still_open = [
            f"open for {_ms(now - send.sent_at)} ms: "
            f"{send.leaf.service} {send.leaf.ref.leaf_id}"
            for send in self._call_by_send
        ]
        return (self._trail + still_open)[:_MAX_TRAIL_STEPS]

    def _record_step(
        self,
        now: datetime.timedelta,
        event: str,
        send: calls.Send,
        detail: str,
    ) -> None:
        if len(self._trail) < _MAX_TRAIL_STEPS:
            self._trail.append(
                f"{_ms(now - self._started_at)} ms {event} {send.leaf.service} "
                f"{send.leaf.ref.leaf_id}{detail}"
            )

    async def wait(
        self, wake_at: datetime.timedelta
    ) -> list[tuple[calls.Send, calls.CallResult]]:
        """Waits for results of calls.

        Args:
            wake_at: Monotonic time at which the wait ends without a result.

        Returns:
            The results since the last wait; empty if the wait timed out.
        """
        loop = asyncio.get_running_loop()
        delay = max(wake_at - self._clock.monotonic(), _ZERO)
        timer = loop.call_later(delay.total_seconds(), self._wake.set)
        try:
            await self._wake.wait()
        finally:
            timer.cancel()
        self._wake.clear()
        results, self._results = self._results, []
        return results

    def cancel(self, sends: Iterable[calls.Send]) -> None:
        """Cancels calls by closing their connections; leafs then stop work."""
        for send in sends:
            call = self._call_by_send.pop(send, None)
            if call is not None:
                call.cancel()

    def release(
        self, sends: Iterable[calls.Send], service_call: calls.ServiceCall
    ) -> None:
        """Leaves calls open in the background for a bounded time.

        Args:
            sends: Calls whose answers are no longer needed.
            service_call: Records how they end.
        """
        loop = asyncio.get_running_loop()
        for send in sends:
            call = self._call_by_send.get(send)
            if call is None or call.is_done:
                continue
            self._service_call_by_released_send[send] = service_call
            loop.call_later(
                _RELEASED_CALL_TIMEOUT.total_seconds(),
                self._cancel_released,
                send,
            )

    def _cancel_released(self, send: calls.Send) -> None:
        service_call = self._service_call_by_released_send.pop(send, None)
        if service_call is not None:
            service_call.record_cancelled(send, self._clock.monotonic())
            self.cancel((send,))

    def _on_call_ended(
        self, send: calls.Send, result: calls.CallResult
    ) -> None:
        self._call_by_send.pop(send, None)
        service_call = self._service_call_by_released_send.pop(send, None)
        if service_call is not None:
            service_call.record_end(
                send,
                self._clock.monotonic(),
                failed=isinstance(result, calls.Failed),
            )
            return
        if isinstance(result, calls.Failed):
            status = f" status {result.answer.status}" if result.answer else ""
            self._record_step(
                self._clock.monotonic(),
                f"{result.kind.value} at",
                send,
                f" after {_ms(self._clock.monotonic() - send.sent_at)} ms"
                f"{status} {result.detail}".rstrip(),
            )
        self._results.append((send, result))
        self._wake.set()


def _ms(duration: datetime.timedelta) -> int:
    return duration // _MILLISECOND
