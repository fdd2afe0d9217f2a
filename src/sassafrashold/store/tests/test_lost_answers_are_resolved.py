import asyncio

import hypothesis
from hypothesis import strategies
import pytest

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import store as store_lib

_CLOCK = clock_lib.ManualClock()
_NO_DELAY = store_lib.Backoff(attempts=4, base=0 * store_lib.Backoff().base)
_FAULTS = strategies.lists(strategies.sampled_from(store_lib.Fault), max_size=8)


def _put(store, value, expected_version):
    return store_lib.put_resolved(
        store,
        "k",
        value,
        expected_version,
        lambda found: value in found,
        clock=_CLOCK,
        backoff=_NO_DELAY,
    )


def _count_versions(store, value):
    """Returns how many versions of the object hold the value."""
    return sum(
        stored is not None and stored.value == value
        for stored in store._history_by_key.get("k", [])
    )


class _RacedStore(store_lib.MemoryStore):
    """A store in which a rival changes the object before the n-th call."""

    def __init__(self, faults, rival_at):
        super().__init__()
        self.faults.extend(faults)
        self._calls_left = rival_at

    async def get(self, key):
        await self._write_as_rival_when_due(key)
        return await super().get(key)

    async def put(self, key, value, expected_version):
        await self._write_as_rival_when_due(key)
        return await super().put(key, value, expected_version)

    async def _write_as_rival_when_due(self, key):
        self._calls_left -= 1
        if self._calls_left == 0:
            found = self.current(key)
            base = found.value if found else b""
            await self._apply(key, base + b"+rival")


@hypothesis.given(_FAULTS, strategies.integers(0, 6))
def test_reported_outcome_is_final(faults, rival_at):
    async def run():
        store = _RacedStore(faults, rival_at)
        try:
            outcome = await _put(store, b"ours", 0)
        except errors.StoreError as error:
            outcome = error
        before = _count_versions(store, b"ours")
        await store.deliver_delayed()
        after = _count_versions(store, b"ours")
        assert after <= 1
        if isinstance(outcome, store_lib.Stored):
            assert (before, after) == (1, 1)
            assert b"ours" in outcome.value
        elif outcome.ran is errors.Ran.NOT_RUN:
            assert after == 0

    asyncio.run(run())


@pytest.mark.parametrize(
    ("faults", "writes"),
    [
        ([store_lib.Fault.LOST_ANSWER], 1),
        ([store_lib.Fault.LOST_REQUEST], 2),
        ([store_lib.Fault.DELAYED], 2),
        ([store_lib.Fault.LOST_ANSWER, store_lib.Fault.STALE], 2),
        ([store_lib.Fault.LOST_ANSWER, store_lib.Fault.DOWN], 1),
    ],
)
async def test_lost_answer_is_resolved_to_success(faults, writes):
    store = store_lib.MemoryStore()
    store.faults.extend(faults)
    assert await _put(store, b"ours", 0) == store_lib.Stored("k", 1, b"ours")
    await store.deliver_delayed()
    assert _count_versions(store, b"ours") == 1
    assert store.calls["put"] == writes


async def test_outage_after_lost_answer_is_ambiguous():
    store = store_lib.MemoryStore()
    store.faults.append(store_lib.Fault.LOST_REQUEST)
    store.choose_fault = lambda method, key: store_lib.Fault.DOWN
    with pytest.raises(errors.StoreError) as caught:
        await _put(store, b"ours", 0)
    assert caught.value.ran is errors.Ran.OUTCOME_UNKNOWN
