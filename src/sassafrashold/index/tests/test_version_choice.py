import pytest

from sassafrashold import index
from sassafrashold import settings

_LEAFS = {
    name: index.Leaf(name, "z", "h", settings.Address("127.0.0.1", 1))
    for name in "abcd"
}
_SHARDMAP = index.ShardMap(
    "s",
    (
        index.IndexVersion("v3", (("a", "b"), ("c",))),
        index.IndexVersion("v2", (("a",), ("b",), ("c", "d"))),
        index.IndexVersion("v1", (("d",), ("d",))),
    ),
    _LEAFS,
)


@pytest.mark.parametrize(
    ("usable", "excluded", "expected"),
    [
        ("abcd", (), ("v3", ())),
        ("bc", (), ("v3", ())),
        ("abd", (), ("v2", ())),
        ("d", (), ("v1", ())),
        # Half of v3, two thirds of v2, nothing of v1.
        ("ab", (), ("v2", (2,))),
        # Equal coverage: the newest wins.
        ("c", (), ("v3", (0,))),
        ("", (), ("v3", (0, 1))),
        ("abcd", ("v3",), ("v2", ())),
        ("abcd", ("v3", "v2", "v1"), None),
    ],
)
def test_newest_full_version_wins_else_the_highest_coverage(
    usable, excluded, expected
):
    choice = index.choose_version(
        _SHARDMAP,
        lambda leaf, version: leaf.leaf_id in usable,
        frozenset(excluded),
    )
    selected = choice and (choice.version.version, choice.missing_shards)
    assert selected == expected
