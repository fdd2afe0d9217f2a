"""A short seeded soak; seeds that ever failed stay as cases."""

import pytest
import soak

# Seed and the cause of its failure; the first has never failed.
_SEEDS = (1,)
_SECONDS = 4.0


@pytest.mark.parametrize("seed", _SEEDS)
async def test_no_promise_is_broken_under_random_faults(seed, tmp_path):
    broken, faults = await soak.run_seed(seed, _SECONDS, tmp_path)
    assert broken == [], faults
