import datetime
import itertools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import store as store_lib
from sassafrashold import table
from sassafrashold.store.tests import stepped_store
from sassafrashold.table import _history

_NO_DELAY = datetime.timedelta()
_BACKOFF = store_lib.Backoff(attempts=3, base=_NO_DELAY)
_RACES = store_lib.Backoff(attempts=6, base=_NO_DELAY)
_ROW = {"zones": "a=1", "slots_per_leaf": "4", "connections_per_leaf": "9"}
_SERVICES = strategies.sampled_from(["s1", "s2"])
_CHANGES = strategies.one_of(
    strategies.builds(
        table.SetCells,
        _SERVICES,
        strategies.dictionaries(
            strategies.sampled_from(["slots_per_leaf", "cold_start_slots"]),
            strategies.sampled_from(["1", "2", "3"]),
            min_size=1,
        ),
    ),
    strategies.builds(
        lambda service: table.AddRow(_ROW | {"service": service}), _SERVICES
    ),
    strategies.builds(table.RemoveRow, _SERVICES),
    strategies.builds(
        table.Mark,
        strategies.sampled_from([table.ZONES_COLUMN, table.HOSTS_COLUMN]),
        strategies.sampled_from(["z1", "z2"]),
        strategies.booleans(),
    ),
)


class RacingEditors(stateful.RuleBasedStateMachine):
    """Several editors, with each store call in any order and any fault."""

    def __init__(self):
        super().__init__()
        self.loop = stepped_store.Loop()
        self.store = stepped_store.SteppedStore()
        self.task_by_id = {}
        self.limits = pytest.MonkeyPatch()
        self.limits.setattr(_history, "_MAX_EDITS", 4)
        self.limits.setattr(_history, "_CHUNK_EDITS", 2)

    @stateful.rule(change=_CHANGES)
    @stateful.precondition(lambda self: self.store.waiting < 4)
    def start_edit(self, change):
        edit_id = f"edit-{len(self.task_by_id)}"
        self.task_by_id[edit_id] = self.loop.start(
            self._editor(edit_id).apply(change, who="someone")
        )

    @stateful.rule(
        position=strategies.integers(0, 3),
        fault=strategies.sampled_from([store_lib.Fault.NONE, *store_lib.Fault]),
        stale_depth=strategies.integers(1, 6),
    )
    @stateful.precondition(lambda self: self.store.waiting)
    def let_a_call_through(self, position, fault, stale_depth):
        self.store.stale_depth = stale_depth
        self.store.release(position % self.store.waiting, fault)
        self.loop.settle()

    @stateful.rule(count=strategies.integers(1, 12))
    def let_calls_through_without_faults(self, count):
        for _ in range(count):
            if self.store.waiting:
                self.store.release(0, store_lib.Fault.NONE)
                self.loop.settle()

    @stateful.rule()
    @stateful.precondition(lambda self: self.store.current(table.TABLE_KEY))
    def write_back_unchanged(self):
        """A control that starts confirms the table in this way."""
        stored = self.store.current(table.TABLE_KEY)
        assert stored is not None
        self.loop.run(self.store._apply(stored.key, stored.value))

    @stateful.rule()
    @stateful.precondition(lambda self: self.store.has_delayed)
    def deliver_delayed(self):
        self.loop.run(self.store.deliver_delayed())

    def teardown(self):
        while self.store.waiting:
            self.store.release(0, store_lib.Fault.NONE)
            self.loop.settle()
        self.loop.run(self.store.deliver_delayed())
        try:
            self._check()
        finally:
            self.loop.close()
            self.limits.undo()

    def _editor(self, edit_id):
        return table.Editor(
            self.store,
            clock_lib.ManualClock(),
            new_id=lambda: edit_id,
            races=_RACES,
            resolution=_BACKOFF,
        )

    def _check(self):
        values = [
            stored.value for stored in self.store.versions(table.TABLE_KEY)
        ]
        committed = [
            table.Table.decode(value) for value, _ in itertools.groupby(values)
        ]
        self._check_each_revision_is_the_one_before_and_its_edit(committed)
        id_by_revision = {
            found.revision: found.edits[-1].edit_id for found in committed
        }
        self._check_outcomes(id_by_revision)
        self.store.open = True
        history = self.loop.run(self._editor("").history())
        assert {
            revision.number: revision.edit.edit_id for revision in history
        } == id_by_revision

    def _check_each_revision_is_the_one_before_and_its_edit(self, committed):
        for old, new in itertools.pairwise([table.Table(), *committed]):
            assert new.revision == old.revision + 1
            assert len(new.edits) <= 4
            edit = new.edits[-1]
            assert set(table.difference(old, new)) == set(edit.cells)

    def _check_outcomes(self, id_by_revision):
        accepted_ids = list(id_by_revision.values())
        assert len(accepted_ids) == len(set(accepted_ids))
        for edit_id, task in self.task_by_id.items():
            error = task.exception()
            if error is None:
                assert id_by_revision[task.result().revision] == edit_id
            elif error.ran is errors.Ran.NOT_RUN:
                assert edit_id not in accepted_ids


RacingEditors.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=60, deadline=None
)
test_racing_editors = RacingEditors.TestCase


class _RacedStore(store_lib.MemoryStore):
    """A store in which another editor makes edits before the n-th call."""

    def __init__(self, rival_at):
        super().__init__()
        self.calls_left = rival_at

    async def get(self, key):
        await self._maybe_race()
        return await super().get(key)

    async def put(self, key, value, expected_version):
        await self._maybe_race()
        return await super().put(key, value, expected_version)

    async def _maybe_race(self):
        self.calls_left -= 1
        if self.calls_left == 0:
            faults = list(self.faults)
            self.faults.clear()
            for number in range(5):
                await _mark(self, f"rival-{number}")
            self.faults.extend(faults)


