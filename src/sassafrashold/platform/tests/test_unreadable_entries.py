"""Guards against one odd entry that hides all others of its kind.

Another writer leaves an entry that is nested very deeply, has a number of
thousands of digits, or holds bytes that are no text. No host could read the
list of leafs any more, as the answer of the store was parsed as a whole.
"""

import json
from typing import Any
from typing import cast

from aiohttp import web
import pytest

from sassafrashold import directory
from sassafrashold import documents
from sassafrashold import relay
from sassafrashold import settings
from sassafrashold.front import _peers
from sassafrashold.platform import store_client
from sassafrashold.platform import topics
from sassafrashold.platform.tests import test_decoding

_DEEP = b"[" * 100_000 + b"]" * 100_000
_DEEP_OBJECTS = b'{"a":' * 100_000 + b"0" + b"}" * 100_000
_LONG = b"9" * 5000
_ODD_SPECS = {
    "nested": _DEEP,
    "nested, parsed, but not encoded again": b"[" * 900 + b"]" * 900,
    "nested beside strings": b'["]\\"[", ' + _DEEP_OBJECTS + b', "}"]',
    "long number": _LONG,
    "negative long number": b"-" + _LONG,
    "bytes that are no text": b'"\xff\xfe"',
}
_ODD_FIELDS = {
    "address": (b'"10.0.0.1:99999"', b'"10.0.0.1:' + _LONG + b'"', _DEEP),
    "slots": (_LONG, b"1e999", _DEEP),
    "cold_remaining_ms": (_LONG, b"1e999", _DEEP_OBJECTS),
    "zone": (_LONG, _DEEP),
    "other": (_DEEP,),
}


def _with_field(name, value):
    marker = "@"
    text = json.dumps({**test_decoding._LEAF, name: marker})
    return text.encode().replace(b'"@"', value)


_ODD_ENTRIES = {
    **_ODD_SPECS,
    **{
        f"{name} {index}": _with_field(name, value)
        for name, values in _ODD_FIELDS.items()
        for index, value in enumerate(values)
    },
}


def _item(name, spec):
    return b'{"meta": {"name": "%s", "revision": 5}, "spec": %s}' % (name, spec)


async def _changes_of(data, call):
    """Returns what a host makes of an answer of the store."""

    async def answer(_request):
        return web.Response(body=data)

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    client = store_client.StoreClient(
        settings.Address("127.0.0.1", runner.addresses[0][1]),
        relay.LatestEra(),
    )
    try:
        topic = topics.LeafTopic(client)
        batch = await call(topic)
        # Other hosts get the batch as JSON.
        relayed = _peers._decode(
            json.loads(json.dumps(_peers._encode(batch))), batch.since
        )
        assert isinstance(relayed, relay.Batch)
        return topic.decode(relayed.documents)
    finally:
        await client.close()
        await runner.cleanup()


@pytest.mark.parametrize("kind", _ODD_ENTRIES)
@pytest.mark.parametrize("is_watch", [False, True])
async def test_odd_entry_names_no_leaf_and_hides_no_other(kind, is_watch):
    leaf = json.dumps(test_decoding._LEAF).encode()
    items = [
        _item(b"a", leaf),
        _item(b"odd", _ODD_ENTRIES[kind]),
        _item(b"z", leaf),
    ]
    if is_watch:
        events = b", ".join(
            b'{"object": %s, "deleted": false}' % item for item in items
        )
        data = b'{"events": [%s], "as_of": 9}' % events
        changes = await _changes_of(
            data,
            lambda topic: topic.changes(relay.Position(0, 1), topics._NO_WAIT),
        )
    else:
        data = b'{"items": [%s], "as_of": 9}' % b", ".join(items)
        changes = await _changes_of(data, lambda topic: topic.snapshot())
    assert [
        change.entry.ref.leaf_id
        if isinstance(change, directory.LeafUpdated)
        else cast(Any, change).leaf_id
        for change in changes
    ] == ["a", "odd", "z"]
    assert [type(change) for change in changes] == [
        directory.LeafUpdated,
        directory.LeafRemoved,
        directory.LeafUpdated,
    ]


@pytest.mark.parametrize(
    "text",
    [
        *("[", "[[1, 2", "{" * 500, "[" * 500 + '"', "", "}", "]" * 200),
        '["' + '\\"' * 300_000,
    ],
    ids=range(8),
)
def test_text_that_is_no_json_is_an_error(text):
    with pytest.raises(ValueError):
        documents.parse_list(text.encode())
