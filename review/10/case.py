"""REFUSED: a request that has run is answered 503."""

import asyncio
import collections
import pathlib
import random

import small_deployment as world

# srv_grey: a share of the leafs fails a part of its requests; health is good.
_GREY_LEAFS = 1
_LEAFS = 7
_GREY_RATIO = 0.4
_SECONDS = 12
_RATE = 20
_MAX_ATTEMPTS = 3
_PROMISES = (408, 421, 429, 503)


def _fail_after_run(leaf: world.Leaf, request: world.LeafRequest) -> bytes:
    """Returns a failure of some of the requests, all of which were run."""
    if random.random() >= _GREY_RATIO:
        return world.whole_answer(leaf, request)
    return world.encode_answer(
        "503 Service Unavailable",
        request,
        f"Server-Stamp: {leaf.stamp(request.request_id)}\r\n",
        b"database connection lost",
    )


async def _case(record: world.Record, trouble: bool) -> world.Outcome:
    deployment = world.SmallDeployment(record, ("z1", "z2", "z3"), 3)
    leafs = deployment.add_leafs("paie", _LEAFS, 2, lambda: 0.05)
    deployment.routes.append(
        world.route(
            "once", "/once/", service="paie", type="non_idempotent", attempts=1
        )
    )
    if trouble:
        for leaf in leafs[:_GREY_LEAFS]:
            leaf.answer = _fail_after_run
    orders = iter(range(10**6))
    order_by_request: dict[str, int] = {}

    async def send(caller: world.Caller) -> world.Reply:
        """Sends an order; again after a promise that it hasn't run."""
        order = next(orders)
        for _ in range(_MAX_ATTEMPTS):
            reply = await caller.send(
                "/once/order", method="POST", body=b"%d" % order
            )
            order_by_request[reply.request_id] = order
            replies.append(reply)
            if reply.status not in _PROMISES:
                break
        return reply

    replies: list[world.Reply] = []
    async with deployment:
        callers = [
            world.Caller(host, record)
            for host in deployment.hosts
            for _ in range(10)
        ]
        await world.load(callers, _SECONDS, _RATE, send)
        await asyncio.sleep(1)
    run_ids = {run_id for leaf in leafs for run_id in leaf.run_ids}
    refused = [
        reply
        for reply in replies
        if reply.status in _PROMISES and reply.request_id in run_ids
    ]
    for reply in refused:
        record.add(f"answered {reply.status} and has run: {reply.request_id}")
    runs_by_order = collections.Counter(
        order_by_request[run_id] for run_id in run_ids
    )
    record.conclude(
        f"{len(replies)} attempts, statuses "
        f"{dict(collections.Counter(reply.status for reply in replies))}; "
        f"{len(refused)} were answered that they had not run, and had; "
        f"{sum(runs > 1 for runs in runs_by_order.values())} orders ran twice"
    )
    return world.Outcome.BROKEN if refused else world.Outcome.HELD


world.run_case(pathlib.Path(__file__).parent, _case)
