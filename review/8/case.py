"""LOST: one spoilt byte of one leaf ends a query without an answer."""

import collections
import pathlib
import random

import small_deployment as world

# garble: a share of the leafs spoils a part of its answers.
_SPOILING_SHARE = 0.35
_SPOILT_RATIO = 0.02
_SHARDS = 10
_SECONDS = 20
_RATE = 30
_MAX_LOST = 3
_SPOILT_BYTE = b"\x01"


def _spoil_some(leaf: world.Leaf, request: world.LeafRequest) -> bytes:
    """Returns an answer; in some, a byte of the signature is spoilt."""
    answer = world.whole_answer(leaf, request)
    if random.random() >= _SPOILT_RATIO:
        return answer
    place = answer.index(leaf.stamp(request.request_id).encode()) + 2
    return answer[:place] + _SPOILT_BYTE + answer[place + 1 :]


async def _case(record: world.Record, trouble: bool) -> world.Outcome:
    deployment = world.SmallDeployment(record, ("z1", "z2", "z3"), 3)
    shards = [f"shard-{number}" for number in range(_SHARDS)]
    leafs = [
        leaf
        for shard in shards
        for leaf in deployment.add_leafs(shard, 3, 3, lambda: 0.0225)
    ]
    deployment.routes.append(
        world.route(
            "all",
            "/all/",
            gather=shards,
            top_k=20,
            min_shard_fraction=0.89,
            timeout_ms=1200,
            target_latency_ms=145,
        )
    )
    spoiling = random.sample(leafs, int(_SPOILING_SHARE * len(leafs)))
    if trouble:
        for leaf in spoiling:
            leaf.answer = _spoil_some

    async def send(caller: world.Caller) -> world.Reply:
        return await caller.send("/all/q", deadline_ms=1200)

    async with deployment:
        callers = [
            world.Caller(host, record)
            for host in deployment.hosts
            for _ in range(5)
        ]
        replies = await world.load(callers, _SECONDS, _RATE, send)
    sound_runs = {
        run_id
        for leaf in leafs
        if leaf not in spoiling
        for run_id in leaf.run_ids
    }
    lost = [
        reply
        for reply in replies
        if reply.status is None
        and reply.kept
        and reply.request_id in sound_runs
    ]
    for reply in lost:
        record.add(f"ran at sound leafs, no answer: {reply.request_id}")
    record.conclude(
        f"statuses {dict(collections.Counter(r.status for r in replies))}; "
        f"{len(lost)} of {len(replies)} queries were passed on to sound leafs, "
        "and their kept connections were closed without an answer; "
        f"{_MAX_LOST} are allowed"
    )
    if len(lost) > _MAX_LOST:
        return world.Outcome.BROKEN
    return world.Outcome.HELD


world.run_case(pathlib.Path(__file__).parent, _case)
