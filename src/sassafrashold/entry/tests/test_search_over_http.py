from sassafrashold.entry.tests import entry_fakes as fakes


async def test_an_answer_holds_the_rows_of_each_shard_once():
    async with fakes.running() as fixture:
        status, answer = await fixture.search(headers={"X-Request-Id": "r-1"})
    assert (status, answer) == (
        200,
        {
            "request_id": "r-1",
            "index_version": "v2",
            "shards_asked": 4,
            "shards_answered": 4,
            "partial": False,
            "missing_shards": [],
            "rows": ["row-0", "row-1", "row-2", "row-3"],
        },
    )
