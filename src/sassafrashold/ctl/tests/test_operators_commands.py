import asyncio
import contextlib
import datetime
import json

from aiohttp import web
from click import testing
import pytest

from sassafrashold import clock as clock_lib
from sassafrashold import index
from sassafrashold import lease
from sassafrashold import settings
from sassafrashold import store as store_lib
from sassafrashold import table
from sassafrashold.ctl import _edits
from sassafrashold.ctl import main
from sassafrashold.store.tests import fake_http

_HEADER = ",".join(table.COLUMNS)
_ROW = "almanac,both,luzon-a=1;visayas-a=2,3,30,1,20,1000,5,normal,10,0,50,yes"
_ADD = ("zones=a=1", "slots_per_leaf=3", "connections_per_leaf=30")


class _Deployment:
    """A platform and entry hosts with canned facts."""

    def __init__(self, platform_address):
        self.store = store_lib.MemoryStore()
        self.address = platform_address
        self.entries = {}

    async def ctl(self, *arguments, **variables):
        """Runs the command and returns its result."""
        addresses = ["--platform", str(self.address)]
        for entry in self.entries:
            addresses += ["--entry", str(entry)]
        return await _invoke(*addresses, *arguments, **variables)

    async def ok(self, *arguments):
        """Runs a command that has to succeed and returns its output."""
        result = await self.ctl(*arguments, "--json")
        assert (result.exit_code, result.stderr) == (0, ""), result.output
        return json.loads(result.stdout)


async def _invoke(*arguments, **variables):
    return await asyncio.to_thread(
        testing.CliRunner(env=variables).invoke, main.main, arguments
    )


@contextlib.asynccontextmanager
async def _deployment(*revisions):
    """Serves a platform, and an entry for each revision in force."""
    deployment = _Deployment(None)
    app = fake_http.application(deployment.store)
    async with contextlib.AsyncExitStack() as stack:
        deployment.address = await stack.enter_async_context(
            fake_http.serving(app)
        )
        for revision in revisions:
            entry = await stack.enter_async_context(
                fake_http.serving(_entry_app(revision))
            )
            deployment.entries[entry] = revision
        yield deployment


def _entry_app(revision, more_facts=()):
    async def status(request):
        fact = {
            "name": "table_revision",
            "subject": "config/table",
            "value": revision,
            "age_ms": None if revision is None else 12,
            "source": "entry",
        }
        owned = {"name": "slots", "subject": "leaf-1", "value": 3}
        return web.json_response([fact, fact | owned, *more_facts])

    async def explain(request):
        if request.match_info["id"] != "r/1" or revision is None:
            return web.json_response({}, status=404)
        attempts = [{"leaf": "leaf-1", "ended_ms": None}]
        return web.json_response({"verdict": "complete", "plans": attempts})

    app = web.Application()
    app.router.add_get("/v1/status", status)
    app.router.add_get("/v1/explain/{id:.+}", explain)
    return app


async def test_rows_and_marks_are_edited_shown_and_kept_in_history(tmp_path):
    file = tmp_path / "new.csv"
    file.write_text(f"{_HEADER}\n{_ROW}\n")
    async with _deployment() as deployment:
        ok = deployment.ok
        assert (await ok("table", "import", str(file)))["revision"] == 1
        assert (
            await deployment.ctl("table", "export")
        ).stdout == file.read_text()
        await ok("table", "set", "almanac", "queue_limit=7", "--note", "why")
        await ok("table", "add", "tide", *_ADD, "--who", "mina")
        await ok("zone", "out", "luzon-a")
        await ok("host", "out", "up-1")
        assert await ok("zone", "list") == [
            {"name": "a", "state": "in"},
            {"name": "luzon-a", "state": "out"},
            {"name": "visayas-a", "state": "in"},
        ]
        assert await ok("host", "list") == [{"name": "up-1", "state": "out"}]
        await ok("zone", "in", "luzon-a")
        assert await ok("table", "get", "almanac", "queue_limit") == {
            "queue_limit": "7"
        }
        assert len((await ok("table", "diff", str(file)))["cells"]) == 15
        await ok("table", "remove", "tide")
        history = await ok("table", "history", "--service", "tide")
        assert [(found["revision"], found["who"]) for found in history][1:] == [
            (3, "mina")
        ]
        shown = await deployment.ctl("table", "get")
        assert "revision 7" in shown.stdout
        assert "hosts out: up-1" in shown.stdout


