import pathlib

import hypothesis
from hypothesis import strategies
import pytest

from sassafrashold import errors
from sassafrashold import table

_HEADER = ",".join(table.COLUMNS)
_LINE = "s,search,a=1,3,30,1,20,1000,5,normal,10,0,1000,yes"
_NAMES = strategies.from_regex(
    r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", fullmatch=True
)


def _csv(*lines):
    return "\n".join(lines).encode()


@pytest.mark.parametrize(
    ("data", "parts"),
    [
        (b"", ("'service' is missing",)),
        (b"\xff\xfe", ("UTF-8",)),
        (_csv(_HEADER + ",colour"), ("unknown column 'colour'", "expected")),
        (_csv(_HEADER + ",kind"), ("duplicate column 'kind'",)),
        (
            _csv(_HEADER.replace(",queue_limit", "")),
            ("'queue_limit' is missing",),
        ),
        (_csv(_HEADER, _LINE + ",1"), ("line 2", "'s'", "15", "expected 14")),
        (_csv(_HEADER, "s,search"), ("line 2", "'s'", "expected 14")),
        (_csv(_HEADER, _LINE, _LINE), ("line 3", "'s'", "duplicate")),
        (_csv(_HEADER, _LINE, '"s'), ("line 3", "broken CSV")),
        (_csv(_HEADER, '"s"x' + _LINE), ("line 2", "broken CSV")),
        (
            _csv(_HEADER, _LINE.replace("a=1", "a=1;a=2")),
            ("line 2", "row 's'", "column 'zones'", "expected zone=weight"),
        ),
        (
            _csv(_HEADER, _LINE.replace(",3,30", ",65,100")),
            ("row 's'", "column 'slots_per_leaf'", "'65'", "from 1 to 64"),
        ),
        (
            _csv(_HEADER, _LINE.replace(",3,30", ",,30")),
            ("row 's'", "column 'slots_per_leaf'", "missing", "from 1 to 64"),
        ),
        (
            _csv(_HEADER, _LINE.replace("1000,5,", "1000,nan,")),
            ("column 'hedge_percent'", "'nan'", "from 0 to 50"),
        ),
        (
            _csv(_HEADER, _LINE.replace("s,search", "a b,search")),
            ("row 'a b'", "column 'service'", "expected letters"),
        ),
    ],
)
def test_an_unusable_file_is_refused_with_its_place(data, parts):
    with pytest.raises(errors.TableError) as caught:
        table.parse_csv(data)
    assert [part for part in parts if part not in str(caught.value)] == []


@hypothesis.given(
    strategies.binary() | strategies.text().map(lambda text: text.encode())
)
@hypothesis.example(_csv(_HEADER, "\0" + _LINE))
@hypothesis.example(_csv(_HEADER, "x" * 200_000))
def test_arbitrary_bytes_are_refused_without_another_error(data):
    for candidate in (data, _csv(_HEADER, "") + data):
        try:
            table.parse_csv(candidate)
        except errors.TableError as error:
            assert error.ran is errors.Ran.NOT_RUN


@hypothesis.given(strategies.data())
def test_a_damaged_line_never_yields_a_row_beyond_the_limits(data):
    texts = _LINE.split(",")
    place = data.draw(strategies.integers(0, len(texts) - 1))
    texts[place] = data.draw(strategies.text() | strategies.floats().map(str))
    try:
        (row,) = table.parse_csv(_csv(_HEADER, ",".join(texts)))
    except (errors.TableError, ValueError):
        return
    assert 1 <= row.cold_start_slots <= row.slots_per_leaf <= 64
    assert row.slots_per_leaf <= row.connections_per_leaf <= 1024
    assert 0 <= row.hedge_percent <= 50
    assert table.parse_csv(table.format_csv((row,)).encode()) == (row,)


@hypothesis.settings(max_examples=30)
@hypothesis.given(
    strategies.lists(
        strategies.builds(
            table.ServiceRow,
            service=_NAMES,
            kind=strategies.sampled_from(table.Kind),
            weight_by_zone=strategies.dictionaries(
                _NAMES, strategies.integers(0, 100), min_size=1
            ),
            slots_per_leaf=strategies.integers(1, 64),
            connections_per_leaf=strategies.integers(64, 1024),
            hedge_percent=strategies.floats(0, 50),
            priority_class=_NAMES,
            allow_partial=strategies.booleans(),
        ),
        unique_by=lambda row: row.service,
    )
)
def test_exported_rows_come_back_unchanged(rows):
    ordered = tuple(sorted(rows, key=lambda row: row.service))
    assert table.parse_csv(table.format_csv(ordered).encode()) == ordered
    stored = table.Table(1, ordered)
    assert table.Table.decode(stored.encode()) == stored


def test_the_sample_table_can_be_imported():
    root = pathlib.Path(__file__).parents[4]
    rows = table.parse_csv((root / "config/samples/table.csv").read_bytes())
    assert len(rows) == 27
    assert {row.priority_class for row in rows} == {
        "almanac",
        "archive",
        "normal",
    }
