"""Guards against replies that promise "not run" for requests that have run.

Callers send a request again after such a reply, and its work is done twice.
"""

import asyncio
import dataclasses
from typing import Any

import pytest

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import routing
from sassafrashold.calls.tests import call_world
from sassafrashold.front import _requests
from sassafrashold.platform import wire

_NOT_RUN_STATUSES = (408, 421, 429, 503)
_STAMP = (b"Server-Stamp", b"sig")
_NOT_EXECUTED = (b"Not-Executed", b"1")
_REQUEST = calls.ClientRequest(
    request_id="r",
    method="POST",
    target="/a",
    path="/a",
    host="h",
    time_left=1000 * call_world.MS,
    forwarded_headers=(),
    body=b"",
)


class _Call:
    is_done = False

    def cancel(self):
        self.is_done = True


class _AnsweringPool:
    """Gives every call the same answer."""

    def __init__(self, status, headers):
        self.calls = 0
        self._result = wire.leaf_answer(status, headers, b"leaf's body")

    def call(self, _leaf, _request, _time_left, _at_most_once, on_result):
        self.calls += 1
        asyncio.get_running_loop().call_soon(on_result, self._result)
        return _Call()


async def _serve(pool, *, idempotent):
    world = call_world.World(idempotent=idempotent)
    route = dataclasses.replace(
        world.route, target=routing.SingleService(world.services[0])
    )
    world.table.adopt(call_world.configuration(2, (route,)))
    store_loaded = asyncio.Event()
    store_loaded.set()
    used_pool: Any = pool
    server = _requests.RequestServer(
        world.table,
        world.state,
        used_pool,
        wire,
        clock_lib.SystemClock(),
        store_loaded,
    )
    return await server.serve(_REQUEST)


@pytest.mark.parametrize("idempotent", [False, True])
@pytest.mark.parametrize("status", [408, 429, 503])
async def test_failure_after_a_run_is_not_passed_on_as_not_run(
    status, idempotent
):
    # review/10: the leaf ran the request and failed with 503.
    pool = _AnsweringPool(status, (_STAMP,))
    reply = await _serve(pool, idempotent=idempotent)
    assert reply.status == 502
    assert reply.cause is _requests.Cause.LEAF_FAILED
    # The signature would vouch for a status that the leaf didn't give.
    assert reply.headers == ()
    assert pool.calls == (2 if idempotent else 1)


@pytest.mark.parametrize("status", [400, 404, 409, 500, 502, 504])
async def test_failure_without_a_promise_is_passed_on_unchanged(status):
    reply = await _serve(_AnsweringPool(status, (_STAMP,)), idempotent=False)
    assert reply.status == status
    assert reply.headers == (("Server-Stamp", "sig"),)
    assert reply.body == b"leaf's body"


@pytest.mark.parametrize("status", [400, 408, 421, 429, 503])
async def test_request_that_leafs_did_not_run_may_be_sent_again(status):
    pool = _AnsweringPool(status, (_STAMP, _NOT_EXECUTED))
    reply = await _serve(pool, idempotent=False)
    assert reply.status in _NOT_RUN_STATUSES
    assert dict(reply.headers).keys() == {"Retry-After"}
    assert pool.calls > 1
