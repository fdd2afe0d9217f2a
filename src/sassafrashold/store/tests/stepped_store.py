"""A store whose calls a test releases one by one, to control interleaving."""

import asyncio
import collections
from collections.abc import Coroutine
from typing import Any

from sassafrashold import store as store_lib


class SteppedStore(store_lib.MemoryStore):
    """A `MemoryStore` whose calls wait until they are released.

    Attributes:
        open: Lets every call through at once.
    """

    def __init__(self, shared: store_lib.MemoryStore | None = None) -> None:
        """Initializes the store.

        Args:
            shared: A store to share all state with except the faults; stands
                for the view of another host.
        """
        super().__init__()
        if shared is not None:
            self.__dict__.update(shared.__dict__)
            self.faults = collections.deque()
        self.open = False
        self._waiting: list[asyncio.Future[store_lib.Fault]] = []

    @property
    def waiting(self) -> int:
        """Number of calls that wait."""
        self._waiting = [call for call in self._waiting if not call.done()]
        return len(self._waiting)

    def release(self, position: int, fault: store_lib.Fault) -> None:
        """Lets one of the waiting calls run, with a fault."""
        self._waiting.pop(position).set_result(fault)

    async def get(self, key: str) -> store_lib.Stored | None:
        """Waits, then reads."""
        await self._wait()
        return await super().get(key)

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Waits, then writes."""
        await self._wait()
        return await super().put(key, value, expected_version)

    async def _wait(self) -> None:
        if self.open:
            self.faults.append(store_lib.Fault.NONE)
            return
        call: asyncio.Future[store_lib.Fault] = asyncio.Future()
        self._waiting.append(call)
        self.faults.append(await call)


class Loop:
    """An event loop that runs tasks until all of them wait."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        # Tasks of killed hosts end with exceptions that nobody retrieves.
        self._loop.set_exception_handler(lambda loop, context: None)

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task."""
        task = self._loop.create_task(coroutine)
        self.settle()
        return task

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Runs a coroutine to its end."""
        return self._loop.run_until_complete(coroutine)

    def settle(self) -> None:
        """Runs the tasks until nothing more happens without a release."""
        self._loop.run_until_complete(_settle())

    def close(self) -> None:
        """Cancels the remaining tasks and closes the loop."""
        # A cancelled task may start another one for its cleanup.
        while tasks := asyncio.all_tasks(self._loop):
            for task in tasks:
                task.cancel()
            self._loop.run_until_complete(asyncio.wait(tasks))
        self._loop.close()


async def _settle() -> None:
    for _ in range(12):
        await asyncio.sleep(0)
