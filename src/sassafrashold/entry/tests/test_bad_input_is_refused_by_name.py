import json

import pytest

from sassafrashold import table as table_lib
from sassafrashold.entry.tests import entry_fakes as fakes

_SEARCH = f"/v1/services/{fakes.SERVICE}/search"
_DISPATCH = f"/v1/services/{fakes.SERVICE}/dispatch"
_KEY = {"Idempotency-Key": "k"}


@pytest.mark.parametrize(
    ("path", "body", "headers", "status", "code", "field"),
    [
        (_SEARCH, b"{", {}, 400, "BAD_REQUEST", "body"),
        (_SEARCH, b"\xff\xfe{}", {}, 400, "BAD_REQUEST", "body"),
        (_SEARCH, b"[]", {}, 400, "BAD_REQUEST", "body"),
        (_SEARCH, b'{"query":NaN}', {}, 400, "BAD_REQUEST", "body"),
        (_SEARCH, b'{"query":1,"query":2}', {}, 400, "BAD_REQUEST", "body"),
        (_SEARCH, b"[" * 100_000, {}, 400, "BAD_REQUEST", "body"),
        (_SEARCH, {}, {}, 400, "BAD_REQUEST", "query"),
        (_SEARCH, {"quarry": 1}, {}, 400, "UNKNOWN_FIELD", "quarry"),
        *(
            (
                _SEARCH,
                {"query": 1, "deadline_ms": value},
                {},
                400,
                "BAD_REQUEST",
                "deadline_ms",
            )
            for value in (0, -1, 60_001, 1.5, "100", True, None, 10**30)
        ),
        *(
            (
                _SEARCH,
                {"query": 1, name: value},
                {},
                400,
                "BAD_REQUEST",
                name,
            )
            for name, value in (
                ("priority_class", "no-such"),
                ("priority_class", 3),
                ("allow_partial", "yes"),
                ("stream", 1),
            )
        ),
        (
            _SEARCH,
            {"query": "x" * 1_000_001},
            {},
            413,
            "BODY_TOO_LARGE",
            "body",
        ),
        (
            _SEARCH,
            {"query": 1},
            {"X-Request-Id": "a b"},
            400,
            "BAD_REQUEST",
            "X-Request-Id",
        ),
        (
            "/v1/services/none/search",
            {"query": 1},
            {},
            404,
            "UNKNOWN_SERVICE",
            "service",
        ),
        (
            "/v1/services/dispatch-only/search",
            {"query": 1},
            {},
            404,
            "UNKNOWN_SERVICE",
            "service",
        ),
        (_DISPATCH, {"body": 1}, {}, 400, "KEY_MISSING", "Idempotency-Key"),
        (_DISPATCH, {}, _KEY, 400, "BAD_REQUEST", "body"),
        (
            _DISPATCH,
            {"body": 1, "query": 2},
            _KEY,
            400,
            "UNKNOWN_FIELD",
            "query",
        ),
        (
            _DISPATCH,
            {"body": 1},
            {"Idempotency-Key": "a b"},
            400,
            "BAD_REQUEST",
            "Idempotency-Key",
        ),
        (
            _DISPATCH,
            {"body": 1},
            _KEY | {"Idempotency-Attempt": "first"},
            400,
            "BAD_REQUEST",
            "Idempotency-Attempt",
        ),
        ("/v1/none", {}, {}, 404, "UNKNOWN_METHOD", None),
        ("/readyz", {}, {}, 405, "UNKNOWN_METHOD", None),
    ],
)
async def test_bad_input_gets_its_code_and_field_and_does_not_run(
    path, body, headers, status, code, field
):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    async with fakes.running() as fixture:
        rows = (
            fakes.row(kind=table_lib.Kind.BOTH),
            fakes.row(service="dispatch-only", kind=table_lib.Kind.DISPATCH),
        )
        fixture.apply(table_lib.TABLE_KEY, table_lib.Table(2, rows))
        async with fixture.session.post(
            path, data=data, headers=headers
        ) as response:
            error = (await response.json())["error"]
            assert response.status == status
        assert fixture.asked() == []
    assert (error["code"], error.get("field")) == (code, field)
    assert error["ran"] == "not_run"
