"""Short soak tests with fixed seeds; each seed that failed once is kept."""

import pytest
import soak

# Seed, seconds of fault injection, whether leafs also spoil answers, whether
# crowds of clients misbehave and whether the store returns from older copies;
# seeds of older runs are played as they were.
_RUNS = (
    # No known failure.
    (1, 4.0, False, False, False),
    (1, 6.0, True, False, False),
    (34, 6.0, True, True, False),
    # Hosts kept their places in the store's changes as bare revisions.
    (1, 6.0, True, True, True),
    # A zone that was taken back right after a return was kept out of service.
    (2, 6.0, True, True, True),
    # SIGHUP ended a process that was still starting.
    (1008, 6.0, False, False, False),
    (1049, 6.0, False, False, False),
)


@pytest.mark.parametrize(
    (
        "seed",
        "seconds",
        "spoiled_answers",
        "misbehaving_clients",
        "store_returns",
    ),
    _RUNS,
)
async def test_invariants_hold_under_random_faults(
    seed,
    seconds,
    spoiled_answers,
    misbehaving_clients,
    store_returns,
    tmp_path,
):
    violations, faults = await soak.run_seed(
        seed,
        seconds,
        tmp_path,
        spoiled_answers,
        misbehaving_clients,
        store_returns,
    )
    assert violations == [], faults
