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
_MILLISECOND = datetime.timedelta(milliseconds=1)
# Lines in the record of one request.
_MAX_TRAIL = 24


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
        self._began = clock.monotonic()
        self._trail: list[str] = []

    def dispatch(self, sends: Iterable[calls.Send]) -> None:
        """Sends calls."""
        now = self._clock.monotonic()
        left = self._deadline - now
        for send in sends:
            if send.extra or self._trail:
                self._note(now, "extra call to", send, "")
            self._call_by_send[send] = self._pool.call(
                send.leaf,
                self._request,
                left,
                self._runs_once,
                functools.partial(self._ended, send),
            )

    def trail(self) -> list[str]:
        """Returns what was decided, and which calls are still open."""
        now = self._clock.monotonic()
        still_open = [
            f"open for {_ms(now - send.sent_at)} ms: "
            f"{send.leaf.service} {send.leaf.ref.leaf_id}"
            for send in self._call_by_send
        ]
        return (self._trail + still_open)[:_MAX_TRAIL]

    def _note(
        self,
        now: datetime.timedelta,
        what: str,
        send: calls.Send,
        detail: str,
    ) -> None:
        if len(self._trail) < _MAX_TRAIL:
            self._trail.append(
                f"{_ms(now - self._began)} ms {what} {send.leaf.service} "
                f"{send.leaf.ref.leaf_id}{detail}"
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
        if isinstance(result, calls.Failed):
            status = f" status {result.answer.status}" if result.answer else ""
            self._note(
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
