"""Guards the HTTP interface against generated requests.

Any body and any header is answered, refused by name, and never with an error
that the handler did not expect; the next request is served.
"""

import asyncio
import json

import hypothesis
from hypothesis import strategies as st

from sassafrashold.entry.tests import entry_fakes as fakes

_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from([2**63, -(2**63), 10**400, "x" * 5000, "\x00", "\ud800"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=5,
)
_FIELDS = (
    "query",
    "deadline_ms",
    "priority_class",
    "allow_partial",
    "stream",
    "body",
    "unknown",
)
_BODIES = (
    st.dictionaries(st.sampled_from(_FIELDS), _VALUES, max_size=4).map(
        lambda fields: json.dumps({"query": "tides", **fields}).encode()
    )
    | st.binary(max_size=40)
    | st.sampled_from([b"[" * 20_000, b"{}", b"", b"\xff", b'{"query":1e999}'])
)
_HEADERS = st.dictionaries(
    st.sampled_from(
        [
            "X-Request-Id",
            "Idempotency-Key",
            "Idempotency-Attempt",
            "Traceparent",
            "Content-Type",
            "Content-Encoding",
        ]
    ),
    st.text(
        st.characters(min_codepoint=32, max_codepoint=255).filter(
            lambda character: character != "\x7f"
        ),
        max_size=140,
    ),
    max_size=3,
)
_UNEXPECTED = {500, 502}


@hypothesis.given(
    st.lists(
        st.tuples(st.sampled_from(["search", "dispatch"]), _BODIES, _HEADERS),
        min_size=10,
        max_size=20,
    )
)
@hypothesis.settings(
    deadline=None,
    max_examples=8,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
def test_any_request_is_answered_and_the_next_one_served(requests):
    async def play():
        async with fakes.running() as fixture:
            for kind, body, headers in requests:
                async with fixture.session.post(
                    f"/v1/services/{fakes.SERVICE}/{kind}",
                    data=body,
                    headers=headers,
                ) as response:
                    text = await response.read()
                assert response.status not in _UNEXPECTED, (
                    kind,
                    body,
                    headers,
                    text,
                )
            status, answer = await fixture.search()
            assert (status, answer["partial"]) == (200, False)

    asyncio.run(play())
