"""Requests through real front processes with a stand-in store and leafs."""

import asyncio
import datetime
import json
import signal

import platform_harness
import pytest

from sassafrashold.standins import records_leaf

# `bounds.grace_s` of the harness: time between SIGTERM and SIGKILL.
_GRACE_S = 6.0


async def test_gathered_answer_holds_the_records_of_all_shards(harness):
    answer = await harness.send_request("/all/x", "r1")
    assert answer.status == 200
    assert answer.missing_shard_count == 0
    services = [part.partition(".")[0] for part in answer.parts]
    assert services == list(platform_harness.SHARDS)
    assert answer.body == platform_harness.expected_records(services, "r1", 5)


async def test_leafs_of_the_local_zone_are_preferred(harness):
    for number in range(10):
        await harness.send_request("/all/x", f"r{number}")
    # A few requests may be hedged on a busy machine.
    local = sum(len(leaf.runs) for leaf in harness.leafs if leaf.zone == "z1")
    total = sum(len(leaf.runs) for leaf in harness.leafs)
    assert local >= 0.7 * total


async def test_unresponsive_shard_is_omitted_in_time_and_counted_as_missing(
    harness,
):
    for zone in platform_harness.ZONES:
        harness.leaf("shard-b", zone).work = datetime.timedelta(seconds=30)
    answer = await harness.send_request("/all/x", "r1")
    assert answer.status == 200
    assert answer.missing_shard_count == 1
    assert answer.duration < datetime.timedelta(milliseconds=900)
    services = [part.partition(".")[0] for part in answer.parts]
    assert services == ["shard-a", "shard-c"]
    assert answer.body == platform_harness.expected_records(services, "r1", 5)


async def test_answer_of_a_single_service_is_forwarded_unchanged(harness):
    answer = await harness.send_request("/one/x?y=%2F", "r1")
    assert answer.status == 200
    (run,) = harness.runs("r1")
    assert run.target == "/one/x?y=%2F"
    leaf = next(x for x in harness.leafs if x.leaf_id == run.leaf_id)
    assert answer.body == leaf.records("r1")
    assert answer.headers["Server-Stamp"] == leaf.signature("r1")


async def test_lost_answer_is_retried_only_for_idempotent_routes(harness):
    for zone in platform_harness.ZONES:
        harness.leaf("single", zone).lose_answers = True
    once = await harness.send_request(
        "/once/x", "r1", method="POST", body=b"job"
    )
    assert once.status == 502
    assert len(harness.runs("r1")) == 1
    assert harness.runs("r1")[0].body == b"job"
    harness.leaf("single", "z2").lose_answers = False
    # Ten requests refill the budget of retries and hedges.
    for number in range(10):
        await harness.send_request("/one/x", f"fill{number}")
    answer = await harness.send_request("/one/x", "r2")
    assert answer.status == 200


async def test_answer_with_status_000_is_not_passed_on(harness):
    for zone in platform_harness.ZONES:
        harness.leaf(
            "single", zone
        ).answer_fault = records_leaf.AnswerFault.NO_STATUS
    once = await harness.send_request("/once/x", "r1", method="POST")
    # 502 promises nothing: the request has run.
    assert once.status == 502
    assert "Server-Stamp" not in once.headers
    assert len(harness.runs("r1")) == 1
    answer = await harness.send_request("/one/x", "r2")
    assert answer.status in {502, 504}


@pytest.mark.parametrize("path", ["/one/x", "/once/x", "/all/x"])
async def test_control_character_in_a_leafs_header_leaves_the_caller_an_answer(
    harness, path
):
    # review/8: the caller's connection was closed without an answer.
    for leaf in harness.leafs:
        leaf.answer_fault = records_leaf.AnswerFault.CONTROL_CHARACTER
    answer = await harness.send_request(path, "r1", method="POST")
    assert answer.status in {502, 504}
    assert "Server-Stamp" not in answer.headers
    for leaf in harness.leafs:
        if leaf.service in {"single", "shard-a"}:
            leaf.answer_fault = None
    answer = await harness.send_request("/one/x", "r2")
    assert answer.status == 200


async def test_request_rejected_by_all_leafs_gets_503_with_retry_after(harness):
    for zone in platform_harness.ZONES:
        harness.leaf("single", zone).reject = True
    answer = await harness.send_request("/once/x", "r1", method="POST")
    assert answer.status == 503
    assert 0 < float(answer.headers["Retry-After"]) <= 1
    assert harness.runs("r1") == []
    assert answer.duration < datetime.timedelta(milliseconds=500)


async def test_unknown_paths_hosts_and_large_bodies_are_rejected(harness):
    assert (await harness.send_request("/none/x", "r1")).status == 404
    assert (
        await harness.send_request("/one/x", "r2", host="b.example")
    ).status == 404
    large = await harness.send_request(
        "/one/x", "r3", method="POST", body=b"x" * 1001
    )
    assert large.status == 413
    assert harness.runs("r3") == []


