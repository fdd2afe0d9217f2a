"""Guards the verdicts: a wrong answer or a doubled dispatch must be found."""

import pytest

from sassafrashold import load
from sassafrashold.load import _dispatch
from sassafrashold.load import _plan

_QUERY = {"text": "q"}


def _row(shard, **changes):
    return {
        "service": "almanac",
        "version": "v2",
        "shard": shard,
        "row": 0,
        "query": _QUERY,
    } | changes


def _answer(**changes):
    return {
        "index_version": "v2",
        "shards_asked": 2,
        "shards_answered": 2,
        "missing_shards": [],
        "partial": False,
        "rows": [_row(0), _row(1)],
    } | changes


@pytest.mark.parametrize(
    ("changes", "fault"),
    [
        ({}, None),
        (
            {
                "shards_answered": 1,
                "missing_shards": [1],
                "partial": True,
                "rows": [_row(0)],
            },
            None,
        ),
        ({"rows": [_row(0), _row(1, version="v1")]}, "another index version"),
        ({"rows": [_row(0), _row(1, query="x")]}, "another query"),
        ({"rows": [_row(0), _row(1, service="x")]}, "another service"),
        ({"rows": [_row(0), _row(0)]}, "given twice"),
        ({"rows": [_row(0)]}, "rows of shards [0], not [0, 1]"),
        ({"partial": True}, "partial is True"),
        ({"shards_answered": 1}, "1 answered"),
        ({"shards_answered": 1, "missing_shards": [2]}, "partial is False"),
    ],
)
def test_wrong_answer_is_found(changes, fault):
    faults = load.check_answer("almanac", _QUERY, _answer(**changes))
    assert (not faults) if fault is None else any(fault in f for f in faults)


@pytest.mark.parametrize(
    ("done", "not_run", "runs", "finding"),
    [
        (True, False, 1, None),
        (False, True, 0, None),
        (False, False, 1, "outcome_unknown"),
        (True, False, 0, "lost"),
        (True, False, 2, "doubled"),
        (False, True, 1, "ran_though_refused"),
    ],
)
def test_dispatch_that_ran_otherwise_than_told_is_found(
    done, not_run, runs, finding
):
    outcome = _dispatch._Outcome(("X",), done, not_run, False)
    verdict = _dispatch.judge({"k": outcome}, {"k": runs})
    names = ("lost", "doubled", "ran_though_refused", "outcome_unknown")
    found = [name for name in names if verdict[name]]
    assert found == ([] if finding is None else [finding])


@pytest.mark.parametrize("arrivals", ["constant", "poisson"])
def test_arrivals_repeat_with_the_seed_and_keep_the_rate(arrivals):
    first = list(_plan.arrival_offsets(100, 10, arrivals, 7))
    assert first == list(_plan.arrival_offsets(100, 10, arrivals, 7))
    assert first == sorted(first)
    assert 900 <= len(first) <= 1100


def test_comparison_shows_the_ratio():
    first = {"all": {"latency": {"p99_ms": 10.0}}}
    second = {"all": {"latency": {"p99_ms": 15.0}}}
    assert "1.500" in load.compare(first, second)
