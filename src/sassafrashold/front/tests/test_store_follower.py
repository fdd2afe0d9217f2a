"""Tests followers while the store drops its history or is unavailable.

Guards against a host that keeps a stale configuration because its long poll
never returns: a version was written in the second before the store dropped its
history, and the pending long poll was not ended.
"""

import asyncio
import datetime

from sassafrashold import errors
from sassafrashold import relay
from sassafrashold.front import _follower


class _Topic:
    """A topic whose long polls do not return while `never_answers` is set."""

    def __init__(self, name):
        self.name = name
        self.value = 1
        self.never_answers = False
        self.history_gone = asyncio.Event()
        self.snapshots = 0

    async def snapshot(self):
        self.snapshots += 1
        return relay.Batch(
            (relay.Document("x", self.value),),
            relay.Position(1, self.value),
            is_snapshot=True,
        )

    async def changes(self, position, wait):
        if self.never_answers:
            await asyncio.sleep(wait.total_seconds())
        await self.history_gone.wait()
        self.history_gone.clear()
        raise errors.HistoryGoneError(self.name)

    async def stale_changes(self, position):
        return relay.Batch((), position)

    def decode(self, documents):
        return tuple(documents)


async def test_dropped_history_of_one_topic_restarts_all_topics():
    topics = [_Topic("a"), _Topic("b")]
    topics[1].never_answers = True
    contents_by_topic: dict[str, list[int]] = {"a": [], "b": []}
    mirrors = {"a": relay.Mirror(), "b": relay.Mirror()}
    followers: list[_follower.Follower] = []

    def restart_all():
        for follower in followers:
            follower.restart(from_snapshot=True)

    def record_batch(name, batch):
        mirrors[name].apply(batch)
        contents_by_topic[name].extend(
            document.content for document in batch.documents
        )

    async def probe():
        return True

    health = _follower.StoreHealth(probe, lambda _: None)
    followers.extend(
        _follower.Follower(
            topic,
            mirrors[topic.name],
            health,
            record_batch,
            restart_all,
            datetime.timedelta(seconds=3),
            datetime.timedelta(),
            relay.LatestEra(),
        )
        for topic in topics
    )
    tasks = [asyncio.create_task(f.run()) for f in followers]
    await asyncio.sleep(0.02)
    topics[1].value = 7
    topics[0].history_gone.set()
    await asyncio.sleep(0.05)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert contents_by_topic["b"] == [1, 7]
    assert topics[0].snapshots <= 3


async def test_outage_and_recovery_of_the_store_are_reported():
    answers = [errors.StoreError(errors.ErrorCode.STORE_UNAVAILABLE, "x"), None]
    changes: list[bool] = []

    async def probe():
        answer = answers.pop(0) if answers else None
        if answer is not None:
            raise answer

    health = _follower.StoreHealth(probe, changes.append)
    task = asyncio.create_task(health.run())
    async with asyncio.timeout(5):
        while changes != [True, False]:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
    task.cancel()
    assert not health.is_unavailable
