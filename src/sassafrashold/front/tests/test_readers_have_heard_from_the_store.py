"""Guards against hosts that pass on old knowledge as if it were new.

Seen on buwan-hanap-grown: the reader of a zone was cut off from the store, and
a host that stood in for it was cut off as well. It claimed to read the store
until its first call had failed 2.5 s later, and the host that followed it
refused a new route 6 s after the version.
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


async def test_a_host_that_begins_to_read_has_not_heard_from_the_store():
    store = _Store()
    health = _follower.StoreHealth(store.probe, lambda _: None)
    assert not health.is_unavailable
    assert not health.is_confirmed


async def test_the_first_probe_is_made_at_once():
    store = _Store()
    health = _follower.StoreHealth(store.probe, lambda _: None)
    async with asyncio.timeout(0.5):
        await _run_until_called(health, store)
    assert health.is_confirmed


async def test_a_failed_call_ends_the_confirmation_until_an_answer():
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


async def test_a_host_that_stops_reading_has_to_hear_again():
    health = _follower.StoreHealth(_Store().probe, lambda _: None)
    health.record_answer()
    health.reset()
    assert not health.is_confirmed


async def test_a_probe_without_a_question_confirms_nothing():
    async def probe():
        return False

    health = _follower.StoreHealth(probe, lambda _: None)
    task = asyncio.create_task(health.run())
    await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert not health.is_confirmed