async def _mark(store, name):
    editor = table.Editor(
        store,
        clock_lib.ManualClock(),
        new_id=lambda: name,
        races=_RACES,
        resolution=_BACKOFF,
    )
    return await editor.apply(table.Mark("hosts", name, True), who="x")


@pytest.mark.parametrize("rival_at", range(8))
async def test_no_short_sequence_of_faults_loses_an_edit(rival_at, monkeypatch):
    monkeypatch.setattr(_history, "_MAX_EDITS", 4)
    monkeypatch.setattr(_history, "_CHUNK_EDITS", 2)
    for faults in itertools.product(store_lib.Fault, repeat=3):
        store = _RacedStore(0)
        for number in range(4):
            await _mark(store, f"early-{number}")
        store.calls_left = rival_at
        store.faults.extend(faults)
        accepted = None
        try:
            accepted = await _mark(store, "ours")
            ran = None
        except errors.StoreError as error:
            ran = error.ran
        store.faults.clear()
        await store.deliver_delayed()
        history = await table.Editor(store, clock_lib.ManualClock()).history()
        numbers = [found.number for found in history]
        assert numbers == list(range(1, len(history) + 1)), faults
        ours = [found for found in history if found.edit.edit_id == "ours"]
        if ran is errors.Ran.NOT_RUN:
            assert ours == [], faults
        elif accepted is not None:
            assert [found.number for found in ours] == [accepted.revision]
        assert len(ours) <= 1, faults


def _table(*changes):
    found = table.Table()
    for number, change in enumerate(changes):
        cells = table.merge(change, found, found)
        edit = table.Edit(
            str(number), "", datetime.datetime(2026, 1, 1), "", cells
        )
        found = found.with_edit(edit)
    return found


_ADD = table.AddRow(_ROW | {"service": "s"})
_OUT = table.Mark("zones", "a", True)


def _set(column, text, **expected):
    return table.SetCells("s", {column: text}, expected)


@pytest.mark.parametrize(
    ("base", "theirs", "ours", "conflict"),
    [
        ((_ADD,), _set("queue_limit", "7"), _set("deadline_ms", "7"), None),
        ((_ADD,), _set("queue_limit", "7"), _set("queue_limit", "7"), None),
        (
            (_ADD,),
            _set("queue_limit", "7"),
            _set("queue_limit", "8"),
            ("queue_limit", "1000", "7", "8"),
        ),
        (
            (_ADD,),
            _set("queue_limit", "7"),
            _set("queue_limit", "1000"),
            ("queue_limit", "1000", "7", "1000"),
        ),
        (
            (_ADD,),
            _OUT,
            _set("queue_limit", "7", queue_limit="6"),
            ("queue_limit", "6", "1000", "7"),
        ),
        (
            (_ADD,),
            table.RemoveRow("s"),
            _set("queue_limit", "8"),
            ("queue_limit", "1000", None, "8"),
        ),
        (
            (_ADD,),
            _set("queue_limit", "7"),
            table.RemoveRow("s"),
            ("queue_limit", "1000", "7", None),
        ),
        (
            (),
            table.AddRow(_ROW | {"service": "s", "queue_limit": "7"}),
            _ADD,
            ("queue_limit", None, "7", "1000"),
        ),
        ((), _OUT, table.Mark("zones", "b", True), None),
        ((), _OUT, table.Mark("hosts", "a", True), None),
        ((), _OUT, _OUT, None),
        ((), _OUT, table.Mark("zones", "a", False), ("zones", None, "a", None)),
    ],
)
def test_only_changes_of_the_same_cell_conflict(base, theirs, ours, conflict):
    seen = _table(*base)
    current = _table(*base, theirs)
    if conflict is None:
        edit = table.merge(ours, seen, current)
        assert all(current.text_at(cell) == cell.old for cell in edit)
        return
    with pytest.raises(errors.EditConflictError) as caught:
        table.merge(ours, seen, current)
    (found,) = caught.value.conflicts
    assert (found.column, found.base, found.theirs, found.ours) == conflict
    assert caught.value.ran is errors.Ran.NOT_RUN


async def test_history_is_whole_after_hundreds_of_edits():
    store = store_lib.MemoryStore()
    editor = table.Editor(store, clock_lib.ManualClock())
    for number in range(160):
        await editor.apply(
            table.Mark("hosts", "h", number % 2 == 0), who="x", note=str(number)
        )
    history = await editor.history()
    assert [revision.number for revision in history] == list(range(1, 161))
    assert [revision.edit.note for revision in history] == [
        str(number) for number in range(160)
    ]
    assert await store.list("config/history/") == {
        f"config/history/{first}": 1 for first in (1, 26, 51, 76, 101)
    }


async def test_large_imports_do_not_fill_the_object(monkeypatch):
    monkeypatch.setattr(_history, "_MAX_EDITS_BYTES", 20_000)
    store = store_lib.MemoryStore()
    editor = table.Editor(store, clock_lib.ManualClock())
    for number in range(30):
        rows = tuple(
            table.ServiceRow.from_cells(_ROW | {"service": f"s{i}-{number}"})
            for i in range(8)
        )
        await editor.apply(table.ReplaceRows(rows), who="x")
    stored = store.current(table.TABLE_KEY)
    assert stored is not None
    assert len(stored.value) < 50_000
    history = await editor.history()
    assert [revision.number for revision in history] == list(range(1, 31))
