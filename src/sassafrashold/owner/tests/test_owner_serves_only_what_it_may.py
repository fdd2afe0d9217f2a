"""Guards ownership, marks, forwarding, dispatches and draining."""

import asyncio
import json

import pytest

from sassafrashold import errors
from sassafrashold import rpc
from sassafrashold import settings
from sassafrashold import wire

NOT_RUN = wire.messages.Ran.NOT_RUN
UNKNOWN = wire.messages.Ran.OUTCOME_UNKNOWN
ONE = (0, "leaf-1", False)


async def test_scatter_answers_each_subquery_once(setup):
    await setup.start()
    results = await setup.scatter(*((i, "leaf-1", False) for i in range(4)))
    assert sorted(results) == [(i, [i, {"q": 1}]) for i in range(4)]


async def test_calls_stay_within_the_window_and_then_within_the_slots(setup):
    await setup.start(warmup_successes="5")
    setup.leaf.delay_s = 0.005
    queries = [setup.scatter(ONE, query=b"%d" % i) for i in range(4)]
    await asyncio.gather(*queries)
    assert setup.leaf.most_at_once == 1
    await setup.warm()
    # While the event loop is blocked, calls get fewer and larger, and each new
    # connection needs an answer first, so one round may fill only two slots.
    for _ in range(10):
        queries = [setup.scatter(ONE, query=b"%d" % i) for i in range(60)]
        await asyncio.gather(*queries)
    assert setup.leaf.most_at_once == 3


async def test_waiting_subqueries_of_a_busy_leaf_share_a_call(setup):
    await setup.start()
    setup.leaf.gate.clear()
    first = asyncio.create_task(setup.scatter(ONE))
    await setup.until(lambda: setup.leaf.running == 1)
    queue = setup.daemon.registry.task_by_leaf["leaf-1"].aggregate.queue
    rest = [
        asyncio.create_task(setup.scatter((shard, "leaf-1", False)))
        for shard in (1, 2, 3, 3)
    ]
    await setup.until(lambda: queue.waiters == 4)
    setup.leaf.gate.set()
    answers = [await query for query in (first, *rest)]
    assert answers == [[(i, [i, {"q": 1}])] for i in (0, 1, 2, 3, 3)]
    sizes = [len(call["items"]) for call in setup.leaf.calls]
    assert sum(sizes) == 4
    assert len(sizes) < 4


@pytest.mark.parametrize(
    ("marks", "code"),
    [
        ({"zones": ["zone-a"], "hosts": []}, "ZONE_OUT"),
        ({"zones": [], "hosts": ["up-1"]}, "HOST_OUT"),
        (None, "LEAVING"),
    ],
)
async def test_a_leaf_that_is_out_gets_no_new_call(setup, marks, code):
    await setup.start()
    state = await setup.warm()
    setup.leaf.gate.clear()
    running = asyncio.create_task(setup.scatter(ONE))
    await setup.until(lambda: setup.leaf.running == 1)
    calls = len(setup.leaf.calls)
    if marks is not None:
        await setup.put_table(marks)
    else:
        host = {"host": "up-1", "zone": "zone-a", "state": "leaving"}
        document = {"as_of_unix_ms": 1, "hosts": [host]}
        await setup.control.put("platform/hosts", document)
    refused = [(0, code, NOT_RUN)]
    async with asyncio.timeout(5):
        while await setup.scatter(ONE, query=b"2") != refused:
            setup.leaf.gate.set()
    setup.leaf.gate.set()
    assert await running == [(0, [0, {"q": 1}])]
    calls = len(setup.leaf.calls)
    assert await setup.scatter(ONE) == refused
    assert len(setup.leaf.calls) == calls
    if marks is not None:
        await setup.put_table({"zones": [], "hosts": []})
        await setup.until(lambda: state.cold)


async def test_no_call_without_fresh_evidence_but_the_residual_slot(setup):
    await setup.start()
    await setup.warm()
    setup.control.evidence_age_ms = 60_000
    known = setup.daemon.rights
    leaf = setup.daemon.registry.task_by_leaf["leaf-1"].leaf
    await setup.until(lambda: known.grant(leaf, 3).slots == 1)
    setup.leaf.most_at_once = 0
    setup.leaf.delay_s = 0.005
    await asyncio.gather(*(setup.scatter(ONE) for _ in range(9)))
    assert setup.leaf.most_at_once == 1


