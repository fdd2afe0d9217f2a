"""Guards the process against malformed input at each of its boundaries.

Whatever a leaf, an operator, another writer of the store, another host or the
settings file sends, only the error of that boundary may come out: any other
exception ends a background task and with it the process.
"""

import asyncio
import json
from types import SimpleNamespace
from typing import Any
from typing import cast

from aiohttp import web
import hypothesis
from hypothesis import strategies as st
import pytest

from sassafrashold import calls
from sassafrashold import errors
from sassafrashold import leaf_health
from sassafrashold import relay
from sassafrashold import settings
from sassafrashold.front import _answer_memory
from sassafrashold.front import _leaf_connection
from sassafrashold.front import _peer_http
from sassafrashold.front import _peers
from sassafrashold.platform import boot
from sassafrashold.platform import documents
from sassafrashold.platform import store_client
from sassafrashold.platform import topics
from sassafrashold.platform import wire
from sassafrashold.platform.tests import boot_text
from sassafrashold.platform.tests import test_decoding

_EXTREMES: tuple[Any, ...] = (
    *(None, True, "", "x", [], {}, [1], {"a": 1}),
    *(0, -1, 0.5, 2**63, 10**20, -(10**30), 10**400, 1e308),
    *(float("nan"), float("inf"), float("-inf")),
)
_NUMBERS = st.integers() | st.floats()
_VALUES = st.recursive(
    st.none() | st.booleans() | _NUMBERS | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


def _paths(value, path=()):
    """Returns the paths of all values in a document."""
    found = [path]
    items: Any = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        found.extend(_paths(inner, (*path, key)))
    return found


def _replaced(document, path, value):
    if not path:
        return value
    copy = json.loads(json.dumps(document))
    inner = copy
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return copy


def _changed(document):
    """Returns the document with one of its values replaced."""
    return st.builds(
        lambda path, value: _replaced(document, path, value),
        st.sampled_from(_paths(document)),
        _VALUES,
    )


_SPLIT = [{"service": "s", "weight": 2}]
_ROUTES = [
    test_decoding._ROUTE,
    {
        **test_decoding._ROUTE,
        "name": "g",
        "service": None,
        "gather": ["s", "t"],
        "top_k": 5,
        "min_shard_fraction": 0.9,
    },
    {
        **test_decoding._ROUTE,
        "name": "w",
        "service": None,
        "traffic_split": _SPLIT,
    },
]
_CONFIGURATION = {**test_decoding._CONFIGURATION, "routes": _ROUTES}


_HOST = {"zone": "z", "address": "10.0.0.1:80", "link_mbps": 20.0, "beat": 5}
_REPORT = {"host": "h", "silent_zones": ["z"], "leafs": [["i", 1, 2, 3, 4, 5]]}
_HEALTH = {"leafs": [["i", 1, 740]], "silent_zones": ["z"]}
_DECODERS: dict[str, tuple[Any, Any]] = {
    "configuration": (
        _CONFIGURATION,
        lambda spec: documents.configuration("k", spec),
    ),
    "leaf": (
        test_decoding._LEAF,
        lambda spec: documents.leaf_entry("k", "i-1", spec),
    ),
    "host": (_HOST, lambda spec: documents.registered_host("h", spec)),
    "report": (
        _REPORT,
        lambda value: leaf_health.decode_report(json.dumps(value).encode()),
    ),
    "health": (
        _HEALTH,
        lambda value: leaf_health.decode_zone_health(
            json.dumps(value).encode()
        ),
    ),
}


@pytest.mark.parametrize("kind", _DECODERS)
def test_each_field_may_hold_any_extreme_value(kind):
    document, decode = _DECODERS[kind]
    for path in _paths(document):
        for value in _EXTREMES:
            try:
                decode(_replaced(document, path, value))
            except errors.DocumentError:
                continue
            except Exception as error:
                raise AssertionError(f"{path} = {value!r:.40}") from error


@hypothesis.given(_changed(_CONFIGURATION))
def test_configuration_is_decoded_or_rejected(spec):
    try:
        documents.configuration("k", spec)
    except errors.DocumentError:
        return


@hypothesis.given(_changed(test_decoding._LEAF))
def test_leaf_entry_is_decoded_or_rejected(spec):
    try:
        documents.leaf_entry("k", "i-1", spec)
    except errors.DocumentError:
        return


@hypothesis.given(_changed(_HOST))
def test_host_entry_is_decoded_or_rejected(spec):
    try:
        documents.registered_host("h", spec)
    except errors.DocumentError:
        return


@hypothesis.given(_VALUES, _VALUES, st.booleans())
def test_any_document_of_a_topic_is_handled(spec, born, deleted):
    for topic in (
        topics.ConfigurationTopic,
        topics.LeafTopic,
        topics.ZonesOutTopic,
    ):
        client: Any = None
        topic(client).decode(
            (relay.Document("main", {"spec": spec, "born": born}, deleted),)
        )


@hypothesis.given(_changed(_REPORT), _changed(_HEALTH))
def test_health_messages_are_decoded_or_rejected(report, health):
    for value, decode in (
        (report, leaf_health.decode_report),
        (health, leaf_health.decode_zone_health),
    ):
        try:
            cast(Any, decode)(json.dumps(value).encode())
        except errors.DocumentError:
            continue


_BATCHES = {
    "leafs": {
        "era": 1,
        "revision": 8,
        "whole": False,
        "difference": False,
        "documents": [["i", {"spec": test_decoding._LEAF, "born": 1}, False]],
    }
}


class _View:
    def __init__(self):
        self.mirror_by_topic = {"leafs": relay.Mirror()}
        self._topic = topics.LeafTopic(cast(Any, None))

    def confirm_all(self):
        pass

    def apply_batch(self, _name, batch, _source):
        self._topic.decode(batch.documents)


@hypothesis.given(_changed(_BATCHES) | st.just("[" * 100_000))
def test_copy_of_another_host_is_applied_or_rejected(value):
    text = value if isinstance(value, str) else json.dumps(value)

    async def get(*_args):
        return text.encode()

    client = _peers.PeerClient(
        cast(Any, _View()), cast(Any, SimpleNamespace(get=get))
    )
    try:
        asyncio.run(client.copy_once(settings.Address("10.0.0.1", 80)))
    except errors.StoreError:
        return


@pytest.mark.parametrize(
    "data",
    [
        b"[" * 100_000,
        b"{}",
        b"[]",
        b"\xff\xfe",
        b'{"items": 3, "as_of": 1}',
        b'{"items": [3, null, {"meta": 1}], "as_of": 7}',
        b'{"items": [], "as_of": 1e400}',
        b'{"items": [], "as_of": true}',
        b'{"items": [], "as_of": 7, "more": {}}',
        b'{"events": [1, {"object": 2}], "as_of": 9}',
    ],
)
async def test_any_answer_of_the_store_is_read_or_an_error(
    data, unused_tcp_port
):
    async def answer(_request):
        return web.Response(body=data)

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", unused_tcp_port).start()
    client = store_client.StoreClient(
        settings.Address("127.0.0.1", unused_tcp_port), relay.LatestEra()
    )
    for call in (
        client.list("k"),
        client.watch("k", 1, topics._NO_WAIT),
        client.put("k", "n", {}),
    ):
        try:
            await call
        except errors.SassafrasError as error:
            assert isinstance(error, errors.StoreError)
    await client.close()
    await runner.cleanup()


@pytest.mark.parametrize("data", [b"", b"\x00", b"x\x9c\x00", b"[" * 10_000])
async def test_any_answer_of_another_host_is_read_or_an_error(
    data, unused_tcp_port
):
    async def answer(_request):
        return web.Response(body=data, headers={"Content-Encoding": "deflate"})

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", unused_tcp_port).start()
    http = _peer_http.PeerHttp()
    address = settings.Address("127.0.0.1", unused_tcp_port)
    client = _peers.PeerClient(cast(Any, _View()), http)
    with pytest.raises(errors.StoreError):
        await client.copy_once(address)
    await http.close()
    await runner.cleanup()


@hypothesis.given(
    st.text()
    | st.builds(
        lambda position, text: (
            boot_text.BOOT[:position]
            + text
            + boot_text.BOOT[position + len(text) :]
        ),
        st.integers(0, len(boot_text.BOOT)),
        st.text(max_size=6) | st.sampled_from(["1e999", "9" * 400, "nan", "="]),
    )
)
def test_settings_are_read_or_rejected(text):
    try:
        boot.parse(text)
    except errors.SettingsError:
        return


class _Transport:
    """A transport that discards what is written."""

    def __init__(self):
        self._closing = False

    def write(self, data):
        pass

    def abort(self):
        self._closing = True

    def is_closing(self):
        return self._closing

    def get_write_buffer_size(self):
        return 0


_ANSWERS = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nServer-Stamp: s\r\n"
    b"Content-Length: 4\r\n\r\nbody",
    b"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nServer-Stamp: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nServer-Stamp: s\r\n\r\nbody",
)


