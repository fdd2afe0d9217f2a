"""The operators' table: a row per service, marks, edits, history."""

from sassafrashold.table._rows import TABLE_KEY
from sassafrashold.table._rows import Cell
from sassafrashold.table._rows import Edit
from sassafrashold.table._rows import Kind
from sassafrashold.table._rows import Marks
from sassafrashold.table._rows import ServiceRow
from sassafrashold.table._rows import Table

__all__ = [
    "TABLE_KEY",
    "Cell",
    "Edit",
    "Kind",
    "Marks",
    "ServiceRow",
    "Table",
]
