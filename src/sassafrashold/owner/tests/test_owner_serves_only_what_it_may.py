from sassafrashold import wire

NOT_RUN = wire.messages.Ran.NOT_RUN
UNKNOWN = wire.messages.Ran.OUTCOME_UNKNOWN


async def test_scatter_answers_each_subquery_once(setup):
    await setup.start()
    results = await setup.scatter(
        *((shard, "leaf-1", False) for shard in range(4))
    )
    assert sorted(results) == [(shard, [shard, {"q": 1}]) for shard in range(4)]
