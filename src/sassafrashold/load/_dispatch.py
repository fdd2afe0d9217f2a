"""Runs a load of dispatches and looks for lost and doubled ones."""

import asyncio
import collections
from collections.abc import Mapping
import dataclasses
import random
from typing import Any

import aiohttp

from sassafrashold import settings
from sassafrashold.load import _balancer
from sassafrashold.load import _figures
from sassafrashold.load import _plan
from sassafrashold.load import _records

_RETRY_DELAY_S = 0.2
_SETTLE_S = 2.5
_MAX_EXAMPLES = 10


@dataclasses.dataclass(frozen=True, kw_only=True)
class DispatchPlan:
    """An open-loop load of dispatches with unique keys."""

    entries: tuple[_plan.Entry, ...]
    """Where to send, in turn."""

    services: tuple[str, ...]
    """Services, in turn."""

    rate: float
    """Dispatches per second."""

    duration_s: float
    """Time over which dispatches are sent."""

    leaf_admins: tuple[settings.Address, ...]
    """Admin interfaces whose records show what ran."""

    arrivals: str = "poisson"
    """constant or poisson."""

    seed: int = 1
    """Seed of arrivals and keys."""

    deadline_ms: int = 1000
    """Deadline of each attempt."""

    twice_percent: float = 10.0
    """Dispatches that are sent to two entries at once with the same key."""

    attempts: int = 3
    """Attempts with the same key until one is answered."""

    timeout_s: float = 10.0
    """Time after which an attempt without an answer counts as lost."""


@dataclasses.dataclass(frozen=True)
class _Outcome:
    """What the caller knows about one key."""

    codes: tuple[str, ...]
    """Code of each attempt."""

    done: bool
    """Whether an attempt was answered with a result."""

    not_run: bool
    """Whether every attempt was refused as not run."""

    wrong: bool
    """Whether a result belongs to another key."""


class _Run:
    """State of one load."""

    def __init__(
        self, plan: DispatchPlan, balancer: _balancer.Balancer
    ) -> None:
        self._plan = plan
        self._balancer = balancer
        self._random = random.Random(f"{plan.seed}/dispatch")
        self._prefix = f"{plan.seed}-{random.SystemRandom().getrandbits(48):x}"
        self.part = _figures.Part()
        self.outcome_by_key: dict[str, _Outcome] = {}

    async def send(self, number: int, due: float) -> None:
        """Sends one dispatch, with its repetitions, and records its end."""
        key = f"{self._prefix}-{number}"
        service = self._plan.services[number % len(self._plan.services)]
        answers: list[_balancer.Answer] = []
        if self._random.random() * 100 < self._plan.twice_percent:
            answers += await asyncio.gather(
                self._post(service, key), self._post(service, key)
            )
        while len(answers) < self._plan.attempts:
            if any(answer.code == "OK" for answer in answers):
                break
            if answers:
                await asyncio.sleep(_RETRY_DELAY_S)
            answers.append(await self._post(service, key))
        results = [answer for answer in answers if answer.code == "OK"]
        self.outcome_by_key[key] = _Outcome(
            tuple(answer.code for answer in answers),
            bool(results),
            all(answer.not_run for answer in answers),
            any(not _is_result_of(key, answer.body) for answer in results),
        )
        last = results[0] if results else answers[-1]
        latency = asyncio.get_running_loop().time() - due
        self.part.add(last.code, latency, None)

    async def _post(self, service: str, key: str) -> _balancer.Answer:
        return await self._balancer.post(
            f"/v1/services/{service}/dispatch",
            {"body": {"key": key}, "deadline_ms": self._plan.deadline_ms},
            {"Idempotency-Key": key},
        )


def _is_result_of(key: str, body: Any) -> bool:
    result = body.get("result") if isinstance(body, dict) else None
    return isinstance(result, dict) and result.get("idempotency_key") == key


async def run_dispatches(plan: DispatchPlan) -> dict[str, Any]:
    """Runs a load and judges it by the records of the leafs."""
    timeout = aiohttp.ClientTimeout(total=plan.timeout_s)
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        aiohttp.ClientSession(timeout=timeout, connector=connector) as session,
        _balancer.Balancer(plan.entries, session) as balancer,
    ):
        await _records.reset(session, plan.leaf_admins)
        run = _Run(plan, balancer)
        offsets = _plan.arrival_offsets(
            plan.rate, plan.duration_s, plan.arrivals, plan.seed
        )
        await _balancer.send_all(offsets, run.send)
        # A leaf call of a lost attempt lasts up to 2 s.
        await asyncio.sleep(_SETTLE_S)
        records = await _records.fetch(session, plan.leaf_admins, True)
    runs = _records.runs_by_key(records)
    return {
        "kind": "dispatch",
        "plan": {
            "rate": plan.rate,
            "duration_s": plan.duration_s,
            "arrivals": plan.arrivals,
            "seed": plan.seed,
            "twice_percent": plan.twice_percent,
        },
        "all": run.part.figures(),
        "leafs": _records.summarize(records),
        "verdict": judge(run.outcome_by_key, runs),
    }


def judge(
    outcome_by_key: Mapping[str, _Outcome], runs: Mapping[str, int]
) -> dict[str, Any]:
    """Compares what callers were told with what ran.

    Returns:
        Counts of keys by finding. `lost`, `doubled`, `ran_though_refused` and
        `wrong_result` have to be 0.
    """
    keys_by_finding: dict[str, list[str]] = collections.defaultdict(list)
    for key, outcome in outcome_by_key.items():
        count = runs.get(key, 0)
        if outcome.done and count == 0:
            keys_by_finding["lost"].append(key)
        if count > 1:
            keys_by_finding["doubled"].append(key)
        if outcome.not_run and count > 0:
            keys_by_finding["ran_though_refused"].append(key)
        if outcome.wrong:
            keys_by_finding["wrong_result"].append(key)
        if not outcome.done and not outcome.not_run:
            keys_by_finding["outcome_unknown"].append(key)
    names = (
        "lost",
        "doubled",
        "ran_though_refused",
        "wrong_result",
        "outcome_unknown",
    )
    return {
        "keys": len(outcome_by_key),
        "done": sum(outcome.done for outcome in outcome_by_key.values()),
        **{name: len(keys_by_finding[name]) for name in names},
        "examples": {
            name: {
                key: outcome_by_key[key].codes
                for key in keys_by_finding[name][:_MAX_EXAMPLES]
            }
            for name in names
            if keys_by_finding[name]
        },
    }
