"""Short soak tests with fixed seeds; each seed that failed once is kept."""

import pytest
import soak

# Seed, seconds of fault injection, whether leafs also spoil answers and whether
# crowds of clients misbehave; seeds of older runs are played as they were.
_RUNS = (
    # No known failure.
    (1, 4.0, False, False),
    (1, 6.0, True, False),
    (34, 6.0, True, True),
    # SIGHUP ended a process that was still starting.
    (1008, 6.0, False, False),
    (1049, 6.0, False, False),
)


@pytest.mark.parametrize(
    ("seed", "seconds", "spoiled_answers", "misbehaving_clients"), _RUNS
)
async def test_invariants_hold_under_random_faults(
    seed, seconds, spoiled_answers, misbehaving_clients, tmp_path
):
    violations, faults = await soak.run_seed(
        seed, seconds, tmp_path, spoiled_answers, misbehaving_clients
    )
    assert violations == [], faults