@pytest.mark.parametrize(
    ("arguments", "exit_code", "code", "part"),
    [
        (("table", "set", "none", "kind=both"), 1, "BAD_TABLE", "no such row"),
        (("table", "set", "tide", "kind=no"), 1, "BAD_TABLE", "search, disp"),
        (("table", "set", "tide", "kind"), 2, "", "COLUMN=VALUE"),
        (("table", "add", "tide", *_ADD), 1, "BAD_TABLE", "exists already"),
        (("table", "import", "{bad}"), 1, "BAD_TABLE", "unknown column"),
        (("zone", "out", "luzn-a"), 1, "BAD_TABLE", "known zones: a"),
        (("table", "get", "none"), 1, "BAD_TABLE", "'none'"),
        (
            ("table", "set", "tide", "kind=both", "--expect", "kind=dispatch"),
            3,
            "STORE_CONFLICT",
            "now 'search', yours 'both', based on 'dispatch'",
        ),
    ],
)
async def test_a_refusal_names_its_code_and_changes_nothing(
    arguments, exit_code, code, part, tmp_path
):
    bad = tmp_path / "bad.csv"
    bad.write_text("colour\n")
    async with _deployment() as deployment:
        await deployment.ok("table", "add", "tide", *_ADD)
        result = await deployment.ctl(
            *(text.format(bad=bad) for text in arguments)
        )
        stored = deployment.store.current(table.TABLE_KEY)
    assert (result.exit_code, result.stdout) == (exit_code, "")
    assert f"error: {code}" in result.stderr.replace("Error: ", "error: ")
    assert part in result.stderr
    assert stored is not None
    assert stored.version == 1


async def test_a_racing_import_shows_both_values(tmp_path):
    base, ours = tmp_path / "base.csv", tmp_path / "ours.csv"
    base.write_text(f"{_HEADER}\n{_ROW}\n")
    ours.write_text(f"{_HEADER}\n{_ROW.replace(',50,', ',60,')}\n")
    async with _deployment() as deployment:
        await deployment.ok("table", "import", str(base))
        await deployment.ok("table", "set", "almanac", "queue_limit=70")
        result = await deployment.ctl(
            "table", "import", str(ours), "--base", str(base), "--json"
        )
    assert result.exit_code == 3
    assert json.loads(result.stderr)["error"]["conflicts"] == [
        {
            "service": "almanac",
            "column": "queue_limit",
            "base": "50",
            "theirs": "70",
            "ours": "60",
        }
    ]


async def test_an_outage_and_a_lost_answer_are_told_apart(monkeypatch):
    monkeypatch.setattr(
        store_lib.Backoff, "delay", lambda *_: datetime.timedelta()
    )
    async with _deployment() as deployment:
        deployment.store.choose_fault = lambda method, key: (
            store_lib.Fault.LOST_REQUEST
            if method == "put"
            else store_lib.Fault.NONE
        )
        lost = await deployment.ctl("host", "out", "h")
        deployment.store.down = True
        down = await deployment.ctl("host", "out", "h")
    gone = await deployment.ctl("host", "list")
    assert (lost.exit_code, down.exit_code, gone.exit_code) == (5, 4, 4)
    assert "STORE_AMBIGUOUS" in lost.stderr
    assert "may be accepted" in lost.stderr
    assert "STORE_UNAVAILABLE" in gone.stderr


async def test_waiting_lists_hosts_that_do_not_confirm(monkeypatch):
    monkeypatch.setattr(
        _edits, "_CONFIRMATION_TIME", datetime.timedelta(milliseconds=700)
    )
    async with _deployment(1, 0, None) as deployment:
        dead = settings.Address("127.0.0.1", 1)
        deployment.entries[dead] = None
        result = await deployment.ctl("host", "out", "h", "--wait", "--json")
        assert result.exit_code == 6
        first, *others = deployment.entries
        assert json.loads(result.stdout)["in_force"] == {
            str(first): True,
            **{str(entry): "unknown" for entry in others},
        }
        text = await deployment.ctl("host", "in", "h", "--wait")
        assert "in force on 0 of 4 hosts" in text.stdout
        assert f"{dead}: unknown" in text.stdout


