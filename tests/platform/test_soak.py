"""Short soak tests with fixed seeds; each seed that failed once is kept."""

import pytest
import soak

# Pairs of the seed and the seconds of fault injection.
_SEEDS_AND_SECONDS = (
    # No known failure.
    (1, 4.0),
    # SIGHUP ended a process that was still starting.
    (1008, 6.0),
    (1049, 6.0),
)


@pytest.mark.parametrize(("seed", "seconds"), _SEEDS_AND_SECONDS)
async def test_invariants_hold_under_random_faults(seed, seconds, tmp_path):
    violations, faults = await soak.run_seed(seed, seconds, tmp_path)
    assert violations == [], faults
