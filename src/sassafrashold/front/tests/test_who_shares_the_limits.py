"""Guards against limits shared with dead hosts, and entries kept for ever."""

import datetime

from sassafrashold import front
from sassafrashold import relay
from sassafrashold import settings
from sassafrashold.front import _registry


def _at(seconds):
    return datetime.timedelta(seconds=seconds)


def _host(name, beat):
    address = settings.Address("10.0.0.1", 80)
    return front.RegisteredHost(relay.Peer(name, "z", address), beat)


def _names(peers):
    return [peer.host for peer in peers]


def test_a_host_is_live_while_its_number_changes():
    live = _registry.LiveHosts(_host("a", 0).peer)
    for seconds in range(0, 600, 60):
        hosts = [_host("a", seconds), _host("b", min(seconds, 120))]
        names = _names(live.update(hosts, _at(seconds)))
        # The last change of b is seen at 120 s; three intervals are 180 s.
        assert ("b" in names) == (seconds < 300)
        assert "a" in names


def test_this_host_counts_before_its_entry_is_listed():
    live = _registry.LiveHosts(_host("a", 0).peer)
    assert _names(live.update([_host("b", 1)], _at(0))) == ["a", "b"]


def test_one_host_removes_entries_that_are_silent_for_an_hour():
    first = _registry.LiveHosts(_host("a", 0).peer)
    second = _registry.LiveHosts(_host("b", 0).peer)
    for seconds in (0, 3500, 3600):
        hosts = [_host("a", seconds), _host("b", seconds), _host("old", 1)]
        first.update(hosts, _at(seconds))
        second.update(hosts, _at(seconds))
    assert first.hosts_to_remove(_at(3599)) == ()
    assert first.hosts_to_remove(_at(3600)) == ("old",)
    assert second.hosts_to_remove(_at(3600)) == ()


def test_unknown_hosts_are_assumed_until_the_list_is_read():
    hosts = _registry.assumed_hosts("a")
    assert "a" in hosts
    assert len(hosts) == 16
