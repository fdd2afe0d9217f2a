"""Guards that only complete messages of a host are taken for a query or parts.

A host that stops in the middle of its reply must not make a caller get an
empty or short body as a whole one.
"""

import datetime
import json

import hypothesis
from hypothesis import strategies as st
import pytest

from sassafrashold import aggregation
from sassafrashold import calls
from sassafrashold import errors

_REQUEST = aggregation.AggregationRequest(
    calls.ClientRequest(
        request_id="r1",
        method="GET",
        target="/a/b?q=1",
        path="/a/b",
        host="h.example",
        time_left=datetime.timedelta(milliseconds=600),
        forwarded_headers=((b"Request-Id", b"r1"), (b"X-Any", b"\xff\x00")),
        body=bytes(range(256)),
    ),
    7,
    datetime.timedelta(microseconds=4321),
    (0, 3, 4),
    1,
)
_PARTS = aggregation.MergedParts({3: "a.1", 0: "b.2"}, b"", True, True)
_RECORDS = b"0123456789abcdef"
_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


def test_messages_arrive_as_they_were_sent():
    data = aggregation.encode_request(_REQUEST)
    assert aggregation.decode_request(data) == _REQUEST
    line, _, records = aggregation.encode_parts(
        aggregation.MergedParts({3: "a.1", 0: "b.2"}, _RECORDS, True, True)
    ).partition(b"\n")
    assert records == _RECORDS
    assert aggregation.decode_parts_head(line + b"\n") == (
        _PARTS,
        len(_RECORDS),
    )


@pytest.mark.parametrize(
    ("data", "decode"),
    [
        (aggregation.encode_request(_REQUEST), aggregation.decode_request),
        (aggregation.encode_parts(_PARTS), aggregation.decode_parts_head),
    ],
)
def test_message_cut_at_any_byte_is_an_error(data, decode):
    for size in range(len(data)):
        with pytest.raises(errors.DocumentError):
            decode(data[:size])


@hypothesis.given(
    st.sampled_from(
        [
            "id",
            "method",
            "headers",
            "body",
            "version",
            "elapsed_us",
            "host",
            "shards",
            "max_missing",
        ]
    ),
    _JSON,
)
def test_request_with_any_field_value_is_decoded_or_an_error(name, value):
    document = json.loads(aggregation.encode_request(_REQUEST))
    document[name] = value
    data = json.dumps(document).encode()
    try:
        aggregation.decode_request(data)
    except errors.DocumentError:
        return


@hypothesis.given(
    st.sampled_from(["parts", "final", "sent", "record_bytes"]), _JSON
)
def test_parts_with_any_field_value_are_decoded_or_an_error(name, value):
    document = json.loads(aggregation.encode_parts(_PARTS))
    document[name] = value
    try:
        aggregation.decode_parts_head(json.dumps(document).encode() + b"\n")
    except errors.DocumentError:
        return


@pytest.mark.parametrize(
    "change",
    [
        {"parts": [[0, "a"], [0, "b"]]},
        {"parts": [[-1, "a"]]},
        {"parts": [[True, "a"]]},
        {"parts": [[0, ""]]},
        {"parts": [[0, "a,b"]]},
        {"parts": [[0, "a\x01"]]},
        {"record_bytes": 2**40},
        {"record_bytes": -1},
    ],
)
def test_parts_that_cannot_be_merged_are_an_error(change):
    document = json.loads(aggregation.encode_parts(_PARTS)) | change
    with pytest.raises(errors.DocumentError):
        aggregation.decode_parts_head(json.dumps(document).encode() + b"\n")


@hypothesis.given(st.binary(max_size=200))
def test_arbitrary_bytes_are_an_error(data):
    for decode in (aggregation.decode_request, aggregation.decode_parts_head):
        with pytest.raises(errors.DocumentError):
            decode(data)
