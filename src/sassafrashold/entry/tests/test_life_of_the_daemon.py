import asyncio
import json

from sassafrashold import errors
from sassafrashold import table as table_lib
from sassafrashold.entry import _status
from sassafrashold.entry.tests import entry_fakes as fakes

_DISPATCH = f"/v1/services/{fakes.SERVICE}/dispatch"
_KEY = {"Idempotency-Key": "k"}
_BOTH = table_lib.Kind.BOTH


async def test_a_graceful_shutdown_interrupts_no_request():
    async with fakes.running(balancer_ms=150) as fixture:
        for shard in range(4):
            for zone in fakes.ZONES:
                fixture.answer(f"{zone}-{shard}", fakes.delayed(0.4))
        first = asyncio.create_task(fixture.search())
        await fakes.until(lambda: len(fixture.asked()) >= 4)
        fixture.stopping.set()
        await asyncio.sleep(0)
        async with fixture.session.get("/readyz") as response:
            assert response.status == 503
            reasons = (await response.json())["reasons"]
            assert "the process is stopping" in reasons
        # The balancer has not noticed yet.
        second = asyncio.create_task(fixture.search())
        for status, answer in await asyncio.gather(first, second):
            assert (status, answer["partial"]) == (200, False)
        await asyncio.wait_for(fixture.task, 5)


async def test_after_the_balancer_time_new_requests_are_refused_as_not_run():
    async with fakes.running() as fixture:
        for leaf in [f"{z}-{n}" for z in fakes.ZONES for n in range(4)]:
            fixture.answer(leaf, fakes.delayed(0.4))
        first = asyncio.create_task(fixture.search())
        await fakes.until(lambda: len(fixture.asked()) >= 4)
        # A second connection is open before the listener is closed.
        async with fixture.session.get("/healthz") as response:
            assert response.status == 200
        fixture.stopping.set()
        await fakes.until(lambda: fixture.daemon._http.is_refusing)
        status, answer = await fixture.search()
        assert (status, answer["error"]["code"]) == (503, "DRAINING")
        assert answer["error"]["ran"] == "not_run"
        status, answer = await first
        assert (status, answer["partial"]) == (200, False)


async def test_readiness_needs_a_view_and_says_what_is_missing():
    async with fakes.running() as fixture:
        async with fixture.session.get("/readyz") as response:
            assert response.status == 200
        fixture.daemon.feed._disconnected_since -= fakes.seconds(11)
        async with fixture.session.get("/readyz") as response:
            assert response.status == 503
            (reason,) = (await response.json())["reasons"]
    assert "control has not been seen" in reason


async def test_a_fact_that_is_not_known_is_null_and_reads_unknown():
    async with fakes.running() as fixture:
        async with fixture.session.get("/v1/status") as response:
            facts = await response.json()
        async with fixture.session.get(
            "/v1/status", headers={"Accept": "text/plain"}
        ) as response:
            page = await response.text()
    by_name = {(f["source"], f["name"], f["subject"]): f for f in facts}
    assert by_name["entry", "table_revision", "config/table"]["value"] == 1
    assert (
        by_name["entry", "pinned_version", "shardmaps/tide-desk"]["value"]
        == "v2"
    )
    assert by_name["control", "status", "control"]["value"] is None
    assert "control: status control: unknown (unknown age)" in page
    assert all(
        {"name", "subject", "value", "age_ms", "source"} <= f.keys()
        for f in facts
    )


def test_a_status_line_without_a_value_is_not_read_as_zero():
    assert list(_status.lines([{"name": "a", "subject": "b"}])) == [
        "None: a b: unknown (unknown age)"
    ]


async def test_a_dispatch_goes_to_one_leaf_and_returns_its_result():
    seen = []

    async def record(request):
        seen.append((request.leaf, request.claim_id, json.loads(request.body)))

    async with fakes.running(table_row=fakes.row(kind=_BOTH)) as fixture:
        for owner in fixture.owner_by_zone.values():
            owner.answer_by_leaf["dispatch"] = record
        async with fixture.session.post(
            _DISPATCH, json={"body": {"n": 1}}, headers=_KEY
        ) as response:
            answer = await response.json()
        async with fixture.session.post(
            _DISPATCH, json={"body": {"n": 1}}, headers=_KEY
        ) as response:
            replay = await response.json()
    assert (response.status, answer["result"]) == (200, {"sent": 1})
    assert (replay["result"], replay["replayed"]) == ({"sent": 1}, True)
    assert [body for _, _, body in seen] == [{"n": 1}]


async def test_a_refusal_before_the_claim_does_not_speak_for_other_attempts():
    async with fakes.running(table_row=fakes.row(kind=_BOTH)) as fixture:
        fixture.daemon._http.is_refusing = True
        for headers, ran in (
            (_KEY, "outcome_unknown"),
            (_KEY | {"Idempotency-Attempt": "2"}, "outcome_unknown"),
            (_KEY | {"Idempotency-Attempt": "1"}, "not_run"),
        ):
            async with fixture.session.post(
                _DISPATCH, json={"body": 1}, headers=headers
            ) as response:
                error = (await response.json())["error"]
            assert (error["code"], error["ran"]) == ("DRAINING", ran)


async def test_a_dispatch_is_repeated_only_when_it_certainly_did_not_run():
    cases = [
        (errors.ErrorCode.NOT_OWNER, errors.Ran.NOT_RUN, 200, 2),
        (errors.ErrorCode.LEAF_FAILED, errors.Ran.OUTCOME_UNKNOWN, 502, 1),
        (errors.ErrorCode.UNAVAILABLE, errors.Ran.OUTCOME_UNKNOWN, 502, 1),
    ]
    async with fakes.running(table_row=fakes.row(kind=_BOTH)) as fixture:
        for code, ran, status, sends in cases:
            seen: list[str] = []

            async def refuse_once(request, seen=seen, code=code, ran=ran):
                seen.append(request.leaf)
                if len(seen) == 1:
                    raise errors.LeafError(code, "refused", ran=ran)

            for owner in fixture.owner_by_zone.values():
                owner.answer_by_leaf["dispatch"] = refuse_once
            async with fixture.session.post(
                _DISPATCH,
                json={"body": 1},
                headers={"Idempotency-Key": f"{code.value}-{ran.value}"},
            ) as response:
                answer = await response.json()
            assert (response.status, len(seen)) == (status, sends)
            if status != 200:
                assert answer["error"]["ran"] == "outcome_unknown"


async def test_a_dispatch_is_driven_to_its_end_when_its_caller_leaves():
    started = asyncio.Event()
    ended = asyncio.Event()

    async def slow(request):
        started.set()
        await asyncio.sleep(0.1)
        ended.set()

    async with fakes.running(table_row=fakes.row(kind=_BOTH)) as fixture:
        for owner in fixture.owner_by_zone.values():
            owner.answer_by_leaf["dispatch"] = slow
        call = asyncio.create_task(
            fixture.session.post(_DISPATCH, json={"body": 1}, headers=_KEY)
        )
        await started.wait()
        call.cancel()
        await asyncio.wait_for(ended.wait(), 5)
