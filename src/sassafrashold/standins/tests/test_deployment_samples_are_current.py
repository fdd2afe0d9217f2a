"""Guards deploy/ against drift and shard maps against lost spread."""

import pathlib

import pytest

from sassafrashold import clock
from sassafrashold import settings
from sassafrashold.standins import deployment
from sassafrashold.standins import leaf_main

_SAMPLES = pathlib.Path(__file__).parents[4] / "deploy"
_BOTH = [deployment.TOITSURE, deployment.BUWAN_HANAP]


def _files(directory):
    return {
        path.relative_to(directory): path.read_text()
        for path in directory.rglob("*")
        if path.is_file()
    }


@pytest.mark.parametrize("made", _BOTH, ids=lambda made: made.name)
def test_sample_equals_what_the_generator_writes(made, tmp_path):
    deployment.write(made, tmp_path)
    assert _files(_SAMPLES / made.name) == _files(tmp_path)


@pytest.mark.parametrize("made", _BOTH, ids=lambda made: made.name)
def test_shards_have_replicas_in_different_zones(made):
    for shardmap in made.shardmaps:
        for version in shardmap.versions:
            for replicas in version.replicas:
                zones = {shardmap.leaf_by_id[leaf].zone for leaf in replicas}
                assert len(zones) == len(replicas) == 2


def test_leaf_settings_of_a_sample_load(monkeypatch):
    monkeypatch.chdir(_SAMPLES / "toitsure")
    values = settings.load(
        pathlib.Path("leafs-0.ini"), "leaf", leaf_main.LeafSettings
    )
    leafs = leaf_main.load_leafs(values, clock.SystemClock())
    assert len(leafs) == 25 * 3 + 14 + 7
