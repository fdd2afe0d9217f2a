"""Sends requests to ready entries in turn, as the platform's balancer does."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Mapping
import contextlib
import dataclasses
import itertools
from typing import Any

import aiohttp

from sassafrashold.load import _plan

_POLL_S = 0.25
_POLL_TIMEOUT = aiohttp.ClientTimeout(total=1)


@dataclasses.dataclass(frozen=True)
class Answer:
    """How a request ended."""

    entry: _plan.Entry | None
    """Entry that got it; None if none took it."""

    status: int | None
    """HTTP status; None if the connection was lost or the time was up."""

    body: Any
    """JSON body, or None."""

    @property
    def code(self) -> str:
        """OK, the refusal's code, or what happened to the connection."""
        if self.entry is None:
            return "NO_READY_ENTRY"
        if self.status is None:
            return "CONNECTION_LOST"
        if self.status == 200:
            return "OK"
        error = self.body.get("error") if isinstance(self.body, dict) else None
        if not isinstance(error, dict):
            return f"HTTP_{self.status}"
        return str(error.get("code"))

    @property
    def not_run(self) -> bool:
        """Whether the answer says that the request did not run."""
        if self.entry is None:
            return True
        if self.status in (None, 200) or not isinstance(self.body, dict):
            return False
        error = self.body.get("error")
        return isinstance(error, dict) and error.get("ran") == "not_run"


class Balancer:
    """Round-robin over the entries that report ready."""

    def __init__(
        self,
        entries: tuple[_plan.Entry, ...],
        session: aiohttp.ClientSession,
    ) -> None:
        self._entries = entries
        self._session = session
        self._ready: set[_plan.Entry] = set()
        self._turn = itertools.cycle(entries)
        self._poller: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "Balancer":
        await self._poll_all()
        self._poller = asyncio.create_task(self._keep_polling())
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._poller is not None:
            self._poller.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._poller

    async def _keep_polling(self) -> None:
        while True:
            await asyncio.sleep(_POLL_S)
            await self._poll_all()

    async def _poll_all(self) -> None:
        await asyncio.gather(*map(self._poll, self._entries))

    async def _poll(self, entry: _plan.Entry) -> None:
        ready = False
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with self._session.get(
                f"http://{entry.address}/readyz", timeout=_POLL_TIMEOUT
            ) as response:
                ready = response.status == 200
        if ready:
            self._ready.add(entry)
        else:
            self._ready.discard(entry)

    async def post(
        self, path: str, body: Any, headers: Mapping[str, str]
    ) -> Answer:
        """Sends a request to the next ready entry.

        A refused connection leads to the next entry, because nothing was sent.
        A connection that is lost later does not: the request may have run.
        """
        for _ in range(len(self._entries)):
            entry = self._next()
            if entry is None:
                break
            try:
                async with self._session.post(
                    f"http://{entry.address}{path}", json=body, headers=headers
                ) as response:
                    return Answer(
                        entry,
                        response.status,
                        await response.json(content_type=None),
                    )
            except aiohttp.ClientConnectorError:
                self._ready.discard(entry)
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
                return Answer(entry, None, None)
        return Answer(None, None, None)

    def _next(self) -> _plan.Entry | None:
        for entry in itertools.islice(self._turn, len(self._entries)):
            if entry in self._ready:
                return entry
        return None


async def send_all(
    offsets: Iterable[float],
    send: Callable[[int, float], Coroutine[Any, Any, None]],
    stopping: asyncio.Event | None = None,
) -> None:
    """Starts `send(number, intended time)` at each offset; waits for all.

    Open loop: a slow answer never delays the next request. No more are started
    once `stopping` is set.
    """
    loop = asyncio.get_running_loop()
    start = loop.time()
    async with asyncio.TaskGroup() as group:
        for number, offset in enumerate(offsets):
            due = start + offset
            delay = due - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            if stopping is not None and stopping.is_set():
                break
            group.create_task(send(number, due))
