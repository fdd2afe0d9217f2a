"""The whole path in real processes on stand-ins of the users' platform."""

import asyncio
import datetime
import json
import signal

import platform_world
import pytest


async def test_a_gathered_answer_is_whole_and_true(world):
    answer = await world.ask("/all/x", "r1")
    assert answer.status == 200
    assert answer.missing == 0
    services = [part.partition(".")[0] for part in answer.parts]
    assert services == list(platform_world.SHARDS)
    assert answer.body == platform_world.greatest(services, "r1", 5)


async def test_leafs_of_the_own_zone_come_first(world):
    for number in range(10):
        await world.ask("/all/x", f"r{number}")
    # A few requests may be hedged on a busy machine.
    own = sum(len(leaf.runs) for leaf in world.leafs if leaf.zone == "z1")
    total = sum(len(leaf.runs) for leaf in world.leafs)
    assert own >= 0.7 * total


async def test_a_dark_shard_is_left_out_in_time_and_named_as_missing(world):
    for zone in platform_world.ZONES:
        world.leaf("shard-b", zone).work = datetime.timedelta(seconds=30)
    answer = await world.ask("/all/x", "r1")
    assert answer.status == 200
    assert answer.missing == 1
    assert answer.duration < datetime.timedelta(milliseconds=900)
    services = [part.partition(".")[0] for part in answer.parts]
    assert services == ["shard-a", "shard-c"]
    assert answer.body == platform_world.greatest(services, "r1", 5)


async def test_a_single_answer_is_passed_on_unchanged(world):
    answer = await world.ask("/one/x?y=%2F", "r1")
    assert answer.status == 200
    (run,) = world.runs("r1")
    assert run.target == "/one/x?y=%2F"
    leaf = next(x for x in world.leafs if x.leaf_id == run.leaf_id)
    assert answer.body == leaf.records("r1")
    assert answer.headers["Server-Stamp"] == leaf.signature("r1")


async def test_a_lost_answer_is_asked_for_again_only_if_idempotent(world):
    for zone in platform_world.ZONES:
        world.leaf("single", zone).lose_answers = True
    once = await world.ask("/once/x", "r1", method="POST", body=b"job")
    assert once.status == 502
    assert len(world.runs("r1")) == 1
    assert world.runs("r1")[0].body == b"job"
    world.leaf("single", "z2").lose_answers = False
    # Ten requests fill the budget of extra calls.
    for number in range(10):
        await world.ask("/one/x", f"fill{number}")
    answer = await world.ask("/one/x", "r2")
    assert answer.status == 200


async def test_a_rejected_request_is_refused_with_a_time_to_return(world):
    for zone in platform_world.ZONES:
        world.leaf("single", zone).reject = True
    answer = await world.ask("/once/x", "r1", method="POST")
    assert answer.status == 503
    assert 0 < float(answer.headers["Retry-After"]) <= 1
    assert world.runs("r1") == []
    assert answer.duration < datetime.timedelta(milliseconds=500)


async def test_unknown_paths_and_large_bodies_are_refused(world):
    assert (await world.ask("/none/x", "r1")).status == 404
    assert (await world.ask("/one/x", "r2", host="b.example")).status == 404
    large = await world.ask("/one/x", "r3", method="POST", body=b"x" * 1001)
    assert large.status == 413
    assert world.runs("r3") == []


async def test_a_new_version_is_in_force_on_every_host(world):
    world.routes.append(platform_world.route("new", "/new/", service="single"))
    await world.configure()
    for front in range(2):
        await world.until_served("/new/x", timeout_s=3, front=front)


async def test_a_configuration_that_cannot_be_read_leaves_the_old_one(world):
    await world.store.put("config", "main", {"version": 99, "routes": "?"})
    await asyncio.sleep(0.3)
    assert (await world.ask("/one/x", "r1")).status == 200
    assert "configuration can't be read" in world.fronts[0].log()


@pytest.mark.parametrize("spec", [None, 7, {"service": "single"}, "\udcff"])
async def test_a_foreign_entry_disturbs_nothing(world, spec):
    await world.store.put("servers", "foreign", spec)
    await asyncio.sleep(0.4)
    assert (await world.ask("/one/x", "r1")).status == 200


async def test_a_draining_leaf_gets_no_more_work(world):
    for service in platform_world.SHARDS:
        await world.list_leaf(world.leaf(service, "z1"), "draining")
    await asyncio.sleep(0.6)
    for leaf in world.leafs:
        leaf.runs.clear()
    for number in range(5):
        assert (await world.ask("/all/x", f"r{number}")).missing == 0
    drained = [x for x in world.leafs if x.zone == "z1" and x.runs]
    assert drained == []


async def test_a_zone_out_of_service_gets_no_work_until_it_is_back(world):
    await world.store.put("evacuations", "z1", {})
    await asyncio.sleep(0.3)
    for leaf in world.leafs:
        leaf.runs.clear()
    assert (await world.ask("/all/x", "r1")).missing == 0
    assert all(not leaf.runs for leaf in world.leafs if leaf.zone == "z1")
    await world.store.remove("evacuations", "z1")
    await asyncio.sleep(0.3)
    await world.ask("/all/x", "r2")
    assert any(leaf.runs for leaf in world.leafs if leaf.zone == "z1")


async def test_hosts_serve_on_without_the_store_and_catch_up_after(world):
    world.store.away = True
    await asyncio.sleep(0.3)
    assert (await world.ask("/all/x", "r1")).status == 200
    world.routes.append(platform_world.route("new", "/new/", service="single"))
    await world.configure()
    world.store.away = False
    await world.until_served("/new/x", timeout_s=4)


