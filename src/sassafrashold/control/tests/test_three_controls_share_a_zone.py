import asyncio
import contextlib
import json

from sassafrashold import lease
from sassafrashold import settings
from sassafrashold import store as store_lib
from sassafrashold import table
from sassafrashold import wire
from sassafrashold.control.tests import fakes

_ZONE = "luzon-a"
_KEY = lease.lease_key(_ZONE)


@contextlib.asynccontextmanager
async def _zone(names="abc", store=None):
    store = store or store_lib.MemoryStore()
    fakes.list_hosts(store, names)
    hosts = {}
    seeds: list[settings.Address] = []
    try:
        for name in names:
            hosts[name] = await fakes.Host(name, _ZONE, store, seeds).start()
            seeds.append(hosts[name].address)
        await fakes.eventually(lambda: _is_epoch_of(hosts, names))
        yield store, hosts
    finally:
        await asyncio.gather(*(host.stop() for host in hosts.values()))


def _is_epoch_of(hosts, names):
    """Whether all named hosts are, with evidence, in one epoch of their own."""
    replies = [hosts[name].reply for name in names]
    current = all(
        reply is not None
        and reply.member
        and reply.members == sorted(names)
        and hosts[name].fresh()
        for name, reply in zip(names, replies, strict=True)
    )
    return current and len({reply.epoch for reply in replies}) == 1


async def _facts(host):
    reply = await host.call(
        "status", wire.messages.Empty(), wire.messages.StatusReply
    )
    return {(f["name"], f["subject"]): f for f in json.loads(reply.value)}


async def test_a_dead_host_is_replaced_by_an_epoch_without_it():
    async with _zone() as (_, hosts):
        before = hosts["a"].reply.epoch
        await hosts["c"].stop()
        await fakes.eventually(lambda: _is_epoch_of(hosts, "ab"))
        assert hosts["a"].reply.epoch > before
        earlier = hosts["a"].reply.earlier
        unreleased = [(u.host, u.incarnation) for u in earlier[0].unreleased]
        assert ("c", "c-1") in unreleased


async def test_a_leaving_host_is_dropped_and_released_at_once():
    async with _zone() as (_, hosts):
        hosts["b"].leaving = True
        await fakes.eventually(lambda: _is_epoch_of(hosts, "ac"), seconds=5)
        # The leaving owner has nothing left to do in the new epoch.
        hosts["b"].released_epoch = hosts["a"].reply.epoch
        await fakes.eventually(lambda: hosts["a"].reply.earlier == [])


async def test_a_new_owner_process_becomes_a_member_in_a_new_epoch():
    async with _zone() as (_, hosts):
        hosts["b"].incarnation = "b-2"
        hosts["b"].released_epoch = 0
        await fakes.eventually(lambda: not hosts["b"].reply.member)
        await fakes.eventually(lambda: _is_epoch_of(hosts, "abc"))
        unreleased = [
            member
            for earlier in hosts["a"].reply.earlier
            for member in earlier.unreleased
        ]
        assert "b-1" not in [member.incarnation for member in unreleased]


async def test_promises_keep_evidence_fresh_while_the_store_is_down():
    async with _zone() as (store, hosts):
        store.down = True
        await asyncio.sleep(lease.LEASE_TIME.total_seconds() + 1)
        assert _is_epoch_of(hosts, "abc")
        facts = await _facts(hosts["a"])
        assert facts["lease_evidence", _ZONE]["source"] == "promises"
        assert facts["store_reachable", "a"]["value"] is False
        # With a member missing there is no evidence until the store is back.
        await hosts["c"].stop()
        await fakes.eventually(lambda: not hosts["a"].fresh())
        store.down = False
        await fakes.eventually(lambda: _is_epoch_of(hosts, "ab"))


async def test_a_lost_answer_to_a_proposal_is_read_back():
    async with _zone() as (store, hosts):
        store.choose_fault = lambda method, key: (
            store_lib.Fault.LOST_ANSWER
            if method == "put"
            else store_lib.Fault.NONE
        )
        await hosts["c"].stop()
        await fakes.eventually(lambda: _is_epoch_of(hosts, "ab"))


async def test_a_table_reaches_every_host_and_never_goes_back():
    async with _zone() as (store, hosts):
        seen: dict[str, list[int]] = {name: [] for name in hosts}

        async def watch(name):
            async for item in hosts[name].subscribe():
                if item.key == table.TABLE_KEY:
                    seen[name].append(item.version)

        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(watch(name)) for name in hosts]
            for revision in range(1, 6):
                value = table.Table(revision=revision).encode()
                await store.put(table.TABLE_KEY, value, revision - 1)
                store.choose_fault = lambda method, key: (
                    store_lib.Fault.STALE
                    if method in {"get", "watch"}
                    else store_lib.Fault.NONE
                )
                await asyncio.sleep(0.1)
            store.choose_fault = lambda method, key: store_lib.Fault.NONE
            await fakes.eventually(
                lambda: all(versions[-1:] == [5] for versions in seen.values())
            )
            for task in tasks:
                task.cancel()
        for versions in seen.values():
            assert versions == sorted(set(versions))


async def test_a_new_host_joins_from_peers_while_the_store_is_down():
    async with _zone("ab") as (store, hosts):
        await store.put(table.TABLE_KEY, table.Table(revision=1).encode(), 0)
        await fakes.eventually(
            lambda: hosts["a"].daemon.node.objects.version(table.TABLE_KEY) == 1
        )
        store.down = True
        seeds = [hosts["a"].address]
        hosts["c"] = await fakes.Host("c", _ZONE, store, seeds).start()
        node = hosts["c"].daemon.node
        await fakes.eventually(lambda: node.up_to_date_source is not None)
        assert node.objects.version(table.TABLE_KEY) == 1
        assert node.up_to_date_source.startswith("peer")
        store.down = False
        await fakes.eventually(lambda: _is_epoch_of(hosts, "abc"))


async def test_without_peers_and_store_a_host_says_that_it_is_starting():
    store = store_lib.MemoryStore()
    store.down = True
    host = await fakes.Host("a", _ZONE, store).start()
    try:
        await fakes.eventually(lambda: host.reply is not None)
        assert (host.reply.epoch, host.reply.evidence_age_ms) == (0, None)
        facts = await _facts(host)
        assert facts["member", "a"]["value"] == "starting"
        assert facts["up_to_date", "a"]["value"] is None
        assert facts["lease_epoch", _ZONE]["value"] is None
    finally:
        await host.stop()


async def test_the_first_item_of_a_subscription_is_the_hello():
    store = store_lib.MemoryStore()
    host = await fakes.Host("a", _ZONE, store).start()
    try:
        async for item in host.subscribe():
            assert item.key == "control/hello"
            break
    finally:
        await host.stop()
