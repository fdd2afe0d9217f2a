"""Runs an open-loop load of searches."""

import asyncio
import collections
import random
from typing import Any

import aiohttp

from sassafrashold.load import _balancer
from sassafrashold.load import _check
from sassafrashold.load import _figures
from sassafrashold.load import _plan
from sassafrashold.load import _records

_MAX_EXAMPLES = 5


class _Run:
    """State of one load."""

    def __init__(
        self, plan: _plan.SearchPlan, balancer: _balancer.Balancer
    ) -> None:
        self._plan = plan
        self._balancer = balancer
        self._targets = random.Random(plan.seed).choices(
            plan.targets,
            [target.weight for target in plan.targets],
            k=997,
        )
        self.parts = _figures.Parts()
        self.lag = _figures.Latency()
        self.shards_answered = 0
        self.count_by_fault: collections.Counter[str] = collections.Counter()
        self.example_by_fault: dict[str, Any] = {}
        self.example_by_code: dict[str, Any] = {}
        self.versions: collections.Counter[str] = collections.Counter()
        self.last_counted = -1.0
        self.begin: float | None = None

    async def send(self, number: int, due: float) -> None:
        """Sends one request and records its end."""
        assert self.begin is not None
        loop = asyncio.get_running_loop()
        lag = loop.time() - due
        target = self._targets[number % len(self._targets)]
        query = {"text": f"query {number}", "seed": self._plan.seed}
        answer = await self._balancer.post(
            f"/v1/services/{target.service}/search",
            _body(target, query),
            {"X-Request-Id": f"load-{self._plan.seed}-{number}"},
        )
        latency = loop.time() - due
        if answer.code == "OK":
            # Leaf calls are counted over the whole run, with the warm-up.
            self.shards_answered += answer.body.get("shards_answered", 0)
            self.versions[str(answer.body.get("index_version"))] += 1
            self._check(target.service, query, answer.body)
        else:
            self.example_by_code.setdefault(
                answer.code,
                {
                    "after_s": round(due - self.begin, 3),
                    "service": target.service,
                    "entry": answer.entry and str(answer.entry.address),
                    "body": answer.body,
                },
            )
        if due - self.begin < self._plan.warmup_s:
            return
        self.lag.add(max(0.0, lag))
        self.parts.add(
            answer.code,
            latency,
            answer.body,
            priority_class=target.priority_class or "-",
            zone=answer.entry.zone if answer.entry else "-",
            service=target.service,
        )

    def _check(self, service: str, query: Any, body: Any) -> None:
        for fault in _check.check_answer(
            service, query, body, self._plan.check_rows
        ):
            self.count_by_fault[fault] += 1
            if len(self.example_by_fault) < _MAX_EXAMPLES:
                self.example_by_fault.setdefault(
                    fault, {"query": query, "answer": body}
                )


def _body(target: _plan.Target, query: Any) -> dict[str, Any]:
    body = {
        "query": query,
        "deadline_ms": target.deadline_ms,
        "priority_class": target.priority_class,
        "allow_partial": target.allow_partial,
    }
    return {name: value for name, value in body.items() if value is not None}


async def run_searches(
    plan: _plan.SearchPlan, stopping: asyncio.Event | None = None
) -> dict[str, Any]:
    """Runs a load and returns its figures in JSON form.

    Latencies count from the intended send time, so a generator or an entry that
    falls behind is not hidden.

    Args:
        plan: What to send.
        stopping: Ends the load before its time when it is set.
    """
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
        run.begin = asyncio.get_running_loop().time()
        await _balancer.send_all(offsets, run.send, stopping)
        elapsed = asyncio.get_running_loop().time() - run.begin
        records = await _records.fetch(session, plan.leaf_admins, False)
    return _report(plan, run, elapsed, records)


def _report(
    plan: _plan.SearchPlan, run: _Run, elapsed: float, records: dict[str, Any]
) -> dict[str, Any]:
    report: dict[str, Any] = {
        "kind": "search",
        "plan": {
            "rate": plan.rate,
            "duration_s": plan.duration_s,
            "warmup_s": plan.warmup_s,
            "arrivals": plan.arrivals,
            "seed": plan.seed,
            "targets": [target.service for target in plan.targets],
        },
        "elapsed_s": round(elapsed, 3),
        "generator_lag": run.lag.figures(),
        **run.parts.figures(),
        "answers_by_version": dict(run.versions),
        "refusal_examples": run.example_by_code,
        "wrong_answers": dict(run.count_by_fault),
        "wrong_answer_examples": run.example_by_fault,
    }
    if records:
        leafs = _records.summarize(records)
        # Sub-queries that ran beyond one for each answered shard: hedges,
        # retries, and work for shards that were not answered.
        extra = leafs["items"] - run.shards_answered
        leafs["extra_items"] = extra
        leafs["extra_percent"] = (
            round(100 * extra / run.shards_answered, 3)
            if run.shards_answered
            else None
        )
        report["leafs"] = leafs
    return report
