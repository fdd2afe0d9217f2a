"""Facts about this host: what is known, since when, and from whom."""

import asyncio
from collections.abc import Iterable
import datetime
import json
from typing import Any

from sassafrashold import admission
from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import rpc
from sassafrashold import search
from sassafrashold import views
from sassafrashold import wire
from sassafrashold.entry import _readiness

_ASK_TIMEOUT = datetime.timedelta(milliseconds=500)
_SOURCE = "entry"
_ZERO = datetime.timedelta()

Fact = dict[str, Any]


class Status:
    """Collects the facts of the entry, and asks control and owner for theirs.

    A fact that is not known has the value None.
    """

    def __init__(
        self,
        host: str,
        feed: views.Feed,
        readiness: _readiness.Readiness,
        gate: admission.Gate,
        searcher: search.Searcher,
        client_by_process: dict[str, rpc.Client],
        clock: clock_lib.Clock,
    ) -> None:
        self._host = host
        self._feed = feed
        self._readiness = readiness
        self._gate = gate
        self._searcher = searcher
        self._client_by_process = client_by_process
        self._clock = clock

    async def facts(self) -> list[Fact]:
        """Returns all facts of this host."""
        others = await asyncio.gather(
            *(
                self._ask(process, client)
                for process, client in self._client_by_process.items()
            )
        )
        return [*self.own_facts(), *(f for facts in others for f in facts)]

    def own_facts(self) -> list[Fact]:
        """Returns the facts that this process knows itself."""
        return [
            *self._process_facts(),
            *self._view_facts(),
            *self._service_facts(),
            *self._leaf_facts(),
        ]

    async def handle(self, context: rpc.RequestContext, body: bytes) -> bytes:
        """Answers the method `status` with the own facts."""
        return wire.encode(
            wire.messages.StatusReply(
                value=json.dumps(self.own_facts()).encode()
            )
        )

    def _process_facts(self) -> Iterable[Fact]:
        queue = self._gate.queue
        reasons = self._readiness.reasons()
        yield _fact("ready", self._host, not reasons)
        yield _fact("not_ready_reasons", self._host, reasons)
        yield _fact(
            "control_away_ms",
            self._host,
            clock_lib.to_ms(self._feed.disconnected_for()),
        )
        yield _fact("running", self._host, queue.running)
        yield _fact("waiting", self._host, queue.waiting)
        yield _fact("concurrency_limit", self._host, queue.entry_limit.value)
        for name, waiting in sorted(queue.waiting_by_class().items()):
            yield _fact("waiting_in_class", name, waiting)
        for name, limit in sorted(queue.limit_by_service().items()):
            yield _fact("service_concurrency_limit", name, limit)

    def _view_facts(self) -> Iterable[Fact]:
        view = self._feed.current
        yield self._fact_of(
            "table_revision",
            "config/table",
            None if view.table is None else view.table.revision,
        )
        if view.table is not None:
            marks = view.table.marks
            yield self._fact_of(
                "zones_out", "config/table", sorted(marks.zones)
            )
            yield self._fact_of(
                "hosts_out", "config/table", sorted(marks.hosts)
            )
        for zone, zone_lease in sorted(view.lease_by_zone.items()):
            key = f"leases/{zone}"
            yield self._fact_of("lease_epoch", key, zone_lease.epoch)
            hosts = [member.host for member in zone_lease.members]
            yield self._fact_of("lease_members", key, hosts)
        yield self._fact_of(
            "host_list_as_of",
            views.HOSTS_KEY,
            None
            if view.host_list is None
            else view.host_list.as_of.isoformat(),
        )

    def _service_facts(self) -> Iterable[Fact]:
        view = self._feed.current
        tokens = self._searcher.tokens_by_service()
        for row in view.table.rows if view.table else ():
            key = f"shardmaps/{row.service}"
            version, missing = self._pinned(row.service)
            yield self._fact_of("pinned_version", key, version)
            yield self._fact_of("shards_without_replica", key, missing)
            yield _fact(
                "extra_load_tokens", row.service, tokens.get(row.service)
            )

    def _pinned(self, service: str) -> tuple[str | None, list[int] | None]:
        table = self._feed.current.table
        assert table is not None
        try:
            topology = self._searcher.topology(table.row_by_service[service])
        except errors.SearchError:
            return None, None
        return topology.version, list(topology.missing_shards)

    def _leaf_facts(self) -> Iterable[Fact]:
        facts = self._searcher.tracker.leaf_states(self._clock.monotonic())
        for leaf_id, (latency, is_avoided) in sorted(facts.items()):
            yield _fact(
                "leaf_latency_ms",
                leaf_id,
                round(latency.total_seconds() * 1000, 2) if latency else None,
            )
            yield _fact("leaf_avoided", leaf_id, is_avoided)

    def _fact_of(self, name: str, key: str, value: Any) -> Fact:
        """Returns a fact that comes from an object of the view."""
        source = self._feed.current.source_by_key.get(key)
        if source is None:
            return _fact(name, key, None, None)
        age = self._clock.monotonic() - source.received
        return _fact(name, key, value, age)

    async def _ask(self, process: str, client: rpc.Client) -> list[Fact]:
        """Returns the facts of another process of this host."""
        try:
            reply = wire.decode(
                wire.messages.StatusReply,
                await client.call(
                    "status",
                    wire.encode(wire.messages.Empty()),
                    deadline=self._clock.now() + _ASK_TIMEOUT,
                ),
            )
            facts = json.loads(reply.value)
        except (
            errors.RpcError,
            wire.CodecError,
            ValueError,
            RecursionError,
        ) as error:
            unknown = _fact("status", process, None, None, process)
            return [unknown | {"reason": str(error)}]
        if not isinstance(facts, list):
            return [_fact("status", process, None, None, process)]
        return [fact for fact in facts if isinstance(fact, dict)]


def lines(facts: Iterable[Fact]) -> Iterable[str]:
    """Returns facts for people, one a line."""
    for fact in facts:
        value = fact.get("value")
        text = "unknown" if value is None else json.dumps(value)
        age = fact.get("age_ms")
        age_text = "unknown age" if age is None else f"{age} ms old"
        yield (
            f"{fact.get('source')}: {fact.get('name')} "
            f"{fact.get('subject')}: {text} ({age_text})"
        )


def _fact(
    name: str,
    subject: str,
    value: Any,
    age: datetime.timedelta | None = _ZERO,
    source: str = _SOURCE,
) -> Fact:
    return {
        "name": name,
        "subject": subject,
        "value": value,
        "age_ms": None if age is None else clock_lib.to_ms(age),
        "source": source,
    }