async def test_the_hold_back_refuses_work_as_not_run(setup):
    setup.control.earlier = [
        wire.messages.EarlierOwners(
            epoch=0,
            members=["host-9"],
            unreleased=[
                wire.messages.HostIncarnation(host="host-9", incarnation="x")
            ],
        )
    ]
    await setup.start()
    refused = [(0, "NO_ENTITLEMENT", NOT_RUN)]
    assert await setup.scatter(ONE) == refused
    assert setup.leaf.calls == []
    setup.control.earlier = []
    async with asyncio.timeout(5):
        while await setup.scatter(ONE) == refused:
            pass


async def test_work_for_another_owner_is_forwarded_once(setup):
    await setup.start()
    seen = []

    async def scatter(context, body):
        request = wire.decode(wire.messages.ScatterRequest, body)
        seen.append((request.hops, len(request.subqueries)))
        await context.emit(
            wire.encode(
                wire.messages.ShardResult(shard=0, leaf="leaf-1", rows=b"[7]")
            )
        )
        return wire.encode(wire.messages.ScatterEnd(results=1))

    other = rpc.Server({"scatter": scatter}, setup.client._clock)
    address = await other.start(settings.Address("127.0.0.1", 0))
    addresses = {"host-2": address}
    setup.control.epoch, setup.control.members = 2, ("host-2",)
    await setup.put_lease("host-2", epoch=2, addresses=addresses)
    await setup.until(lambda: setup.daemon.rights.entitlement.epoch == 2)
    answers = await setup.scatter(ONE, (1, "leaf-1", False))
    assert answers == [(0, [7]), (1, "CONNECTION_LOST", UNKNOWN)]
    assert seen == [(1, 2)]
    assert await setup.scatter(ONE, hops=1) == [(0, "NOT_OWNER", NOT_RUN)]
    code, ran = await setup.dispatch()
    assert (code.value, ran.value) == ("NOT_OWNER", "not_run")
    assert setup.leaf.calls == []
    await other.close()


async def test_release_is_reported_only_after_the_last_call(setup):
    await setup.start()
    setup.leaf.gate.clear()
    running = asyncio.create_task(setup.scatter(ONE))
    await setup.until(lambda: setup.leaf.running == 1)
    setup.control.epoch, setup.control.members = 2, ("host-2",)
    requests = setup.control.requests
    await setup.until(lambda: setup.daemon.rights.entitlement.epoch == 2)
    asked = len(requests)
    await setup.until(lambda: len(requests) > asked + 1)
    assert requests[-1].released_epoch == 1
    setup.leaf.gate.set()
    assert await running == [(0, [0, {"q": 1}])]
    await setup.until(lambda: requests[-1].released_epoch == 2)


async def test_a_dispatch_runs_to_its_end_after_its_caller_is_gone(setup):
    await setup.start()
    setup.leaf.gate.clear()
    caller = asyncio.create_task(setup.dispatch())
    await setup.until(lambda: setup.leaf.running == 1)
    caller.cancel()
    state = setup.daemon.registry.task_by_leaf["leaf-1"].aggregate.state
    await setup.until(lambda: setup.daemon._server.in_flight() == 0)
    assert state.in_use() == 1
    setup.leaf.gate.set()
    await setup.until(lambda: state.in_use() == 0)
    assert setup.leaf.cancelled == []
    assert await setup.dispatch() == {"did": {"do": 1}}


async def test_a_query_that_nobody_waits_for_is_cancelled_at_the_leaf(setup):
    await setup.start()
    setup.leaf.gate.clear()
    caller = asyncio.create_task(setup.scatter(ONE))
    await setup.until(lambda: setup.leaf.running == 1)
    caller.cancel()
    await setup.until(lambda: setup.leaf.cancelled)


@pytest.mark.parametrize(
    ("refusal", "expected"),
    [
        ((503, "SHED"), ("LEAF_SHED", NOT_RUN)),
        ((503, "DRAINING"), ("DRAINING", NOT_RUN)),
        ((504, "EXPIRED"), ("DEADLINE_EXCEEDED", NOT_RUN)),
        ((410, "VERSION_GONE"), ("VERSION_GONE", NOT_RUN)),
        ((500, "SHED"), ("LEAF_FAILED", UNKNOWN)),
        ((503, "OTHER"), ("LEAF_FAILED", UNKNOWN)),
    ],
)
async def test_only_documented_refusals_count_as_not_run(
    setup, refusal, expected
):
    await setup.start()
    setup.leaf.refusal = refusal
    assert await setup.scatter(ONE) == [(0, *expected)]


