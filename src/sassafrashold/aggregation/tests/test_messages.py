"""Guards that only complete messages of a host are taken for a query or reply.

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
)
_REPLY = aggregation.AggregationReply(
    200,
    (("Part-Stamps", "a.1"), ("Part-Stamps", "b.2")),
    ("shard-3",),
    None,
    False,
    b"\n".join(bytes([n]) * 16 for n in range(5)),
)
_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


def test_messages_arrive_as_they_were_sent():
    data = aggregation.encode_request(_REQUEST)
    assert aggregation.decode_request(data) == _REQUEST
    reply = aggregation.encode_reply(_REPLY)
    assert aggregation.decode_reply(reply) == _REPLY


@pytest.mark.parametrize(
    ("data", "decode"),
    [
        (aggregation.encode_request(_REQUEST), aggregation.decode_request),
        (aggregation.encode_reply(_REPLY), aggregation.decode_reply),
    ],
)
def test_message_cut_at_any_byte_is_an_error(data, decode):
    for size in range(len(data)):
        with pytest.raises(errors.DocumentError):
            decode(data[:size])


@hypothesis.given(
    st.sampled_from(
        ["id", "method", "headers", "body", "version", "elapsed_us", "host"]
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


@hypothesis.given(st.binary(max_size=200))
def test_arbitrary_bytes_are_an_error(data):
    for decode in (aggregation.decode_request, aggregation.decode_reply):
        with pytest.raises(errors.DocumentError):
            decode(data)
