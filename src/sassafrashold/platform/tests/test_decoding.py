"""Tests the decoding of settings, store entries and messages."""

import datetime
import json

import pytest

from sassafrashold import calls
from sassafrashold import directory
from sassafrashold import errors
from sassafrashold import routing
from sassafrashold import settings
from sassafrashold.platform import boot
from sassafrashold.platform import documents
from sassafrashold.platform import wire
from sassafrashold.platform.tests import boot_text

_ROUTE = {
    "name": "r",
    "host": "A.example",
    "path_prefix": "/a/",
    "type": "idempotent",
    "timeout_ms": 600,
    "target_latency_ms": 68,
    "priority": 2,
    "service": "s",
    "attempts": 2,
}
_SERVICE = {
    "name": "s",
    "health_path": "/health",
    "max_connections": 31,
    "cold_per_s": 0.0,
}
_CONFIGURATION = {
    "version": 7,
    "routes": [_ROUTE],
    "services": [_SERVICE],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}
_LEAF = {
    "service": "s",
    "address": "10.128.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_remaining_ms": 1500,
    "sequence": 4,
    "born": 1790000000000,
}


def test_settings_are_read_and_unknown_fields_ignored():
    values = boot.parse(boot_text.BOOT)
    assert values.clients == settings.Address("10.1.0.39", 8226)
    assert values.bounds.drain == datetime.timedelta(seconds=3)
    assert values.peers == settings.Address("10.1.0.39", 8224)
    assert len(values.seeds) == 2
    assert values.bootstrap


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ("bounds.drain_ms=3000", "bounds.drain_ms=soon", "bounds.drain_ms"),
        ("bounds.grace_s=6", "bounds.grace_s=-1", "bounds.grace_s"),
        ("node_name=h1", "", "node_name"),
        ("zone=z1", "zone", "line 2"),
        ("10.1.0.39:8226", "10.1.0.39", "listen.front"),
        ("10.2.0.33:8224", "x:1", "seeds"),
    ],
)
def test_error_names_the_invalid_setting(old, new, field):
    with pytest.raises(errors.SettingsError) as caught:
        boot.parse(boot_text.BOOT.replace(old, new))
    assert caught.value.field == field
    assert "expected" in caught.value.message


def test_a_configuration_is_decoded():
    gather = {
        **_ROUTE,
        "name": "g",
        "path_prefix": "/a/b/",
        "gather": ["s", "t"],
        "top_k": 5,
        "min_shard_fraction": 0.75,
    }
    del gather["service"]
    split = {
        **_ROUTE,
        "name": "w",
        "type": "non_idempotent",
        "path_prefix": "/c/",
        "traffic_split": [
            {"service": "s", "weight": 9},
            {"service": "t", "weight": 1},
        ],
    }
    del split["service"]
    value = documents.configuration(
        "config/main", {**_CONFIGURATION, "routes": [_ROUTE, gather, split]}
    )
    routes = value.routes_by_host["a.example"]
    assert [r.name for r in routes] == ["g", "r", "w"]
    assert routes[0].target == routing.Gather(("s", "t"), 5, 0.75)
    assert not routes[2].idempotent
    assert value.limits_by_service["s"].max_cold_rps is None


@pytest.mark.parametrize(
    "change",
    [
        {"routes": None},
        {"routes": [{**_ROUTE, "type": "sometimes"}]},
        {"routes": [{**_ROUTE, "service": ""}]},
        {"routes": [{**_ROUTE, "gather": ["s"]}]},
        {"routes": [_ROUTE, _ROUTE]},
        {"services": [_SERVICE, _SERVICE]},
        {"version": "7"},
        {"limits": {}},
    ],
)
def test_partly_invalid_configuration_is_rejected(change):
    with pytest.raises(errors.DocumentError):
        documents.configuration("config/main", {**_CONFIGURATION, **change})


def test_a_leaf_entry_is_decoded():
    entry = documents.leaf_entry("servers/i-1", "i-1", _LEAF)
    assert entry.ref == directory.LeafRef("i-1", 1790000000000)
    assert entry.cold_for == datetime.timedelta(seconds=1.5)


