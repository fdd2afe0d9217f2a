"""Waiting on conditions in other tasks and processes."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import inspect

_POLL_S = 0.02


async def until(
    condition: Callable[[], bool | Awaitable[bool]],
    what: str,
    timeout_s: float = 10.0,
) -> None:
    """Polls a condition until it holds.

    Args:
        condition: Function, or coroutine function, that returns a bool.
        what: The awaited state, for the error message.
        timeout_s: Longest wait.

    Raises:
        TimeoutError: The condition did not hold in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                holds = condition()
                if inspect.isawaitable(holds):
                    holds = await holds
                if holds:
                    return
                await asyncio.sleep(_POLL_S)
    except TimeoutError as error:
        raise TimeoutError(f"not within {timeout_s:g} s: {what}") from error
