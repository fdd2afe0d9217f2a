"""Carries out the plan of one request."""

import asyncio
from collections.abc import Iterable
import datetime
import functools

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold.front import _leaf_pool

# Calls whose answer is not needed any more get this long to end by
# themselves: their connection stays usable and their latency is learned.
_LINGER = datetime.timedelta(milliseconds=250)
_ZERO = datetime.timedelta()


class Exchange:
    """The calls of one request and the wait for their ends."""

    def __init__(
        self,
        pool: _leaf_pool.LeafPool,
        clock: clock_lib.Clock,
        request: calls.ClientRequest,
        deadline: datetime.timedelta,
        runs_once: bool,
    ) -> None:
        """Initializes the exchange.

        Args:
            pool: Sends the calls.
            clock: The clock.
            request: Request of the caller.
            deadline: Monotonic time up to which leafs may work.
            runs_once: Whether the request must not run twice.
        """
        self._pool = pool
        self._clock = clock
        self._request = request
        self._deadline = deadline
        self._runs_once = runs_once
        self._call_by_send: dict[calls.Send, _leaf_pool.LeafCall] = {}
        self._results: list[tuple[calls.Send, calls.CallResult]] = []
        self._released: dict[calls.Send, calls.ServiceCall] = {}
        self._wake = asyncio.Event()

    def dispatch(self, sends: Iterable[calls.Send]) -> None:
        """Sends calls."""
        left = self._deadline - self._clock.monotonic()
        for send in sends:
            self._call_by_send[send] = self._pool.call(
                send.leaf,
                self._request,
                left,
                self._runs_once,
                functools.partial(self._ended, send),
            )

    async def wait(
        self, until: datetime.timedelta
    ) -> list[tuple[calls.Send, calls.CallResult]]:
        """Returns the ends of calls; empty at the given monotonic time."""
        loop = asyncio.get_running_loop()
        delay = max(until - self._clock.monotonic(), _ZERO)
        timer = loop.call_later(delay.total_seconds(), self._wake.set)
        try:
            await self._wake.wait()
        finally:
            timer.cancel()
        self._wake.clear()
        results, self._results = self._results, []
        return results

    def cancel(self, sends: Iterable[calls.Send]) -> None:
        """Cancels calls; their leafs stop working."""
        for send in sends:
            call = self._call_by_send.pop(send, None)
            if call is not None:
                call.cancel()

    def release(
        self, sends: Iterable[calls.Send], owner: calls.ServiceCall
    ) -> None:
        """Lets calls end in the background for a bounded time."""
        loop = asyncio.get_running_loop()
        for send in sends:
            call = self._call_by_send.get(send)
            if call is None or call.is_done:
                continue
            self._released[send] = owner
            loop.call_later(_LINGER.total_seconds(), self._drop, send)

    def _drop(self, send: calls.Send) -> None:
        owner = self._released.pop(send, None)
        if owner is not None:
            owner.note_given_up(send, self._clock.monotonic())
            self.cancel((send,))

    def _ended(self, send: calls.Send, result: calls.CallResult) -> None:
        self._call_by_send.pop(send, None)
        owner = self._released.pop(send, None)
        if owner is not None:
            owner.note_end(
                send,
                self._clock.monotonic(),
                failed=isinstance(result, calls.Failed),
            )
            return
        self._results.append((send, result))
        self._wake.set()
