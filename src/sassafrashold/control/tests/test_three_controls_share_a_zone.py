import asyncio
import contextlib

from sassafrashold import lease
from sassafrashold import settings
from sassafrashold.control.tests import fakes

_KEY = lease.lease_key("luzon-a")


@contextlib.asynccontextmanager
async def _zone(names=("a", "b", "c")):
    store = fakes.FakeStore()
    store.hosts = dict.fromkeys(names, "luzon-a")
    hosts = {}
    seeds: list[settings.Address] = []
    try:
        for name in names:
            host = fakes.Host(name, "luzon-a", store, seeds)
            hosts[name] = await host.start()
            seeds.append(host.address)
        yield store, hosts
    finally:
        await asyncio.gather(*(host.stop() for host in hosts.values()))


def _members_everywhere(hosts, names):
    return all(
        host.reply is not None
        and host.reply.members == sorted(names)
        and host.reply.member
        and host.fresh()
        for name, host in hosts.items()
        if name in names
    )


async def test_started_together_they_are_in_one_epoch_with_evidence():
    async with _zone() as (_, hosts):
        await fakes.eventually(lambda: _members_everywhere(hosts, "abc"))
        assert len({host.reply.epoch for host in hosts.values()}) == 1
