import datetime

from sassafrashold import table
from sassafrashold import views

_ZERO = datetime.timedelta()


def test_older_object_does_not_replace_newer_one():
    new = table.Table(revision=7).encode()
    old = table.Table(revision=6).encode()
    view = views.View().with_object(table.TABLE_KEY, 12, new, _ZERO)
    assert view.with_object(table.TABLE_KEY, 11, old, _ZERO) is view
    assert view.with_object(table.TABLE_KEY, 12, old, _ZERO) is view
    assert view.table == table.Table(revision=7)


def test_table_with_rows_round_trips():
    row = table.ServiceRow(
        service="almanac-portal-01",
        weight_by_zone={"luzon-a": 2, "visayas-a": 0},
        slots_per_leaf=3,
        connections_per_leaf=30,
        hedge_percent=2.5,
    )
    stored = table.Table(revision=1, rows=(row,))
    assert table.Table.decode(stored.encode()) == stored
