"""Guards against hosts that serve stale copies as if they were current.

The reader of a zone was cut off from the store, and so was the host that
replaced it. That host claimed to read the store until its first call failed
2.5 s later, and a host that followed it rejected requests to a new route 6 s
after the version was written.
"""

import asyncio

from sassafrashold import errors
from sassafrashold.front import _follower


class _Store:
    def __init__(self):
        self.answers = True
        self.called = asyncio.Event()

    async def probe(self):
        self.called.set()
        if not self.answers:
            raise errors.StoreError(errors.ErrorCode.UNAVAILABLE, "cut off")
        return True


async def _run_until_called(health, store):
    task = asyncio.create_task(health.run())
    await store.called.wait()
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_store_is_not_confirmed_before_the_first_answer():
    store = _Store()
    health = _follower.StoreHealth(store.probe, lambda _: None)
    assert not health.is_unavailable
    assert not health.is_confirmed


async def test_first_probe_is_made_at_once():
    store = _Store()
    health = _follower.StoreHealth(store.probe, lambda _: None)
    async with asyncio.timeout(0.5):
        await _run_until_called(health, store)
    assert health.is_confirmed


async def test_failed_probe_ends_confirmation_until_the_next_answer():
    store = _Store()
    health = _follower.StoreHealth(store.probe, lambda _: None)
    health.record_answer()
    store.answers = False
    await _run_until_called(health, store)
    assert not health.is_confirmed
    store.answers = True
    store.called.clear()
    await _run_until_called(health, store)
    assert health.is_confirmed


async def test_reset_ends_confirmation():
    health = _follower.StoreHealth(_Store().probe, lambda _: None)
    health.record_answer()
    health.reset()
    assert not health.is_confirmed


async def test_probe_that_made_no_call_does_not_confirm():
    async def probe():
        return False

    health = _follower.StoreHealth(probe, lambda _: None)
    task = asyncio.create_task(health.run())
    await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert not health.is_confirmed