async def test_new_configuration_takes_effect_on_every_host(harness):
    harness.routes.append(
        platform_harness.route("new", "/new/", service="single")
    )
    await harness.publish_configuration()
    for front in range(2):
        await harness.wait_until_served("/new/x", timeout_s=3, front=front)


async def test_invalid_configuration_leaves_the_previous_one_in_force(harness):
    await harness.store.put("config", "main", {"version": 99, "routes": "?"})
    await asyncio.sleep(0.3)
    assert (await harness.send_request("/one/x", "r1")).status == 200
    assert "configuration can't be read" in harness.fronts[0].read_log()


@pytest.mark.parametrize("spec", [None, 7, {"service": "single"}, "\udcff"])
async def test_malformed_leaf_entry_is_ignored(harness, spec):
    await harness.store.put("servers", "foreign", spec)
    await asyncio.sleep(0.4)
    assert (await harness.send_request("/one/x", "r1")).status == 200


async def test_draining_leaf_gets_no_new_requests(harness):
    for service in platform_harness.SHARDS:
        await harness.put_leaf_entry(harness.leaf(service, "z1"), "draining")
    await asyncio.sleep(0.6)
    for leaf in harness.leafs:
        leaf.runs.clear()
    for number in range(5):
        assert (
            await harness.send_request("/all/x", f"r{number}")
        ).missing_shard_count == 0
    drained = [x for x in harness.leafs if x.zone == "z1" and x.runs]
    assert drained == []


async def test_zone_out_of_service_gets_no_requests_until_restored(harness):
    await harness.store.put("evacuations", "z1", {})
    await asyncio.sleep(0.3)
    for leaf in harness.leafs:
        leaf.runs.clear()
    assert (await harness.send_request("/all/x", "r1")).missing_shard_count == 0
    assert all(not leaf.runs for leaf in harness.leafs if leaf.zone == "z1")
    await harness.store.remove("evacuations", "z1")
    await asyncio.sleep(0.3)
    await harness.send_request("/all/x", "r2")
    assert any(leaf.runs for leaf in harness.leafs if leaf.zone == "z1")


async def test_hosts_serve_during_store_outage_and_catch_up_afterwards(harness):
    harness.store.away = True
    await asyncio.sleep(0.3)
    assert (await harness.send_request("/all/x", "r1")).status == 200
    harness.routes.append(
        platform_harness.route("new", "/new/", service="single")
    )
    await harness.publish_configuration()
    harness.store.away = False
    await harness.wait_until_served("/new/x", timeout_s=4)


async def test_hosts_catch_up_after_store_calls_time_out(harness):
    harness.store.silent = True
    await asyncio.sleep(4.5)
    harness.routes.append(
        platform_harness.route("new", "/new/", service="single")
    )
    await harness.publish_configuration()
    harness.store.silent = False
    await harness.wait_until_served("/new/x", timeout_s=4)


async def test_hosts_catch_up_after_the_store_drops_its_history(harness):
    harness.routes.append(
        platform_harness.route("new", "/new/", service="single")
    )
    await harness.store.forget_history()
    await harness.publish_configuration()
    await harness.wait_until_served("/new/x", timeout_s=3)


async def test_caller_disconnect_cancels_the_request_on_the_leaf(harness):
    for zone in platform_harness.ZONES:
        harness.leaf("single", zone).work = datetime.timedelta(seconds=30)
    request = asyncio.create_task(
        harness.send_request("/once/x", "r1", method="POST")
    )
    await asyncio.sleep(0.3)
    request.cancel()
    await asyncio.sleep(0.5)
    cancelled = sum(
        harness.leaf("single", z).cancelled for z in platform_harness.ZONES
    )
    assert cancelled == 1


async def test_graceful_shutdown_fails_no_request(harness):
    front = harness.fronts[0]
    for zone in platform_harness.ZONES:
        harness.leaf("single", zone).work = datetime.timedelta(milliseconds=100)
    statuses = []
    stop = asyncio.Event()

    async def caller(number):
        count = 0
        while not stop.is_set():
            count += 1
            answer = await harness.send_request("/one/x", f"c{number}-{count}")
            statuses.append(answer.status)

    callers = [asyncio.create_task(caller(n)) for n in range(4)]
    await asyncio.sleep(0.3)
    front.send_signal(signal.SIGTERM)
    await harness.wait_for_readiness(front, expected_status=503)
    await asyncio.sleep(1.0)
    stop.set()
    await asyncio.gather(*callers)
    assert set(statuses) == {200}
    assert await front.wait_for_exit(6) == 0


