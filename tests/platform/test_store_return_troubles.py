"""Troubles around a return of the store from an older copy.

The store is away, silent, stale or cut off, or hosts start, stop or sleep when
it comes back. Also what a host misses that goes on with the store from a copy
that another host gave it (issue 44).
"""

import asyncio
import collections
import contextlib
import signal

import platform_harness
import pytest
import pytest_asyncio

from sassafrashold.standins import _proxy

_FRONT_COUNT = 2
# `bounds.config_apply_ms`, `drain_ms`, `stable_window_ms` and
# `downgrade_slack_ms` of the users' deployments.
_CONFIGURATION_DUE_S = 3.0
_DRAIN_S = 3.0
_STABLE_WINDOW_S = 4.0
_DOWNGRADE_SLACK_S = 0.25
# More than are lost with the copy, so that the counter passes the revision that
# the hosts have reached.
_PASSING_WRITES = 20
_STALE_LAG_S = 4.0
_COPY_PATH = "/v2/copy"
_KIND_BY_TOPIC = {
    "configuration": "config",
    "leafs": "servers",
    "zones_out": "evacuations",
}


def _now():
    return asyncio.get_running_loop().time()


async def _last(find, due):
    """Repeats a search until it finds nothing or began after `due`.

    Returns:
        What the last search found.
    """
    while True:
        began_at = _now()
        found = await find()
        if not found or began_at >= due:
            return found
        await asyncio.sleep(0.1)


class _Callers:
    """Asks every host for every route, and notes routes that a host drops."""

    def __init__(self, harness):
        self._harness = harness
        self._seen_at = {}
        self.paths = []
        self.downgrades = []
        self.first_served = collections.defaultdict(dict)

    async def run(self):
        while True:
            await asyncio.gather(
                *(self._ask(front) for front in range(_FRONT_COUNT))
            )
            await asyncio.sleep(0.05)

    def forget(self, front):
        """A host that starts again may begin with an older version."""
        self._seen_at = {
            key: at for key, at in self._seen_at.items() if key[0] != front
        }

    async def _ask(self, front):
        for path in list(self.paths):
            sent_at = _now()
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(0.5):
                    answer = await self._harness.send_request(
                        path, "downgrade", front=front
                    )
                self._note(front, path, answer.status, sent_at)

    def _note(self, front, path, status, sent_at):
        if status == 200:
            self._seen_at.setdefault((front, path), _now())
            self.first_served[path].setdefault(front, sent_at)
        elif status == 404:
            seen_at = self._seen_at.get((front, path))
            if seen_at is not None and sent_at > seen_at + _DOWNGRADE_SLACK_S:
                self.downgrades.append((front, path))


