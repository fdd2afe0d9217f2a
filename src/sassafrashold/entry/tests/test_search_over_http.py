import asyncio
import contextlib
import json

from sassafrashold import errors
from sassafrashold import table as table_lib
from sassafrashold.entry.tests import entry_fakes as fakes

_FULL = {
    "request_id": "r-1",
    "index_version": "v2",
    "shards_asked": 4,
    "shards_answered": 4,
    "partial": False,
    "missing_shards": [],
    "rows": ["row-0", "row-1", "row-2", "row-3"],
}
_HEADERS = {"X-Request-Id": "r-1"}
_ALL_LEAFS = [f"{zone}-{shard}" for zone in fakes.ZONES for shard in range(4)]


async def test_an_answer_holds_the_rows_of_each_shard_once():
    async with fakes.running() as fixture:
        assert await fixture.search(_HEADERS) == (200, _FULL)


async def test_an_answer_through_zone_combiners_is_the_same():
    async with fakes.running(combine="zone") as fixture:
        assert await fixture.search(_HEADERS) == (200, _FULL)


async def test_a_straggler_is_hedged_and_its_request_cancelled():
    async with fakes.running() as fixture:
        for shard in range(4):
            fixture.answer(f"luzon-a-{shard}", fakes.delayed(1.5))
        # The budget starts empty: three queries earn it.
        for _ in range(3):
            fixture.daemon.searcher.budget(fakes.row()).earn(4)
        started = fakes.CLOCK.monotonic()
        assert await fixture.search(_HEADERS) == (200, _FULL)
        assert (fakes.CLOCK.monotonic() - started).total_seconds() < 1.0
        slow = [leaf for _, _, leaf in fixture.asked() if "luzon" in leaf]
        cancelled = fixture.owner_by_zone["luzon-a"].cancelled
        await fakes.until(lambda: len(cancelled) == len(slow))


async def test_a_late_answer_reaches_nobody_and_leaves_the_next_one_whole():
    async with fakes.running(table_row=fakes.row(hedge_percent=0)) as fixture:
        for leaf in _ALL_LEAFS:
            fixture.answer(leaf, fakes.delayed(0.15))
        status, answer = await fixture.search(deadline_ms=60)
        assert (status, answer["partial"]) == (200, True)
        assert answer["missing_shards"] == [0, 1, 2, 3]
        assert answer["rows"] == []
        assert await fixture.search(_HEADERS) == (200, _FULL)


async def test_crossed_and_doubled_results_do_not_reach_another_shard():
    async def crossed(request, sub):
        other = type(sub)(shard=(sub.shard + 1) % 4, leaf=sub.leaf)
        doubled = fakes.result(request, sub, rows=b'["twice"]')
        return [
            fakes.result(request, other),
            fakes.result(request, sub),
            doubled,
        ]

    async with fakes.running() as fixture:
        for leaf in _ALL_LEAFS:
            fixture.answer(leaf, crossed)
        assert await fixture.search(_HEADERS) == (200, _FULL)


async def test_concurrent_callers_get_the_answer_to_their_own_query():
    async def echo(request, sub):
        await asyncio.sleep(0.001 * (hash(request.query) % 17))
        return [fakes.result(request, sub, rows=b"[%b]" % request.query)]

    async with fakes.running() as fixture:
        for leaf in _ALL_LEAFS:
            fixture.answer(leaf, echo)
        answers = await asyncio.gather(
            *(fixture.search(_HEADERS, query=n) for n in range(50))
        )
    assert [a["rows"] for _, a in answers] == [[n] * 4 for n in range(50)]


async def test_results_of_another_version_are_never_mixed_in():
    async def other_version(request, sub):
        return [fakes.result(request, sub, version="v1")]

    async with fakes.running(table_row=fakes.row(hedge_percent=0)) as fixture:
        for zone in fakes.ZONES:
            fixture.answer(f"{zone}-2", other_version)
        status, answer = await fixture.search()
        assert status == 200
        assert answer["index_version"] == "v2"
        assert answer["missing_shards"] == [2]
        assert answer["rows"] == ["row-0", "row-1", "row-3"]
        status, answer = await fixture.search(allow_partial=False)
        assert (status, answer["error"]["code"]) == (503, "PARTIAL_NOT_ALLOWED")
        assert answer["error"]["ran"] == "outcome_unknown"


async def test_a_gone_version_reruns_the_whole_query_on_another_one():
    async def only_v1(request, sub):
        if request.index_version == "v1":
            return [fakes.result(request, sub)]
        gone = fakes.failing(errors.ErrorCode.VERSION_GONE)
        return await gone(request, sub)

    async with fakes.running() as fixture:
        for zone in fakes.ZONES:
            fixture.answer(f"{zone}-3", only_v1)
        expected = _FULL | {"index_version": "v1"}
        assert await fixture.search(_HEADERS) == (200, expected)
        # The next query starts with the version that is held everywhere.
        status, _ = await fixture.search({"X-Request-Id": "r-2"})
        assert status == 200
        for owner in fixture.owner_by_zone.values():
            assert owner.versions_by_request["r-2"] <= {"v1"}