@hypothesis.given(
    st.sampled_from(_ANSWERS),
    st.integers(0, 130),
    st.binary(max_size=12)
    | st.sampled_from(
        [
            b"Content-Length: 9\r\n",
            b"Content-Length: -1\r\n",
            b"Content-Length: 99999999999999999999999\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"FFFFFFFFFFFFFFFFFFFF\r\n",
            b"Keep-Alive: timeout=" + b"9" * 30 + b"\r\n",
            "Keep-Alive: timeout=\u0663\r\n".encode(),
        ]
    ),
    st.integers(1, 60),
    st.booleans(),
)
def test_any_bytes_of_a_leaf_end_only_their_own_call(
    answer, position, inserted, piece, removes
):
    data = (
        answer[:position]
        + inserted
        + answer[position + (len(inserted) if removes else 0) :]
    )

    async def play():
        memory = _answer_memory.AnswerMemory(2**20)
        connection = _leaf_connection.LeafConnection(
            asyncio.get_running_loop(), wire, memory
        )
        transport: Any = _Transport()
        connection.connection_made(transport)
        results: list[calls.CallResult] = []
        connection.send(b"request", "r", True, results.append)
        for start in range(0, len(data), piece):
            if not transport.is_closing():
                connection.data_received(data[start : start + piece])
        connection.eof_received()
        connection.connection_lost(None)
        assert len(results) == 1
        assert memory.total == 0

    asyncio.run(play())