class _Platform:
    """A harness with callers, and the checks of the tests."""

    def __init__(self, harness, callers):
        self.harness = harness
        self.store = harness.store
        self.callers = callers
        self._written = 0

    def store_link(self, front):
        (link,) = _proxy.select(self.harness.links, f"store-{front}")
        return link

    async def publish_route(self, name):
        """Publishes a version with one more route; returns its time."""
        self.harness.routes.append(
            platform_harness.route(name, f"/{name}/", service="single")
        )
        await self.harness.publish_configuration()
        self.callers.paths.append(f"/{name}/x")
        return _now()

    async def write_entries(self, count=1):
        """Writes objects of new names, whose loss nothing would make good."""
        for _ in range(count):
            self._written += 1
            name = f"written-{self._written}"
            await self.store.put("evacuations", name, {})
            await self.store.put("servers", name, {"service": "none"})
            if self._written > 3:
                old = f"written-{self._written - 3}"
                await self.store.remove("evacuations", old)

    async def lose_changes(self):
        """Writes what all hosts follow; returns the copy from before."""
        older = self.store.take_copy()
        kept_routes = list(self.harness.routes)
        self.harness.routes.append(
            platform_harness.route("lost", "/lost/", service="single")
        )
        for _ in range(4):
            await self.harness.publish_configuration()
        await self.write_entries(4)
        await self.harness.publish_configuration()
        for front in range(_FRONT_COUNT):
            await self.harness.wait_until_served("/lost/x", 5, front)
        assert await _last(self.differences, _now() + 3.0) == []
        self.harness.routes[:] = kept_routes
        return older

    async def pass_old_revisions(self):
        for number in range(_PASSING_WRITES):
            await self.store.put("other", "counter", {"value": number})

    async def assert_followed(self, stable_from):
        """Publishes at once and later; asserts both are in force in time.

        Nothing is written in between that would make good a loss.

        Args:
            stable_from: When the hosts are back in touch, in the time of the
                loop; a version is not due before.
        """
        for name in ("at-once", "later"):
            acknowledged_at = await self.publish_route(name)
            await self.write_entries()
            await self.pass_old_revisions()
            await self.assert_in_force(
                [f"/{name}/x"],
                max(acknowledged_at + _CONFIGURATION_DUE_S, stable_from),
            )

    async def assert_in_force(self, paths, due):
        """Waits for routes at all hosts, at most until `due`."""
        assert await _last(lambda: self.missing(paths), due) == []
        # Hosts also list what was written before.
        assert await _last(self.differences, due) == []
        assert self.callers.downgrades == []

    async def wait_until_it_knows_others(self, front):
        """Waits until a host has read which other hosts there are."""
        port = self.harness.fronts[front].metrics_port
        count = None
        async with asyncio.timeout(10):
            # Before its first list it assumes many hosts.
            while count != _FRONT_COUNT:
                async with self.harness.session.get(
                    f"http://127.0.0.1:{port}/metrics"
                ) as answer:
                    text = await answer.text()
                (count,) = (
                    float(line.split()[1])
                    for line in text.splitlines()
                    if line.startswith("sassafras_hosts ")
                )
                await asyncio.sleep(0.05)

    async def missing(self, paths):
        keys = [(f, path) for f in range(_FRONT_COUNT) for path in paths]
        answers = await asyncio.gather(
            *(
                self.harness.send_request(path, "probe", front=front)
                for front, path in keys
            )
        )
        return [
            key
            for key, answer in zip(keys, answers, strict=True)
            if answer.status != 200
        ]

    async def differences(self, fronts=None):
        """Returns what copies of hosts, or of all, have unlike the store."""
        held = self.store.take_copy().object_by_key
        found = []
        for front in fronts or self.harness.fronts:
            url = f"http://{front.control_address}{_COPY_PATH}"
            async with self.harness.session.get(url) as answer:
                copies = await answer.json(content_type=None)
            for topic, kind in _KIND_BY_TOPIC.items():
                copied = {
                    name: content["spec"]
                    for name, content, _ in copies[topic]["documents"]
                }
                stored = {
                    name: document["spec"]
                    for (k, name), document in held.items()
                    if k == kind
                }
                found.extend(
                    (front.name, topic, name)
                    for name in sorted({*copied, *stored})
                    if copied.get(name) != stored.get(name)
                )
        return found

    async def late_runs(self, leaf, path="/one/x", seconds=0.5):
        """Sends requests to all hosts; returns the ids of those at a leaf."""
        end = _now() + seconds
        count = 0
        while _now() < end:
            count += 1
            for front in range(_FRONT_COUNT):
                await self.harness.send_request(
                    path, f"late-{front}-{count}", front=front
                )
            await asyncio.sleep(0.02)
        return [
            run.request_id
            for run in leaf.runs
            if run.request_id.startswith("late-")
        ]


@pytest_asyncio.fixture
async def platform(tmp_path):
    async with platform_harness.PlatformHarness(
        tmp_path, fronts=_FRONT_COUNT, proxied=True
    ) as harness:
        callers = _Callers(harness)
        tasks = [
            asyncio.create_task(task)
            for task in (callers.run(), harness.store.keep_copies())
        ]
        yield _Platform(harness, callers)
        for task in tasks:
            # Shows a failure of the task itself.
            assert not task.done() or task.result() is None
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