@pytest.mark.parametrize(
    ("name", "value", "confirmed"),
    [
        ("view.version", 1, True),
        ("view.version", 0, False),
        ("object_version", 0, False),
        ("object_version", None, False),
        ("status", None, False),
    ],
)
async def test_a_host_confirms_only_when_all_its_processes_do(
    name, value, confirmed, monkeypatch
):
    monkeypatch.setattr(
        _edits, "_CONFIRMATION_TIME", datetime.timedelta(milliseconds=300)
    )
    facts = [{"name": name, "subject": "config/table", "value": value}]
    async with _deployment() as deployment:
        app = _entry_app(1, facts)
        async with fake_http.serving(app) as entry:
            deployment.entries[entry] = 1
            result = await deployment.ctl("host", "out", "h", "--wait")
    assert result.exit_code == (0 if confirmed else 6)


async def test_status_says_unknown_instead_of_guessing():
    async with _deployment(4, None) as deployment:
        dead = settings.Address("127.0.0.1", 1)
        known, unknown = deployment.entries
        deployment.entries[dead] = None
        text = (await deployment.ctl("status")).stdout
        facts = await deployment.ok("status")
    assert f"table_revision config/table: 4 [age 12 ms, entry@{known}]" in text
    assert (
        f"table_revision config/table: unknown [age unknown, entry@{unknown}]"
        in text
    )
    assert f"status {dead}: unknown (" in text
    assert "table_revision config/table: unknown (there is no such" in text
    values = [f["value"] for f in facts if f["name"] == "table_revision"]
    assert values == ["unknown", 4, "unknown"]
    nobody = await _invoke("status", "--entry", str(dead))
    assert nobody.exit_code == 4


async def test_explain_says_why_a_leaf_gets_no_work():
    async with _deployment(3) as deployment:
        await _store_objects(deployment.store)
        leaf = await deployment.ok("explain", "leaf", "leaf-1")
        assert leaf["verdict"] == "gets work"
        assert leaf["reasons"] == [
            "owned by host h1 (127.0.1.1:8002) in epoch 2"
        ]
        assert ("slots", 3) in [(f["name"], f["value"]) for f in leaf["facts"]]
        await deployment.ok(
            "zone", "out", "a", "--force", "--who", "mina", "--note", "flood"
        )
        text = await deployment.ctl("explain", "leaf", "leaf-1")
        assert "leaf-1: gets no new work\n  zone a is marked out by mina" in (
            text.stdout
        )
        assert ": flood" in text.stdout
        zone = await deployment.ok("explain", "zone", "a")
        assert zone["verdict"] == "gets no new work"
        nothing = await deployment.ctl("explain", "leaf", "other")
        assert nothing.exit_code == 4
        assert "other: unknown" in nothing.stdout


async def test_explain_finds_the_entry_that_served_a_request():
    async with _deployment(3, None) as deployment:
        known, _ = deployment.entries
        found = await deployment.ok("explain", "request", "r/1")
        assert list(found) == [str(known)]
        text = await deployment.ctl("explain", "request", "r/1")
        assert "verdict: complete" in text.stdout
        assert "leaf=leaf-1, ended_ms=unknown" in text.stdout
        other = await deployment.ctl("explain", "request", "r2")
        assert (other.exit_code, other.stdout) == (1, "")
        assert "UNKNOWN_REQUEST" in other.stderr
        deployment.entries[settings.Address("127.0.0.1", 1)] = None
        silent = await deployment.ctl("explain", "request", "r2")
        assert silent.exit_code == 4


async def test_help_lists_the_exit_codes_and_a_missing_address_is_named():
    assert "3  conflict" in (await _invoke("--help")).stdout
    missing = await _invoke("table", "get")
    assert missing.exit_code == 2
    assert "--platform" in missing.stderr
    async with _deployment() as deployment:
        variables = {"SASSAFRAS_PLATFORM": str(deployment.address)}
        found = await _invoke("table", "get", **variables)
    assert "there is no table yet" in found.stdout


async def _store_objects(store):
    address = settings.Address("127.0.1.1", 8002)
    member = lease.Member("h1", "i1", address, address, address)
    zone_lease = lease.ZoneLease("a", 2, (member,), (), 9, "w")
    await store.put(lease.lease_key("a"), zone_lease.encode(), 0)
    shardmap = {
        "service": "tide",
        "versions": [{"version": "v1", "shards": [["leaf-1"]]}],
        "leafs": {
            "leaf-1": {"zone": "a", "host": "up-1", "address": "127.0.2.1:9000"}
        },
    }
    await store.put(
        index.shardmap_key("tide"), json.dumps(shardmap).encode(), 0
    )
    await table.Editor(store, clock_lib.SystemClock()).apply(
        table.AddRow(
            {"service": "tide", **dict(c.split("=", 1) for c in _ADD)}
        ),
        who="x",
    )
