"""Tests which hosts count as live and which registry entries are removed.

Guards against dead hosts that keep a share of the limits, and against entries
that are never removed.
"""

import datetime

from sassafrashold import front
from sassafrashold import relay
from sassafrashold import settings
from sassafrashold.front import _registry


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