# Guards against hosts that keep their old place while the store is away.
async def test_changes_are_followed_after_an_outage_that_ends_with_a_return(
    platform,
):
    older = await platform.lose_changes()
    platform.store.away = True
    await asyncio.sleep(1.0)
    await platform.store.restore(older)
    platform.store.away = False
    await platform.assert_followed(_now() + _STABLE_WINDOW_S)


# Guards against hosts that wait for watches which the return has orphaned.
async def test_changes_are_followed_after_a_return_that_orphans_watches(
    platform,
):
    leaf = platform.harness.leaf("single", "z1")
    older = await platform.lose_changes()
    await platform.store.restore(older, cuts_watches=False)
    stable_from = _now() + _STABLE_WINDOW_S
    await platform.assert_followed(stable_from)
    # The bound holds for what a stable store has acknowledged.
    await asyncio.sleep(max(0.0, stable_from - _now()))
    await platform.harness.put_leaf_entry(leaf, "draining")
    await asyncio.sleep(_DRAIN_S)
    assert await platform.late_runs(leaf) == []


# Guards against a host that goes on with the store from another host's place.
async def test_cut_off_host_follows_after_a_return_that_it_did_not_see(
    platform,
):
    await platform.wait_until_it_knows_others(1)
    older = await platform.lose_changes()
    link = platform.store_link(1)
    link.faults = _proxy.Faults(cut="both")
    await platform.harness.wait_for_log(
        platform.harness.fronts[1],
        lambda log: "following host while the store is unavailable" in log,
        8,
    )
    await platform.write_entries(3)
    await platform.store.restore(older)
    await platform.publish_route("meanwhile")
    await platform.write_entries(3)
    await platform.pass_old_revisions()
    await asyncio.sleep(1.0)
    link.faults = _proxy.Faults()
    await platform.assert_followed(_now() + _STABLE_WINDOW_S)


# Guards against a start that mixes what it read before and after the return.
async def test_host_that_starts_during_a_return_follows(platform):
    older = await platform.lose_changes()
    front = platform.harness.fronts[1]
    front.send_signal(signal.SIGKILL)
    await front.wait_for_exit(5)
    platform.callers.forget(1)
    front.start()
    await platform.harness.wait_until_listening(front)
    await platform.store.restore(older)
    stable_from = _now() + _STABLE_WINDOW_S
    await platform.harness.wait_for_readiness(front)
    await platform.assert_followed(stable_from)


# Guards against a host that sleeps through the return and keeps its place.
async def test_host_that_was_suspended_during_a_return_follows(platform):
    older = await platform.lose_changes()
    front = platform.harness.fronts[1]
    front.send_signal(signal.SIGSTOP)
    try:
        await platform.store.restore(older)
        await platform.publish_route("meanwhile")
        await platform.write_entries(3)
        await platform.pass_old_revisions()
        await asyncio.sleep(1.0)
    finally:
        front.send_signal(signal.SIGCONT)
    await platform.assert_followed(_now() + _STABLE_WINDOW_S)


# Guards against hosts that apply stale reads of the lost history.
async def test_changes_are_followed_while_stale_reads_show_the_lost_history(
    platform,
):
    platform.store.stale_lag_s = _STALE_LAG_S
    await asyncio.sleep(0.3)
    began_at = _now()
    await platform.lose_changes()
    await asyncio.sleep(1.0)
    await platform.store.restore(
        platform.store.copy_older_than(_now() - began_at)
    )
    await platform.assert_followed(_now() + _STABLE_WINDOW_S)


# Guards against a stop or a signal that leaves a host with its old place.
async def test_hosts_follow_after_a_return_during_sighup_and_planned_restart(
    platform,
):
    older = await platform.lose_changes()
    first, second = platform.harness.fronts
    first.send_signal(signal.SIGHUP)
    second.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.3)
    await platform.store.restore(older)
    await platform.publish_route("meanwhile")
    await platform.pass_old_revisions()
    await second.wait_for_exit(8)
    platform.callers.forget(1)
    second.start()
    await platform.harness.wait_for_readiness(second)
    await platform.assert_followed(_now() + _STABLE_WINDOW_S)