async def test_requests_that_outlast_a_planned_stop_are_answered(harness):
    # Guards against requests that are taken, also late in the grace time, and
    # end without an answer when the process is killed at its end.
    front = harness.fronts[0]
    for zone in platform_harness.ZONES:
        harness.leaf("single", zone).work = datetime.timedelta(seconds=30)

    def send(number):
        return asyncio.create_task(
            harness.send_request(
                "/long/x",
                f"r{number}",
                method="POST",
                body=b"job",
                deadline_ms=20_000,
            )
        )

    loop = asyncio.get_running_loop()
    requests = [send(0)]
    await asyncio.sleep(0.2)
    front.send_signal(signal.SIGTERM)
    killed_at = loop.time() + _GRACE_S
    for number in range(1, 4):
        await asyncio.sleep(0.8)
        requests.append(send(number))
    await asyncio.sleep(killed_at - loop.time())
    if front.process.poll() is None:
        front.send_signal(signal.SIGKILL)
    answers = await asyncio.gather(*requests)
    # 504 promises nothing: each of them has begun to run.
    assert [answer.status for answer in answers] == [504] * 4
    assert [len(harness.runs(f"r{number}")) for number in range(4)] == [1] * 4


async def test_sighup_during_startup_does_not_end_the_process(harness):
    """Guards against an unhandled SIGHUP during startup (soak seed 1008).

    The signal ended the process without a line in the log.
    """
    front = harness.fronts[0]
    front.send_signal(signal.SIGKILL)
    await front.wait_for_exit(5)
    front.start()
    await harness.wait_until_listening(front)
    front.send_signal(signal.SIGHUP)
    await harness.wait_for_readiness(front)


async def test_killed_host_recovers_while_the_other_host_serves(harness):
    front = harness.fronts[0]
    front.send_signal(signal.SIGKILL)
    await front.wait_for_exit(5)
    assert (await harness.send_request("/all/x", "r1", front=1)).status == 200
    front.start()
    await harness.wait_for_readiness(front)
    assert (await harness.send_request("/all/x", "r2")).status == 200


async def test_failed_request_is_logged_with_its_outcome(harness):
    for zone in platform_harness.ZONES:
        harness.leaf("single", zone).lose_answers = True
    await harness.send_request("/once/x", "r-lost", method="POST")
    await asyncio.sleep(0.2)
    lines = [
        json.loads(line)
        for line in harness.fronts[0].read_log().splitlines()
        if "r-lost" in line
    ]
    assert any(
        line.get("outcome") == "leaf_failed" and line["route"] == "once"
        for line in lines
    )


async def test_host_started_without_the_store_copies_state_from_a_peer(harness):
    front = harness.fronts[1]
    front.send_signal(signal.SIGKILL)
    await front.wait_for_exit(5)
    harness.store.away = True
    front.start()
    await harness.wait_for_readiness(front)
    assert (await harness.send_request("/all/x", "r1", front=1)).status == 200


async def test_two_hosts_of_a_zone_read_the_store_for_all(tmp_path):
    async with platform_harness.PlatformHarness(tmp_path, fronts=5) as harness:
        await asyncio.sleep(6)
        assert "following host" in harness.fronts[4].read_log()
        harness.store.count_by_call.clear()
        harness.routes.append(
            platform_harness.route("new", "/new/", service="single")
        )
        await harness.publish_configuration()
        for front in range(5):
            await harness.wait_until_served("/new/x", timeout_s=2, front=front)
        # Without both readers, the other hosts read the store or follow a peer.
        for front in harness.fronts[:2]:
            front.send_signal(signal.SIGKILL)
            await front.wait_for_exit(5)
        harness.routes.append(
            platform_harness.route("more", "/more/", service="single")
        )
        await harness.publish_configuration()
        for front in (2, 3, 4):
            await harness.wait_until_served("/more/x", timeout_s=3, front=front)


async def test_metrics_count_requests_by_cause(harness):
    await harness.send_request("/one/x", "r1")
    await harness.send_request("/none/x", "r2")
    port = harness.fronts[0].metrics_port
    async with harness.session.get(
        f"http://127.0.0.1:{port}/metrics"
    ) as answer:
        text = await answer.text()
    assert 'sassafras_requests_total{cause="",status="200"} 1.0' in text
    assert 'sassafras_requests_total{cause="no_route",status="404"}' in text
    assert "sassafras_ready 1.0" in text


async def test_host_without_store_access_follows_a_peer(tmp_path):
    """Guards against a host that keeps stale state (incident inc-bfa9).

    The host lost access to the store and kept its old state for 13 s.
    """
    async with platform_harness.PlatformHarness(
        tmp_path, fronts=2, proxied=True
    ) as harness:
        await asyncio.sleep(6)
        link = next(link for link in harness.links if link.name == "store-1")
        await link.close()
        harness.links.remove(link)
        await harness.wait_for_log(
            harness.fronts[1], lambda log: "following host while" in log, 5
        )
        harness.routes.append(
            platform_harness.route("new", "/new/", service="single")
        )
        await harness.publish_configuration()
        await harness.wait_until_served("/new/x", timeout_s=3, front=1)
        leaf = harness.leaf("single", "z1")
        await harness.put_leaf_entry(leaf, "draining")
        await harness.wait_for_log(
            harness.fronts[1], lambda log: leaf.leaf_id in _drained(log), 3
        )


def _drained(log: str) -> set[str]:
    lines = [json.loads(line) for line in log.splitlines()]
    return {
        text.split()[0] for line in lines for text in line.get("draining", ())
    }
