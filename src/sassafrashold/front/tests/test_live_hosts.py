"""Tests which hosts count as live and which registry entries are removed.

Guards against dead hosts that keep a share of the limits, and against entries
that are never removed.
"""

import asyncio
import dataclasses
import datetime
import random
from typing import Any
from typing import cast

import pytest

from sassafrashold import clock as clock_lib
from sassafrashold import front
from sassafrashold import relay
from sassafrashold import settings
from sassafrashold.front import _registry

_NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


def _seconds(seconds):
    return datetime.timedelta(seconds=seconds)


def _host(name, heartbeat):
    address = settings.Address("10.0.0.1", 80)
    return front.RegisteredHost(relay.Peer(name, "z", address), heartbeat)


def _names(peers):
    return [peer.host for peer in peers]


def test_host_is_live_while_its_heartbeat_changes():
    live = _registry.LiveHosts(_host("a", 0).peer)
    for seconds in range(0, 600, 60):
        hosts = [_host("a", seconds), _host("b", min(seconds, 120))]
        names = _names(live.update(hosts, _seconds(seconds)))
        # The heartbeat of b last changes at 120 s; the timeout is 180 s.
        assert ("b" in names) == (seconds < 300)
        assert "a" in names


def test_local_host_is_live_before_its_entry_is_listed():
    live = _registry.LiveHosts(_host("a", 0).peer)
    assert _names(live.update([_host("b", 1)], _seconds(0))) == ["a", "b"]


def test_only_first_live_host_removes_entries_unchanged_for_an_hour():
    first = _registry.LiveHosts(_host("a", 0).peer)
    second = _registry.LiveHosts(_host("b", 0).peer)
    for seconds in (0, 3500, 3600):
        hosts = [_host("a", seconds), _host("b", seconds), _host("old", 1)]
        first.update(hosts, _seconds(seconds))
        second.update(hosts, _seconds(seconds))
    assert first.hosts_to_remove(_seconds(3599)) == ()
    assert first.hosts_to_remove(_seconds(3600)) == ("old",)
    assert second.hosts_to_remove(_seconds(3600)) == ()


def test_assumed_hosts_include_local_host():
    hosts = _registry.assumed_hosts("a")
    assert "a" in hosts
    assert len(hosts) == 16


class _Registry:
    """A registry that counts the writes of entries."""

    def __init__(self, hosts):
        self._hosts = hosts
        self.writes = 0

    async def hosts(self):
        return self._hosts

    async def register(self, host):
        del host
        self.writes += 1


async def _writes_at_start(entry_age_s, zone="z"):
    clock = clock_lib.ManualClock(now=_NOW, monotonic=_seconds(1000))
    heartbeat = clock_lib.to_unix_ms(_NOW) - entry_age_s * 1000
    registry = _Registry((_host("a", heartbeat), _host("b", heartbeat)))
    task = asyncio.create_task(
        _registry.RegistryTask(
            cast(Any, registry),
            dataclasses.replace(_host("a", 0).peer, zone=zone),
            bootstrap=False,
            on_hosts=lambda _: None,
            on_list_unavailable=lambda: None,
            eras=relay.LatestEra(),
            random_source=random.Random(1),
            clock=clock,
        ).run()
    )
    await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return registry.writes


@pytest.mark.parametrize(
    ("entry_age_s", "zone", "writes"),
    [(0, "z", 0), (59, "z", 0), (61, "z", 1), (-5, "z", 1), (1, "other", 1)],
)
async def test_restarted_host_keeps_a_fresh_entry_of_its_own(
    entry_age_s, zone, writes
):
    """Each of 195 restarted hosts wrote an entry that was there already."""
    assert await _writes_at_start(entry_age_s, zone) == writes


def test_host_that_the_store_lost_with_an_older_copy_stays_live_for_a_while():
    live = _registry.LiveHosts(_host("a", 0).peer)
    live.update([_host("a", 1), _host("b", 1)], _seconds(0))
    live.keep_unlisted(_seconds(15))
    assert _names(live.update([_host("a", 1)], _seconds(10))) == ["a", "b"]
    assert _names(live.update([_host("a", 1)], _seconds(20))) == ["a"]


async def test_own_entry_is_written_again_after_the_store_returned_from_a_copy(
    monkeypatch,
):
    monkeypatch.setattr(_registry, "_READ_INTERVAL", _seconds(0.01))
    monkeypatch.setattr(_registry, "_REWRITE_SPREAD", _seconds(0.01))
    eras = relay.LatestEra()
    eras.note(1)
    registry = _Registry([_host("a", 1)])
    task = asyncio.create_task(
        _registry.RegistryTask(
            cast(Any, registry),
            _host("a", 0).peer,
            bootstrap=False,
            on_hosts=lambda _: None,
            on_list_unavailable=lambda: None,
            eras=eras,
            random_source=random.Random(1),
            clock=clock_lib.ManualClock(),
        ).run()
    )
    await asyncio.sleep(0.05)
    writes = registry.writes
    eras.note(2)
    await asyncio.sleep(0.1)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert registry.writes == writes + 1