# Guards against hosts that see only one of two returns.
async def test_changes_are_followed_after_two_returns_within_one_second(
    platform,
):
    older = await platform.lose_changes()
    await platform.store.restore(older)
    await platform.write_entries(5)
    newer = platform.store.take_copy()
    await platform.write_entries(8)
    await asyncio.sleep(0.6)
    await platform.store.restore(newer)
    await platform.assert_followed(_now() + _STABLE_WINDOW_S)


# Guards against a leaf that is taken for its earlier start, which had left.
async def test_leafs_that_restarted_in_the_lost_seconds_serve_until_they_drain(
    platform,
):
    harness = platform.harness
    path_by_service = {"single": "/one/x", "shard-a": "/part/x"}
    harness.routes.append(
        platform_harness.route("part", "/part/", service="shard-a")
    )
    await harness.publish_configuration()
    leafs = [harness.leaf(service, "z1") for service in path_by_service]
    later = {
        leaf.leaf_id: {**leaf.entry(), "born": 1790000009000} for leaf in leafs
    }
    others = [harness.leaf(service, "z2") for service in path_by_service]
    for other in others:
        await platform.store.remove("servers", other.leaf_id)
    # The copy has one as ready and the other one as draining.
    await harness.put_leaf_entry(leafs[1], "draining")
    older = platform.store.take_copy()
    await harness.put_leaf_entry(leafs[0], "draining")
    await asyncio.sleep(0.2)
    for leaf_id, entry in later.items():
        await platform.store.put("servers", leaf_id, entry)
    paths = list(path_by_service.values())
    assert await _last(lambda: platform.missing(paths), _now() + 3) == []
    await platform.store.restore(older)
    stable_from = _now() + _STABLE_WINDOW_S
    # Leafs write again within a heartbeat.
    rewritten_at = _now() + 1.0
    while _now() < rewritten_at:
        assert await platform.missing(paths) == []
        await asyncio.sleep(0.05)
    for leaf_id, entry in later.items():
        await platform.store.put("servers", leaf_id, entry)
    for other in others:
        await harness.put_leaf_entry(other)
    while _now() < stable_from:
        assert await platform.missing(paths) == []
        await asyncio.sleep(0.1)
    for leaf_id, entry in later.items():
        await platform.store.put(
            "servers", leaf_id, {**entry, "state": "draining"}
        )
    await asyncio.sleep(_DRAIN_S)
    for leaf, path in zip(leafs, paths, strict=True):
        assert await platform.late_runs(leaf, path) == []


# Guards against hosts that fall back to the older version of the copy.
async def test_version_that_is_lost_and_written_again_stays_in_force(platform):
    for name, pause_s in (("first", 0.0), ("second", 1.5)):
        older = platform.store.take_copy()
        await platform.publish_route(name)
        lost = platform.store.take_copy().object_by_key["config", "main"]
        await platform.assert_in_force(
            [f"/{name}/x"], _now() + _CONFIGURATION_DUE_S
        )
        await platform.store.restore(older)
        await asyncio.sleep(pause_s)
        await platform.store.put("config", "main", lost["spec"])
    await platform.assert_followed(_now() + _STABLE_WINDOW_S)


# Guards against hosts that wait for long polls whose answers are lost (issue
# 44, hypothesis 2): stale reads show a change seconds late.
async def test_version_whose_answers_were_lost_is_in_force_in_touch(
    platform,
):
    platform.store.stale_lag_s = _STALE_LAG_S
    acknowledged_at = await platform.publish_route("answered")
    await platform.assert_in_force(
        ["/answered/x"], acknowledged_at + _CONFIGURATION_DUE_S
    )
    # All hosts wait for the next version.
    await asyncio.sleep(0.1)
    platform.store.loses_watch_answers = True
    await platform.publish_route("unanswered")
    await asyncio.sleep(0.05)
    platform.store.loses_watch_answers = False
    await platform.assert_in_force(["/unanswered/x"], _now() + _STABLE_WINDOW_S)


