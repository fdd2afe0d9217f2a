"""Embeds the per-leaf aggregate without the daemons.

A program that talks to one back end by its own means lets `leafs.Leaf` decide
when a call may start, what shares a call, and how a cold back end is filled.
Run it with `python examples/limited_leaf.py`.
"""

import asyncio
import dataclasses
import datetime

from sassafrashold import clock as clock_lib
from sassafrashold import leafs

_LIMITS = leafs.LeafLimits(
    slots=2,
    connections=4,
    cold_start_slots=1,
    warmup_successes=3,
    queue_limit=100,
)
_DEADLINE = datetime.timedelta(seconds=5)
_SERVICE_TIME_S = 0.005


@dataclasses.dataclass
class BackEnd:
    """A back end that counts what runs at once."""

    running: int = 0
    """Calls now."""

    most: int = 0
    """Most calls at once so far."""

    calls: int = 0
    """Calls so far."""

    async def query(self, bodies: list[bytes]) -> dict[int, bytes]:
        """Answers each body after a short time."""
        self.running += 1
        self.calls += 1
        self.most = max(self.most, self.running)
        await asyncio.sleep(_SERVICE_TIME_S)
        self.running -= 1
        return {i: b"[%s]" % body for i, body in enumerate(bodies)}


async def ask(
    leaf: leafs.Leaf,
    clock: clock_lib.Clock,
    back_end: BackEnd,
    bodies: list[bytes],
) -> list[leafs.Answer]:
    """Sends all bodies through the aggregate and returns the answers."""
    answers: list[asyncio.Future[leafs.Answer]] = []
    tasks: set[asyncio.Task[None]] = set()

    async def call(batch: leafs.Batch) -> None:
        result = await back_end.query([e.work.body for e in batch.entries])
        for waiter, answer in leaf.record_success(
            batch, "generation-1", result
        ):
            waiter.reply(answer)
        start_calls()

    def start_calls() -> None:
        while (batch := leaf.next_batch(_LIMITS.slots)) is not None:
            task = asyncio.create_task(call(batch))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    now = clock.monotonic()
    for body in bodies:
        future = asyncio.get_running_loop().create_future()
        answers.append(future)
        work = leafs.Work("almanac", "v1", 0, body, "normal", now + _DEADLINE)
        refusal = leaf.submit(
            leafs.Waiter(work, future.set_result, now), _LIMITS.slots
        )
        if refusal is not None:
            future.set_result(refusal)
        start_calls()
    return list(await asyncio.gather(*answers))


async def main() -> BackEnd:
    """Sends 20 queries, half of them equal, and prints what happened."""
    clock = clock_lib.SystemClock()
    leaf = leafs.Leaf(_LIMITS, clock)
    back_end = BackEnd()
    bodies = [b"%d" % (number % 10) for number in range(20)]
    answers = await ask(leaf, clock, back_end, bodies)
    served = sum(isinstance(answer, leafs.Rows) for answer in answers)
    print(f"{served} of {len(bodies)} queries answered")
    print(f"{back_end.calls} calls, at most {back_end.most} at once")
    return back_end


if __name__ == "__main__":
    asyncio.run(main())
