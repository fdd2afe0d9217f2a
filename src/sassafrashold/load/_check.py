"""Checks of one answer, by what the rows of the leaf stand-in say."""

import collections
from typing import Any


def check_answer(
    service: str, query: Any, answer: dict[str, Any], check_rows: bool = True
) -> list[str]:
    """Returns what is wrong with an answer; empty if nothing is.

    Args:
        service: The service that was asked.
        query: The query that was sent.
        answer: The JSON body of the answer.
        check_rows: Whether the rows are those of the leaf stand-in.
    """
    faults = _check_coverage(answer)
    if check_rows and not faults:
        faults = _check_rows(service, query, answer)
    return faults


def _check_coverage(answer: dict[str, Any]) -> list[str]:
    try:
        asked = answer["shards_asked"]
        answered = answer["shards_answered"]
        missing = answer["missing_shards"]
        partial = answer["partial"]
    except KeyError as error:
        return [f"answer lacks {error}"]
    faults = []
    if answered + len(missing) != asked:
        faults.append(f"{answered} answered and {missing} of {asked} shards")
    if len(set(missing)) != len(missing):
        faults.append(f"missing shards {missing} has duplicates")
    if not all(0 <= shard < asked for shard in missing):
        faults.append(f"missing shards {missing} of {asked}")
    if partial != bool(missing):
        faults.append(f"partial is {partial} with missing shards {missing}")
    return faults


def _check_rows(service: str, query: Any, answer: dict[str, Any]) -> list[str]:
    faults: collections.Counter[str] = collections.Counter()
    seen: collections.Counter[tuple[int, int]] = collections.Counter()
    for row in answer["rows"]:
        if row["version"] != answer["index_version"]:
            faults["row of another index version"] += 1
        if row["query"] != query:
            faults["row of another query"] += 1
        if row["service"] != service:
            faults["row of another service"] += 1
        seen[row["shard"], row["row"]] += 1
    if any(count > 1 for count in seen.values()):
        faults["row given twice"] += 1
    shards = {shard for shard, _ in seen}
    expected = set(range(answer["shards_asked"])) - set(
        answer["missing_shards"]
    )
    if shards != expected:
        faults[f"rows of shards {sorted(shards)}, not {sorted(expected)}"] += 1
    return sorted(faults)