async def _write_while(platform, condition):
    while not condition():
        await platform.write_entries()
        await asyncio.sleep(0.03)


# Guards against a host whose place is ahead of the changes another host gave.
@pytest.mark.parametrize("returns", [False, True], ids=["stays", "returns"])
async def test_host_that_the_store_turns_away_for_a_time_misses_nothing(
    platform, returns
):
    await platform.wait_until_it_knows_others(1)
    older = platform.store.take_copy()
    link = platform.store_link(1)
    stopped = asyncio.Event()
    writer = asyncio.create_task(_write_while(platform, stopped.is_set))
    for number in range(2):
        link.faults = _proxy.Faults(refuse=True)
        link.disconnect()
        await platform.harness.wait_for_log(
            platform.harness.fronts[1],
            lambda log, count=number + 1: (
                log.count("following host while the store is unavailable")
                >= count
            ),
            8,
        )
        if returns and number == 1:
            await platform.store.restore(older)
        await asyncio.sleep(0.5)
        link.faults = _proxy.Faults()
        stable_from = _now() + _STABLE_WINDOW_S
        await platform.harness.wait_for_log(
            platform.harness.fronts[1],
            lambda log, count=number + 1: log.count("store is back") >= count,
            8,
        )
    stopped.set()
    await writer
    await platform.assert_followed(stable_from)


# Guards against a host that keeps what it read beyond its source and the store
# lost.
async def test_host_that_was_ahead_of_its_source_at_a_return_drops_the_lost(
    platform,
):
    await platform.wait_until_it_knows_others(1)
    older = platform.store.take_copy()
    source, follower = platform.harness.fronts
    source_link, link = platform.store_link(0), platform.store_link(1)
    source.send_signal(signal.SIGSTOP)
    # Nothing of this waits in the buffers of the source.
    source_link.faults = _proxy.Faults(cut="both")
    try:
        await platform.write_entries(5)

        async def missed():
            return await platform.differences([follower])

        assert await _last(missed, _now() + 3.0) == []
        link.faults = _proxy.Faults(refuse=True)
        link.disconnect()
        source_link.disconnect()
        source_link.faults = _proxy.Faults()
        await platform.store.restore(older)
        await platform.write_entries()
        await platform.pass_old_revisions()
    finally:
        source.send_signal(signal.SIGCONT)
    await platform.harness.wait_for_log(
        follower,
        lambda log: "following host while the store is unavailable" in log,
        8,
    )
    # The store is still out of reach: what it holds comes from the source.
    assert await _last(platform.differences, _now() + 3.0) == []
    link.faults = _proxy.Faults()
    await platform.assert_followed(_now() + _STABLE_WINDOW_S)


# Guards against a start that goes on with the store past what its seed has.
@pytest.mark.parametrize(
    "returns", [False, True], ids=["stays", "returns unseen by the seed"]
)
async def test_host_that_copied_from_a_seed_misses_nothing(platform, returns):
    older = platform.store.take_copy()
    await platform.write_entries(4)
    front, link = platform.harness.fronts[1], platform.store_link(1)
    front.send_signal(signal.SIGKILL)
    await front.wait_for_exit(5)
    platform.callers.forget(1)
    cut_links = [link]
    if returns:
        cut_links.append(platform.store_link(0))
    for cut in cut_links:
        cut.faults = _proxy.Faults(refuse=True)
        cut.disconnect()
    stopped = asyncio.Event()
    writer = asyncio.create_task(_write_while(platform, stopped.is_set))
    front.start()
    if returns:
        await platform.store.restore(older)
    await platform.harness.wait_for_readiness(front)
    await asyncio.sleep(0.5)
    for cut in cut_links:
        cut.faults = _proxy.Faults()
    stable_from = _now() + _STABLE_WINDOW_S
    await asyncio.sleep(0.2)
    stopped.set()
    await writer
    await platform.assert_followed(stable_from)