async def test_a_leaf_that_is_away_is_not_run_and_a_late_one_is_unknown(setup):
    await setup.start()
    setup.leaf.gate.clear()
    code, ran = await setup.dispatch(seconds=0.1)
    assert (code.value, ran.value) == ("DEADLINE_EXCEEDED", "outcome_unknown")
    await setup.leaf.close()
    state = setup.daemon.registry.task_by_leaf["leaf-1"].aggregate.state
    await setup.until(lambda: state.in_use() == 0)
    code, ran = await setup.dispatch()
    assert (code.value, ran.value) == ("LEAF_UNREACHABLE", "not_run")


async def test_draining_hands_over_and_finishes_calls(setup):
    await setup.start()
    setup.leaf.gate.clear()
    running = asyncio.create_task(setup.scatter(ONE))
    await setup.until(lambda: setup.leaf.running == 1)
    setup.stopping.set()
    requests = setup.control.requests
    await setup.until(lambda: requests[-1].leaving)
    setup.control.epoch, setup.control.members = 2, ("host-2",)
    await setup.until(lambda: setup.daemon.rights.entitlement.epoch == 2)
    setup.leaf.gate.set()
    assert await running == [(0, [0, {"q": 1}])]
    async with asyncio.timeout(5):
        await setup.running
    assert requests[-1].released_epoch == 2


async def test_a_static_share_needs_neither_lease_nor_warm_up(setup):
    setup.control.members = ()
    setup.static_share_slots = 2
    await setup.start()
    setup.leaf.delay_s = 0.005
    queries = [setup.scatter(ONE, query=b"%d" % i) for i in range(30)]
    answers = await asyncio.gather(*queries)
    assert answers == [[(0, [0, i])] for i in range(30)]
    assert setup.leaf.most_at_once == 2


async def test_a_result_too_large_for_a_frame_is_not_called_not_run(setup):
    await setup.start()
    setup.leaf.repeat = 5
    query = b'"%s"' % (b"x" * (rpc.MAX_FRAME_BYTES // 4))
    answers = await setup.scatter(ONE, query=query)
    assert answers == [(0, "FRAME_TOO_LARGE", UNKNOWN)]


async def test_a_malformed_query_is_refused_before_it_reaches_a_leaf(setup):
    await setup.start()
    with pytest.raises(errors.RpcError, match="BAD_REQUEST") as caught:
        await setup.scatter(ONE, query=b'{"q":1},"shard":[')
    assert caught.value.ran is errors.Ran.NOT_RUN
    assert setup.leaf.calls == []


async def test_status_states_facts_with_age_and_source(setup):
    await setup.start()
    await setup.warm()
    answer = await setup.client.call("status", b"", deadline=setup.deadline())
    reply = wire.decode(wire.messages.StatusReply, answer)
    facts = {
        (fact["name"], fact["subject"]): fact
        for fact in json.loads(reply.value)
    }
    assert facts[("lease.epoch", "zone-a")]["value"] == 1
    assert facts[("lease.epoch", "zone-a")]["source"] == "control"
    assert facts[("lease.epoch", "zone-a")]["age_ms"] < 3000
    assert facts[("leaf.window", "leaf-1")]["value"] == 3
    assert facts[("leaf.slots_granted", "leaf-1")]["value"] == 3
    assert ("view.version", "config/table") in facts


async def test_the_process_ends_if_a_leaf_task_fails(setup, monkeypatch):
    await setup.start()
    task = setup.daemon.registry.task_by_leaf["leaf-1"]
    monkeypatch.setattr(task.aggregate, "drop_late", lambda _: 1 / 0)
    task.refresh()
    with pytest.raises(errors.LeaseError):
        await asyncio.wait_for(setup.running, 5)


async def test_the_slot_of_a_lost_query_is_free_once_the_leaf_confirms(setup):
    await setup.start()
    state = await setup.warm()
    setup.leaf.lose_next = True
    answers = await setup.scatter(ONE)
    assert answers == [(0, "CONNECTION_LOST", UNKNOWN)]
    started = setup.now()
    await setup.until(lambda: state.in_use() == 0)
    assert len(setup.leaf.cancelled) == 1
    assert (setup.now() - started).total_seconds() < 1


async def test_a_lost_dispatch_is_not_cancelled_and_keeps_its_slot(setup):
    await setup.start()
    state = await setup.warm()
    setup.leaf.lose_next = True
    code, ran = await setup.dispatch()
    assert (code.value, ran.value) == ("CONNECTION_LOST", "outcome_unknown")
    assert state.in_use() == 1
    assert setup.leaf.cancelled == []
