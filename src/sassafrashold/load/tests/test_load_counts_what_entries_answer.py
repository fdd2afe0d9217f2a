"""Guards the figures: refusals, coverage, readiness and wrong answers."""

import contextlib

from aiohttp import test_utils
from aiohttp import web

from sassafrashold import load
from sassafrashold import settings


class _FakeEntry:
    """Answers every search the same way."""

    def __init__(self, status=200, ready=True, partial=False, query=None):
        self.searches = 0
        self._status = status
        self._ready = ready
        self._partial = partial
        self._query = query
        self.app = web.Application()
        self.app.router.add_get("/readyz", self._readyz)
        self.app.router.add_post("/v1/services/{name}/search", self._search)

    async def _readyz(self, _):
        return web.Response(status=200 if self._ready else 503)

    async def _search(self, request):
        self.searches += 1
        if self._status != 200:
            body = {"error": {"code": "OVERLOADED", "ran": "not_run"}}
            return web.json_response(body, status=self._status)
        query = self._query or (await request.json())["query"]
        shards = [0] if self._partial else [0, 1]
        return web.json_response(
            {
                "index_version": "v2",
                "shards_asked": 2,
                "shards_answered": len(shards),
                "missing_shards": [1] if self._partial else [],
                "partial": self._partial,
                "rows": [
                    {
                        "service": request.match_info["name"],
                        "version": "v2",
                        "shard": shard,
                        "row": 0,
                        "query": query,
                    }
                    for shard in shards
                ],
            }
        )


async def _run(*fakes):
    async with contextlib.AsyncExitStack() as stack:
        entries = []
        for number, fake in enumerate(fakes):
            server = test_utils.TestServer(fake.app, host="127.0.0.1")
            await stack.enter_async_context(server)
            address = settings.Address("127.0.0.1", server.port or 0)
            entries.append(load.Entry(f"z{number}", address))
        return await load.run_searches(
            load.SearchPlan(
                entries=tuple(entries),
                targets=(load.Target("almanac"),),
                rate=200,
                duration_s=0.2,
                arrivals="constant",
            )
        )


async def test_parts_add_up_to_the_whole():
    fakes = (_FakeEntry(), _FakeEntry(partial=True), _FakeEntry(status=503))
    report = await _run(*fakes)
    whole = report["all"]
    sent = sum(fake.searches for fake in fakes)
    assert whole["sent"] == sent == 39
    assert whole["by_code"] == {"OK": 26, "OVERLOADED": 13}
    assert (whole["coverage"], whole["partial_answers"]) == (0.75, 13)
    assert [part["sent"] for part in report["by_zone"].values()] == [13] * 3
    assert report["wrong_answers"] == {}


async def test_entry_that_is_not_ready_gets_nothing():
    idle = _FakeEntry(ready=False)
    report = await _run(_FakeEntry(), idle)
    assert idle.searches == 0
    assert report["all"]["by_code"] == {"OK": 39}


async def test_answer_to_another_query_is_reported():
    report = await _run(_FakeEntry(query={"text": "other"}))
    assert report["wrong_answers"] == {"row of another query": 39}