async def test_sub_queries_refused_while_ownership_moves_are_repeated():
    refusals = [
        errors.ErrorCode.NOT_OWNER,
        errors.ErrorCode.NO_ENTITLEMENT,
        errors.ErrorCode.UNAVAILABLE,
    ]
    left = {leaf: list(refusals) for leaf in _ALL_LEAFS}

    async def moving(request, sub):
        if left[sub.leaf]:
            code = left[sub.leaf].pop()
            return await fakes.failing(code)(request, sub)
        return [fakes.result(request, sub)]

    # No budget is needed, because nothing reached a leaf.
    async with fakes.running(table_row=fakes.row(hedge_percent=0)) as fixture:
        for leaf in _ALL_LEAFS:
            fixture.answer(leaf, moving)
        assert await fixture.search(_HEADERS) == (200, _FULL)


async def test_refusals_by_every_owner_are_reported_as_not_run():
    async with fakes.running() as fixture:
        for leaf in _ALL_LEAFS:
            fixture.answer(leaf, fakes.failing(errors.ErrorCode.ZONE_OUT))
        status, answer = await fixture.search(allow_partial=False)
        assert (status, answer["error"]["ran"]) == (503, "not_run")


async def test_a_zone_that_is_out_gets_no_new_work():
    marks = table_lib.Marks(zones=frozenset({"luzon-a"}))
    async with fakes.running() as fixture:
        table = table_lib.Table(2, (fakes.row(),), marks)
        fixture.apply(table_lib.TABLE_KEY, table)
        assert await fixture.search(_HEADERS) == (200, _FULL)
        assert {leaf[:7] for _, _, leaf in fixture.asked()} == {"visayas"}


async def test_an_unreachable_owner_is_replaced_by_replicas():
    async with fakes.running() as fixture:
        await fixture.owner_by_zone["luzon-a"].server.close()
        for _ in range(5):
            assert await fixture.search(_HEADERS) == (200, _FULL)


async def test_a_streamed_answer_without_a_last_line_is_not_complete():
    async with (
        fakes.running() as fixture,
        fixture.session.post(
            f"/v1/services/{fakes.SERVICE}/search",
            json={"query": 1, "stream": True},
            headers=_HEADERS,
        ) as response,
    ):
        lines = [json.loads(line) async for line in response.content]
    assert sorted(lines[:-1], key=lambda line: line["shard"]) == [
        {"shard": n, "index_version": "v2", "rows": [f"row-{n}"]}
        for n in range(4)
    ]
    assert lines[-1] == {k: v for k, v in _FULL.items() if k != "rows"}


async def test_the_trace_of_the_caller_goes_in_and_out():
    trace_id = "0af7651916cd43dd8448eb211c80319c"
    header = f"00-{trace_id}-b7ad6b7169203331-01"
    async with (
        fakes.running() as fixture,
        fixture.session.post(
            f"/v1/services/{fakes.SERVICE}/search",
            json={"query": 1},
            headers={"traceparent": header},
        ) as response,
    ):
        assert response.headers["traceparent"].split("-")[1] == trace_id
        assert response.headers["traceparent"] != header
        for owner in fixture.owner_by_zone.values():
            for seen in owner.traceparents:
                assert seen.split("-")[1] == trace_id


async def test_a_streamed_answer_never_changes_its_version():
    async def gone_later(request, sub):
        await asyncio.sleep(0.05)
        gone = fakes.failing(errors.ErrorCode.VERSION_GONE)
        return await gone(request, sub)

    async with fakes.running() as fixture:
        for zone in fakes.ZONES:
            fixture.answer(f"{zone}-3", gone_later)
        async with fixture.session.post(
            f"/v1/services/{fakes.SERVICE}/search",
            json={"query": 1, "stream": True},
        ) as response:
            lines = [json.loads(line) async for line in response.content]
    assert {line["index_version"] for line in lines} == {"v2"}
    assert lines[-1]["missing_shards"] == [3]


async def test_explain_says_why_an_answer_is_partial():
    async with fakes.running(table_row=fakes.row(hedge_percent=0)) as fixture:
        for zone in fakes.ZONES:
            fixture.answer(
                f"{zone}-1", fakes.failing(errors.ErrorCode.LEAF_FAILED)
            )
        status, _ = await fixture.search(_HEADERS)
        assert status == 200
        async with fixture.session.get("/v1/explain/r-1") as response:
            record = await response.json()
        async with fixture.session.get("/v1/explain/other") as response:
            assert response.status == 404
    assert "partial: 1 missing (LEAF_FAILED 1)" in record["verdict"]
    (plan,) = record["plans"]
    assert [m["shard"] for m in plan["missing_shards"]] == [1]
    outcomes = {a["shard"]: a["outcome"] for a in plan["attempts"]}
    assert outcomes == {0: "OK", 1: "LEAF_FAILED", 2: "OK", 3: "OK"}


async def test_a_caller_that_leaves_cancels_its_sub_queries():
    async with fakes.running() as fixture:
        for leaf in _ALL_LEAFS:
            fixture.answer(leaf, fakes.delayed(30))
        task = asyncio.create_task(fixture.search())
        await fakes.until(lambda: len(fixture.asked()) == 4)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        await fakes.until(
            lambda: (
                sum(len(o.cancelled) for o in fixture.owner_by_zone.values())
                == len(fixture.asked())
            )
        )
        await fakes.until(lambda: fixture.daemon.gate.queue.running == 0)
