"""Guards against answers to other hosts that saturate the link of a host.

When half of the hosts started at once during a series of configurations, the
two hosts of a zone that read the store sent megabytes over links of 10 Mbit/s,
and their calls to leafs were delayed by 0.9 s.
"""

import json
import tracemalloc
from typing import Any
import zlib

import pytest

from sassafrashold import relay
from sassafrashold.front import _peers

_TOPICS = ("configuration", "leafs")
_START = relay.Position(1, 1)
_ROUTES = 44
_SHARDS = 54


class _View:
    """View with the configuration and the leafs of a large deployment."""

    is_complete = True

    def __init__(self):
        self.mirror_by_topic = {name: relay.Mirror() for name in _TOPICS}
        self.mirror_by_topic["leafs"].apply(
            relay.Batch(
                tuple(
                    relay.Document(
                        f"i-{number:010x}",
                        {
                            "service": f"service{number // 3}",
                            "address": f"10.1.64.{number}:8029",
                            "zone": "z1",
                            "version": "v1",
                            "slots": 4,
                            "state": "ready",
                            "cold_remaining_ms": 0,
                            "sequence": number,
                        },
                    )
                    for number in range(3 * _SHARDS)
                ),
                relay.Position(1, 1),
                is_snapshot=True,
            )
        )
        self.put_version(1, is_snapshot=True)

    def put_version(self, version, is_snapshot=False):
        routes = [
            {
                "name": f"r-{number}",
                "host": f"host{number}.example",
                "path_prefix": f"/path{number}/",
                "type": "idempotent",
                "gather": [f"service{i}" for i in range(_SHARDS)],
                "timeout_ms": 1200 + version,
            }
            for number in range(_ROUTES)
        ]
        self.mirror_by_topic["configuration"].apply(
            relay.Batch(
                (
                    relay.Document(
                        "main", {"version": version, "routes": routes}
                    ),
                ),
                relay.Position(1, version),
                is_snapshot,
            )
        )


@pytest.fixture
def view():
    return _View()


def _server(view):
    unused: Any = view
    return _peers.PeerServer(unused, lambda: True, lambda: True)


def _decoded(answer):
    return json.loads(zlib.decompress(answer))


def test_full_copy_is_small(view):
    answer = _server(view).answer({})
    assert set(_decoded(answer)) == {"configuration", "leafs"}
    # Copies for 22 hosts that start together take less than 0.2 s of a link of
    # 10 Mbit/s.
    assert len(answer) * 22 < 10e6 / 8 * 0.2


def test_only_the_last_of_several_versions_is_sent(view):
    server = _server(view)
    for version in range(2, 14):
        view.put_version(version)
        server.notify_followers()
    answer = server.answer(dict.fromkeys(_TOPICS, _START))
    (document,) = _decoded(answer)["configuration"]["documents"]
    assert document[1]["version"] == 13


def test_hosts_with_the_same_positions_share_a_cached_answer(view):
    server = _server(view)
    known_positions = dict.fromkeys(_TOPICS, _START)
    view.put_version(2)
    server.notify_followers()
    first = server.answer(known_positions)
    assert server.answer(dict(known_positions)) is first
    view.put_version(3)
    server.notify_followers()
    assert server.answer(known_positions) != first


def test_answers_to_unknown_positions_are_not_kept_without_end(view):
    """Any client of this port may ask with positions of its own."""
    server = _server(view)
    tracemalloc.start()
    try:
        for revision in range(500):
            server.answer(
                {"configuration": relay.Position(1, 10**20 + revision)}
            )
        kept_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    # Those of the hosts of a zone may be kept.
    assert kept_bytes < 100 * len(server.answer({}))