@pytest.mark.parametrize("name", sorted(set(_LEAF) - {"version", "sequence"}))
@pytest.mark.parametrize("value", [None, [], "?", -1, True])
def test_leaf_entry_with_invalid_field_is_rejected(name, value):
    text_fields = {"service", "zone"}
    if name in text_fields and isinstance(value, str):
        return
    with pytest.raises(errors.DocumentError):
        documents.leaf_entry("servers/i-1", "i-1", {**_LEAF, name: value})


@pytest.mark.parametrize("spec", [None, 3, "x", [], {}])
def test_leaf_entry_that_is_no_document_is_rejected(spec):
    with pytest.raises(errors.DocumentError):
        documents.leaf_entry("servers/i-1", "i-1", spec)


def test_forwarded_request_drops_hop_by_hop_headers():
    request = wire.client_request(
        "POST",
        "/a%2Fb?x=1",
        [
            (b"Host", b"h"),
            (b"Request-Id", b"id-1"),
            (b"Deadline-Ms", b"600"),
            (b"Connection", b"keep-alive, X-Hop"),
            (b"X-Hop", b"1"),
            (b"Transfer-Encoding", b"chunked"),
            (b"Expect-Instance", b"i-9"),
            (b"X-Own", b"2"),
        ],
        b"body",
    )
    assert request.time_left == datetime.timedelta(milliseconds=600)
    leaf = documents.leaf_entry("servers/i-1", "i-1", _LEAF)
    sent = wire.leaf_request(
        request, leaf, datetime.timedelta(milliseconds=550)
    )
    assert sent == (
        b"POST /a%2Fb?x=1 HTTP/1.1\r\nHost: h\r\nRequest-Id: id-1\r\n"
        b"X-Own: 2\r\nDeadline-Ms: 550\r\nExpect-Instance: i-1\r\n"
        b"Content-Length: 4\r\n\r\nbody"
    )


@pytest.mark.parametrize("text", [b"", b"x", b"-5", b"nan", b"1e400"])
def test_an_unreadable_deadline_is_none(text):
    request = wire.client_request("GET", "/", [(b"Deadline-Ms", text)], b"")
    assert request.time_left is None


def test_success_requires_signature_and_identity_encoding():
    signed = (b"Server-Stamp", b"sig")
    cases = [
        (200, [signed], calls.Answered),
        (200, [], calls.FailureKind.LOST),
        (200, [signed, (b"Content-Encoding", b"gzip")], calls.FailureKind.LOST),
        (500, [signed], calls.FailureKind.ERROR),
        (503, [(b"Not-Executed", b"1")], calls.FailureKind.REJECTED),
        (421, [], calls.FailureKind.WRONG_LEAF),
    ]
    for status, headers, expected in cases:
        result = wire.leaf_answer(status, headers, b"")
        if expected is calls.Answered:
            assert isinstance(result, calls.Answered)
        else:
            assert isinstance(result, calls.Failed)
            assert result.kind is expected, (status, headers)


@pytest.mark.parametrize(
    "signature",
    [b"", b" ", b"a,b", b"a b", b"a\tb", b"a\x7f", b"a\xe9", b"\xff"],
)
def test_success_with_a_spoilt_signature_is_lost(signature):
    # Guards against one spoilt byte that makes a whole gathered answer wrong:
    # callers read a list of signatures, and these can't be listed unchanged.
    result = wire.leaf_answer(200, ((b"Server-Stamp", signature),), b"")
    assert isinstance(result, calls.Failed)
    assert result.kind is calls.FailureKind.LOST


def test_every_visible_character_but_the_comma_may_be_in_a_signature():
    text = bytes(code for code in range(33, 127) if code != ord(","))
    result = wire.leaf_answer(200, ((b"Server-Stamp", text),), b"")
    assert isinstance(result, calls.Answered)
    assert result.answer.signature == text.decode()


def test_configuration_decodes_from_json():
    text = json.dumps(_CONFIGURATION)
    assert documents.configuration("k", json.loads(text)).version == 7
