"""A short seeded soak; seeds that ever failed stay as cases."""

import pytest
import soak

# Seed and seconds.
_RUNS = (
    # Has never failed.
    (1, 4.0),
    # SIGHUP ended a process that was still loading.
    (1008, 6.0),
    (1049, 6.0),
)


@pytest.mark.parametrize(("seed", "seconds"), _RUNS)
async def test_no_promise_is_broken_under_random_faults(
    seed, seconds, tmp_path
):
    broken, faults = await soak.run_seed(seed, seconds, tmp_path)
    assert broken == [], faults