async def test_hosts_catch_up_after_calls_that_got_no_answer(world):
    world.store.silent = True
    await asyncio.sleep(4.5)
    world.routes.append(platform_world.route("new", "/new/", service="single"))
    await world.configure()
    world.store.silent = False
    await world.until_served("/new/x", timeout_s=4)


async def test_hosts_catch_up_after_the_store_dropped_its_history(world):
    world.routes.append(platform_world.route("new", "/new/", service="single"))
    await world.store.forget_history()
    await world.configure()
    await world.until_served("/new/x", timeout_s=3)


async def test_the_leaf_stops_when_the_caller_leaves(world):
    for zone in platform_world.ZONES:
        world.leaf("single", zone).work = datetime.timedelta(seconds=30)
    asking = asyncio.create_task(world.ask("/once/x", "r1", method="POST"))
    await asyncio.sleep(0.3)
    asking.cancel()
    await asyncio.sleep(0.5)
    cancelled = sum(
        world.leaf("single", z).cancelled for z in platform_world.ZONES
    )
    assert cancelled == 1


async def test_a_graceful_end_cuts_off_no_request(world):
    front = world.fronts[0]
    for zone in platform_world.ZONES:
        world.leaf("single", zone).work = datetime.timedelta(milliseconds=100)
    statuses = []
    stop = asyncio.Event()

    async def caller(number):
        count = 0
        while not stop.is_set():
            count += 1
            answer = await world.ask("/one/x", f"c{number}-{count}")
            statuses.append(answer.status)

    callers = [asyncio.create_task(caller(n)) for n in range(4)]
    await asyncio.sleep(0.3)
    front.signal(signal.SIGTERM)
    await world.ready(front, wanted=503)
    await asyncio.sleep(1.0)
    stop.set()
    await asyncio.gather(*callers)
    assert set(statuses) == {200}
    assert await front.exited(6) == 0


async def test_a_hang_up_while_the_program_loads_does_not_end_it(world):
    """The process ended without a line in the log (soak, seed 1008)."""
    front = world.fronts[0]
    front.signal(signal.SIGKILL)
    await front.exited(5)
    front.start()
    await world.until_listening(front)
    front.signal(signal.SIGHUP)
    await world.ready(front)


async def test_a_killed_host_is_ready_again_and_the_other_serves(world):
    front = world.fronts[0]
    front.signal(signal.SIGKILL)
    await front.exited(5)
    assert (await world.ask("/all/x", "r1", front=1)).status == 200
    front.start()
    await world.ready(front)
    assert (await world.ask("/all/x", "r2")).status == 200


async def test_a_failed_request_leaves_a_line_with_its_cause(world):
    for zone in platform_world.ZONES:
        world.leaf("single", zone).lose_answers = True
    await world.ask("/once/x", "r-lost", method="POST")
    await asyncio.sleep(0.2)
    lines = [
        json.loads(line)
        for line in world.fronts[0].log().splitlines()
        if "r-lost" in line
    ]
    assert any(
        line.get("outcome") == "leaf_failed" and line["route"] == "once"
        for line in lines
    )


async def test_a_host_that_starts_without_the_store_copies_from_another(world):
    front = world.fronts[1]
    front.signal(signal.SIGKILL)
    await front.exited(5)
    world.store.away = True
    front.start()
    await world.ready(front)
    assert (await world.ask("/all/x", "r1", front=1)).status == 200


async def test_a_zone_of_many_hosts_reads_the_store_through_two(tmp_path):
    async with platform_world.World(tmp_path, fronts=5) as world:
        await asyncio.sleep(6)
        assert "following host" in world.fronts[4].log()
        world.store.count_by_call.clear()
        world.routes.append(
            platform_world.route("new", "/new/", service="single")
        )
        await world.configure()
        for front in range(5):
            await world.until_served("/new/x", timeout_s=2, front=front)
        # Both readers end: the others find the store or each other.
        for front in world.fronts[:2]:
            front.signal(signal.SIGKILL)
            await front.exited(5)
        world.routes.append(
            platform_world.route("more", "/more/", service="single")
        )
        await world.configure()
        for front in (2, 3, 4):
            await world.until_served("/more/x", timeout_s=3, front=front)


async def test_metrics_count_requests_by_cause(world):
    await world.ask("/one/x", "r1")
    await world.ask("/none/x", "r2")
    port = world.fronts[0].metrics_port
    async with world.session.get(f"http://127.0.0.1:{port}/metrics") as answer:
        text = await answer.text()
    assert 'sassafras_requests_total{cause="",status="200"} 1.0' in text
    assert 'sassafras_requests_total{cause="no_route",status="404"}' in text
    assert "sassafras_ready 1.0" in text


async def test_a_host_that_the_store_turns_away_follows_another(tmp_path):
    """Such a host kept its old knowledge for 13 s (incident inc-bfa9)."""
    async with platform_world.World(tmp_path, fronts=2, proxied=True) as world:
        await asyncio.sleep(6)
        link = next(link for link in world.links if link.name == "store-1")
        await link.close()
        world.links.remove(link)
        await world.until_logged(
            world.fronts[1], lambda log: "following host while" in log, 5
        )
        world.routes.append(
            platform_world.route("new", "/new/", service="single")
        )
        await world.configure()
        await world.until_served("/new/x", timeout_s=3, front=1)
        leaf = world.leaf("single", "z1")
        await world.list_leaf(leaf, "draining")
        await world.until_logged(
            world.fronts[1], lambda log: leaf.leaf_id in _drained(log), 3
        )


def _drained(log: str) -> set[str]:
    lines = [json.loads(line) for line in log.splitlines()]
    return {line["leaf"] for line in lines if line.get("draining")}
